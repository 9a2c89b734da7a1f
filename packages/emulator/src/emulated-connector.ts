import { type ManualClock } from '@sesamereel/coordination'
import { type PollReply, type PollRequest, type StartOrder, type StartReply, type StopOrder, type StopReply, TargetConnection, TargetConnector, type TargetInfo } from '@sesamereel/fleet'
import { type EmulatedNetwork } from './emulated-network.js'
import { type EmulatedTarget } from './emulated-target.js'
import { type RandomSource } from './random-source.js'

/** Range in milliseconds after which a late order is carried out. */
const minLateDelayMs = 2_000
const maxLateDelayMs = 6_000

const noAnswer = { kind: 'no-answer', message: 'no reply' } as const

/** Share of orders that get no answer and are carried out seconds later. */
export interface LateOrders {
  probability: number
}

/** Connects one instance to the emulated targets. */
export class EmulatedConnector extends TargetConnector {
  readonly #place: string
  readonly #targets: ReadonlyMap<string, EmulatedTarget>
  readonly #network: EmulatedNetwork
  readonly #clock: ManualClock
  readonly #random: RandomSource
  readonly #late: LateOrders

  constructor (place: string, targets: ReadonlyMap<string, EmulatedTarget>, network: EmulatedNetwork, clock: ManualClock, random: RandomSource, late: LateOrders) {
    super()
    this.#place = place
    this.#targets = targets
    this.#network = network
    this.#clock = clock
    this.#random = random
    this.#late = late
  }

  override connect (target: TargetInfo): TargetConnection {
    return new EmulatedConnection(this, this.#targets.get(target.id)!)
  }

  async call<T> (target: EmulatedTarget, timeoutMs: number, serve: (reply: (value: T) => void) => void): Promise<T | typeof noAnswer> {
    if (this.#random.isPicked(this.#late.probability)) {
      this.#clock.startTimer(this.#random.pickNumber(minLateDelayMs, maxLateDelayMs), () => { if (target.isUp) serve(() => {}) })
      await new Promise<void>(resolve => { this.#clock.startTimer(timeoutMs, resolve) })
      return noAnswer
    }
    return await this.#network.call<T>(this.#place, target.info.id, timeoutMs, reply => { if (target.isUp) serve(reply) }) ?? noAnswer
  }
}

class EmulatedConnection extends TargetConnection {
  readonly #connector: EmulatedConnector
  readonly #target: EmulatedTarget

  constructor (connector: EmulatedConnector, target: EmulatedTarget) {
    super()
    this.#connector = connector
    this.#target = target
  }

  override async start (order: StartOrder, timeoutMs: number): Promise<StartReply> {
    return await this.#connector.call<StartReply>(this.#target, timeoutMs, reply => { reply(this.#target.start(order)) })
  }

  override async stop (order: StopOrder, timeoutMs: number): Promise<StopReply> {
    return await this.#connector.call<StopReply>(this.#target, timeoutMs, reply => { reply(this.#target.stop(order)) })
  }

  override async poll (request: PollRequest, timeoutMs: number): Promise<PollReply> {
    return await this.#connector.call<PollReply>(this.#target, timeoutMs, reply => { this.#target.poll(request, reply) })
  }

  override close (): void {}
}

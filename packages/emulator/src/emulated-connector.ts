import { type ManualClock } from '@sesamereel/coordination'
import { type NoReply, type PollReply, type PollRequest, type StartOrder, type StartReply, type StopOrder, type StopReply, TargetConnection, TargetConnector, type TargetInfo } from '@sesamereel/fleet'
import { type EmulatedNetwork } from './emulated-network.js'
import { type EmulatedTarget } from './emulated-target.js'
import { type RandomSource } from './random-source.js'

/** Range in milliseconds of the delay after which a late order reaches its target, unless the fleet states another. */
const minLateDelayMs = 2_000
const maxLateDelayMs = 12_000

/** Time in milliseconds until a refusal of a connection arrives. */
const refusalMs = 1

const noAnswer = { kind: 'no-answer', message: 'no reply' } as const

/** How often orders get no reply and reach their target only seconds later; can be changed at any time. */
export interface LateOrders {
  /** From 0 to 1, for each order or poll. */
  probability: number
  /** Shortest and longest delay in milliseconds. */
  delayMs?: readonly [number, number]
}

/** Connects one instance to the emulated targets over the emulated network. */
export class EmulatedConnector extends TargetConnector {
  readonly #endpoint: string
  readonly #targets: ReadonlyMap<string, EmulatedTarget>
  readonly #network: EmulatedNetwork
  readonly #clock: ManualClock
  readonly #random: RandomSource
  readonly #lateOrders: LateOrders

  constructor (endpoint: string, targets: ReadonlyMap<string, EmulatedTarget>, network: EmulatedNetwork, clock: ManualClock, random: RandomSource, lateOrders: LateOrders) {
    super()
    this.#endpoint = endpoint
    this.#targets = targets
    this.#network = network
    this.#clock = clock
    this.#random = random
    this.#lateOrders = lateOrders
  }

  override connect (target: TargetInfo): TargetConnection {
    return new EmulatedConnection(this, this.#targets.get(target.id)!)
  }

  /**
   * Makes a call to a target, which handles it only while it is up.
   *
   * @param serve - runs at the target and passes on its reply
   * @returns the reply, or `no-answer` when none came in time; the call may still be carried out later
   */
  async call<T> (target: EmulatedTarget, timeoutMs: number, serve: (reply: (value: T) => void) => void): Promise<T | NoReply> {
    if (this.#random.drawBoolean(this.#lateOrders.probability)) {
      const [minMs, maxMs] = this.#lateOrders.delayMs ?? [minLateDelayMs, maxLateDelayMs]
      this.#clock.startTimer(this.#random.pickInteger(minMs, maxMs), () => { if (target.isUp) serve(() => {}) })
      await new Promise<void>(resolve => { this.#network.getClock(this.#endpoint).startTimer(timeoutMs, resolve) })
      return noAnswer
    }
    if (target.isRefusing && this.#network.isOpen(this.#endpoint, target.info.id)) return await this.#refuse()
    return await this.#network.call<T>(this.#endpoint, target.info.id, timeoutMs, reply => { if (target.isUp) serve(reply) }) ?? noAnswer
  }

  async #refuse (): Promise<NoReply> {
    await new Promise<void>(resolve => { this.#network.getClock(this.#endpoint).startTimer(refusalMs, resolve) })
    return { kind: 'not-sent', message: 'connection refused', isRefused: true }
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

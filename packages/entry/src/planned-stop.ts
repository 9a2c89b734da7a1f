import { type Clock, type Dispatcher } from '@sesamereel/coordination'
import { formatSeat } from '@sesamereel/state'
import { type AnswerArchive } from './answer-archive.js'
import { type EventLog } from './event-log.js'
import { type HeartbeatExchange } from './heartbeat-exchange.js'
import { type Identity } from './identity.js'
import { type InstancePhase } from './instance-phase.js'
import { type SeatClaim } from './seat-claim.js'

/** Longest time in milliseconds that answers wait for callers while the object store can't be reached. */
export const answerHandoverTimeoutMs = 30_000

/** Longest time in milliseconds that the seat waits for the end of its loans: the longest term with a margin. */
const loanWaitMs = 15_000

const retryPauseMs = 500

export interface PlannedStopOptions {
  readonly identity: Identity
  readonly clock: Clock
  readonly log: EventLog
  readonly phase: InstancePhase
  readonly heartbeats: HeartbeatExchange
  readonly dispatcher: Dispatcher
  readonly archive: AnswerArchive
  readonly claim: SeatClaim
}

/**
 * Stops an instance without the loss of an accepted job or an answer (docs/design.md, section 9).
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions

  constructor (options: PlannedStopOptions) {
    this.#options = options
  }

  /**
   * Drains the instance: it takes no more keys, finishes all accepted jobs, hands over their
   * answers and gives the seat back.
   */
  async run (): Promise<void> {
    const { dispatcher, heartbeats, log, phase } = this.#options
    phase.markLeaving()
    log.log('info', 'stop-begun')
    heartbeats.sendRound(true).catch((error: unknown) => { log.logError('planned-stop', error) })
    await dispatcher.drain()
    log.log('info', 'jobs-finished')
    await this.#handOver()
    await this.#release()
  }

  async #handOver (): Promise<void> {
    const { archive, clock, dispatcher, identity, log } = this.#options
    const answers = dispatcher.listAnswers()
    if (answers.length === 0) return
    const until = clock.now() + answerHandoverTimeoutMs
    for (;;) {
      if (await archive.store(`${formatSeat(identity)}.${identity.incarnation}`, answers)) {
        log.log('info', 'answers-handed-over', { answers: answers.length })
        return
      }
      if (clock.now() >= until) {
        log.log('warn', 'answers-not-handed-over', { answers: answers.length })
        return
      }
      await this.#wait(retryPauseMs)
    }
  }

  /** The row is released only when no unit of the share is in use or lent any more. */
  async #release (): Promise<void> {
    const { claim, clock, dispatcher, log, phase } = this.#options
    const until = clock.now() + loanWaitMs
    while (dispatcher.hasOutstandingUnits() && clock.now() < until) await this.#wait(50)
    if (phase.isSuperseded()) return
    const isReleased = !dispatcher.hasOutstandingUnits() && await claim.release()
    log.log(isReleased ? 'info' : 'warn', isReleased ? 'seat-released' : 'seat-not-released')
  }

  async #wait (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.startTimer(delayMs, resolve) })
  }
}

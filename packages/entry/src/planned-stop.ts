import { type Clock, type Dispatcher } from '@sesamereel/coordination'
import { formatSeat } from '@sesamereel/state'
import { type AnswerArchive } from './answer-archive.js'
import { type EventLog } from './event-log.js'
import { type HeartbeatExchange } from './heartbeat-exchange.js'
import { type Identity } from './identity.js'
import { type InstancePhase } from './instance-phase.js'
import { type SeatClaim } from './seat-claim.js'

/** Time in milliseconds for which a stopping instance retries to archive its answers, and meanwhile still serves them, while the object store is unreachable. */
export const answerHandoverTimeoutMs = 30_000

/** Maximum wait in milliseconds for units in use or lent before the stop continues: the longest loan term and a margin. */
const outstandingUnitsTimeoutMs = 15_000

const archiveRetryDelayMs = 500

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
 * Stops an instance without losing accepted jobs or their answers (docs/design.md, section 9).
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions

  constructor (options: PlannedStopOptions) {
    this.#options = options
  }

  /**
   * Drains the instance: it issues no more keys, finishes all accepted jobs, archives their
   * answers and releases the seat.
   */
  async run (): Promise<void> {
    const { dispatcher, heartbeats, log, phase } = this.#options
    phase.markLeaving()
    log.log('info', 'stop-begun')
    heartbeats.sendRound(true).catch((error: unknown) => { log.logError('planned-stop', error) })
    await dispatcher.drain()
    log.log('info', 'jobs-finished')
    await this.#archiveAnswers()
    await this.#releaseSeat()
  }

  /** Archives the answers, so that other instances can return them. Gives up after the timeout. */
  async #archiveAnswers (): Promise<void> {
    const { archive, clock, dispatcher, identity, log } = this.#options
    const answers = dispatcher.listAnswers()
    if (answers.length === 0) return
    const deadline = clock.now() + answerHandoverTimeoutMs
    for (;;) {
      if (await archive.store(`${formatSeat(identity)}.${identity.incarnation}`, answers)) {
        log.log('info', 'answers-handed-over', { answers: answers.length })
        return
      }
      if (clock.now() >= deadline) {
        log.log('warn', 'answers-not-handed-over', { answers: answers.length })
        return
      }
      await this.#wait(archiveRetryDelayMs)
    }
  }

  /** Releases the seat, but only if no unit of its share is in use or lent and no later holder is known. */
  async #releaseSeat (): Promise<void> {
    const { claim, clock, dispatcher, log, phase } = this.#options
    const deadline = clock.now() + outstandingUnitsTimeoutMs
    while (dispatcher.hasOutstandingUnits() && clock.now() < deadline) await this.#wait(50)
    if (phase.isSuperseded()) return
    const isReleased = !dispatcher.hasOutstandingUnits() && await claim.release()
    log.log(isReleased ? 'info' : 'warn', isReleased ? 'seat-released' : 'seat-not-released')
  }

  async #wait (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.startTimer(delayMs, resolve) })
  }
}

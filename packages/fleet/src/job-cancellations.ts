import { type Clock } from '@sesamereel/coordination'
import { type CancelledJobs } from './cancelled-jobs.js'
import { type DispatcherConnection } from './dispatcher-connection.js'
import { type EventLog } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { type CancellationOutcome, PendingCancellations } from './pending-cancellations.js'

/** What the cancellations of one instance depend on. */
export interface JobCancellationsOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: FleetMetrics
  readonly cancelled: CancelledJobs
  /** Connections to the dispatchers of all domains, by domain. */
  readonly connections: ReadonlyMap<string, DispatcherConnection>
  /** Returns whether this instance has an open job with the id. */
  readonly hasJob: (jobId: string) => boolean
  /** Cancels an open job of this instance at its dispatcher, and answers its callers. */
  readonly cancelOwnJob: (jobId: string, reason: string) => void
}

/** The cancellations that one instance has accepted from callers, and the effect of others on its jobs. */
export class JobCancellations {
  readonly #options: JobCancellationsOptions
  readonly #pending = new PendingCancellations()
  /** Sequence number of the last change of the records that was applied to the jobs. */
  #appliedSequence = 0

  constructor (options: JobCancellationsOptions) {
    this.#options = options
  }

  /** Number of cancellations that not all dispatchers have answered. */
  get pendingCount (): number { return this.#pending.size }

  /** @returns whether a job with the id was cancelled lately, or is being cancelled here */
  isCancelled (jobId: string): boolean {
    const { cancelled, clock } = this.#options
    return this.#pending.has(jobId) || cancelled.find(jobId, clock.now())?.wasKnown === true
  }

  /**
   * Accepts a caller's cancellation and sends it to the dispatchers of all domains. It stays pending until each has answered.
   *
   * @param timeoutMs - time in milliseconds after which the outcome is `unconfirmed`
   * @returns what is certain about the job
   */
  async cancel (jobId: string, timeoutMs: number): Promise<CancellationOutcome> {
    const { cancelled, clock, connections, cancelOwnJob } = this.#options
    const now = clock.now()
    const record = cancelled.find(jobId, now)
    const isOwn = this.#options.hasJob(jobId)
    const wasKnown = isOwn || record?.wasKnown === true
    // A record without a pending cancellation is one that a dispatcher has sent or confirmed.
    const isHeld = record?.wasKnown === true && !this.#pending.has(jobId)
    cancelled.record(jobId, wasKnown, now)
    this.#pending.add(jobId, [...connections.keys()], { wasKnown, isHeld }, now)
    if (isOwn) cancelOwnJob(jobId, 'cancelled by a caller')
    for (const connection of connections.values()) if (connection.isConnected) sendCancellation(connection, jobId, wasKnown)
    const outcome = await this.#awaitOutcome(jobId, timeoutMs)
    this.#logOutcome(jobId, outcome, { own: isOwn, recordAgeMs: record === undefined ? undefined : Math.round(now - record.cancelledAt), waitedMs: Math.round(clock.now() - now) })
    return outcome
  }

  /**
   * Decides whether a submitted job was cancelled, so that it must not be run.
   *
   * @returns whether the submission is refused
   */
  refuse (jobId: string): boolean {
    const { cancelled, clock, log, metrics } = this.#options
    const now = clock.now()
    const record = cancelled.find(jobId, now)
    if (record === undefined) return false
    cancelled.markKnown(jobId, now)
    this.#pending.markKnown(jobId)
    metrics.countCancelledSubmission('owner')
    log.log('job', 'cancelled-job-refused', { job: jobId, by: 'owner', recordAgeMs: Math.round(now - record.cancelledAt), wasKnown: record.wasKnown, records: cancelled.size })
    return true
  }

  /** Sends the pending cancellations to a dispatcher that was connected, before the open jobs are submitted to it. */
  onConnected (connection: DispatcherConnection): void {
    this.applyChanges()
    for (const [jobId, wasKnown] of this.#pending.listUnanswered(connection.domain)) sendCancellation(connection, jobId, wasKnown)
  }

  /**
   * Handles a dispatcher's answer to a cancellation.
   *
   * @param domain - the dispatcher's domain
   * @param found - whether it has, or had, a job with the id
   */
  onAnswer (domain: string, jobId: string, found: boolean): void {
    const { cancelled, clock, log } = this.#options
    const state = this.#pending.describe(jobId, clock.now())
    if (state === undefined) return
    if (found) cancelled.record(jobId, true, clock.now())
    this.#pending.recordAnswer(jobId, domain, found)
    log.log('job', 'cancellation-confirmed', { job: jobId, domain, found, ageMs: Math.round(state.ageMs), unanswered: state.unanswered.filter(other => other !== domain).join(',') })
  }

  /** Records that a dispatcher has ended a job of this instance because a caller has cancelled it through another one. */
  noteCancelledElsewhere (jobId: string): void {
    this.#options.cancelled.record(jobId, true, this.#options.clock.now())
  }

  /** Applies cancellations of which other instances have told this one to its open jobs, and removes those whose time is over. */
  applyChanges (): void {
    const { cancelled, clock } = this.#options
    const now = clock.now()
    cancelled.expire(now)
    this.#pending.expire(now)
    const { entries, sequence } = cancelled.listChanges(this.#appliedSequence, now)
    this.#appliedSequence = sequence
    for (const [jobId, ageMs, wasKnown] of entries) {
      if (wasKnown) this.#pending.markKnown(jobId)
      if (this.#options.hasJob(jobId)) this.#cancelByRecord(jobId, ageMs)
    }
  }

  /** Cancels an open job that no dispatcher knew when it was cancelled, because it was waiting here or on its way. */
  #cancelByRecord (jobId: string, ageMs: number): void {
    const { cancelled, clock, connections, log, cancelOwnJob } = this.#options
    cancelled.markKnown(jobId, clock.now())
    log.log('job', 'job-cancelled-by-record', { job: jobId, by: 'owner', recordAgeMs: ageMs, records: cancelled.size })
    cancelOwnJob(jobId, 'cancelled through another instance')
    this.#pending.markKnown(jobId)
    for (const connection of connections.values()) if (connection.isConnected) sendCancellation(connection, jobId, true)
  }

  async #awaitOutcome (jobId: string, timeoutMs: number): Promise<CancellationOutcome> {
    return await new Promise<CancellationOutcome>(resolve => {
      const finish = (outcome: CancellationOutcome): void => {
        cancelTimer()
        resolve(outcome)
      }
      const cancelTimer = this.#options.clock.startTimer(timeoutMs, () => {
        this.#pending.abandonWait(jobId, finish)
        resolve('unconfirmed')
      })
      this.#pending.wait(jobId, finish)
    })
  }

  #logOutcome (jobId: string, outcome: CancellationOutcome, inputs: Readonly<Record<string, string | number | boolean | undefined>>): void {
    const { cancelled, clock, connections, log, metrics } = this.#options
    const state = this.#pending.describe(jobId, clock.now())
    const disconnected = [...connections.values()].filter(connection => !connection.isConnected).map(({ domain }) => domain)
    metrics.countCancellation(outcome)
    log.log('job', 'cancellation-answered', { job: jobId, outcome, ...inputs, unanswered: state?.unanswered.join(',') ?? '', disconnected: disconnected.join(','), records: cancelled.size })
  }
}

function sendCancellation (connection: DispatcherConnection, jobId: string, wasKnown: boolean): void {
  connection.send({ type: 'cancel-any', jobId, ...(wasKnown ? { known: true } : {}) })
}

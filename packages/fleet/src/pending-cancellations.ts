import { cancelledRetentionMs, maxCancelledJobs } from './cancelled-jobs.js'

/**
 * Answer to a cancellation. `cancelled`: no further task of the job starts; `unknown-job`: the dispatcher of every domain
 * has answered that it doesn't know the job; `unconfirmed`: neither is certain yet, and the caller should ask again.
 */
export type CancellationOutcome = 'cancelled' | 'unknown-job' | 'unconfirmed'

/** What an instance knows of a job when it accepts the cancellation. */
export interface CancellationEvidence {
  /** Whether a job with the id is known. */
  readonly wasKnown: boolean
  /** Whether a dispatcher has the record of the cancellation, so that it outlives this process. */
  readonly isHeld: boolean
}

/** A cancellation that not every dispatcher has answered. */
interface PendingCancellation {
  readonly acceptedAt: number
  /** Domains whose dispatcher has not answered. */
  readonly unanswered: Set<string>
  wasKnown: boolean
  isHeld: boolean
  readonly waiters: Set<(outcome: CancellationOutcome) => void>
}

/** State of a cancellation, for the log. */
export interface CancellationState extends CancellationEvidence {
  /** Domains whose dispatcher has not answered. */
  readonly unanswered: readonly string[]
  readonly ageMs: number
}

/**
 * The cancellations that an instance has accepted and that not every domain's dispatcher has answered. Handles several
 * callers that cancel one job at once, and dispatchers that are lost, replaced or out of reach for any time: a cancellation
 * is kept until all have answered or its time is over. Bounded in count and time, as the records of cancelled jobs are.
 */
export class PendingCancellations {
  readonly #pending = new Map<string, PendingCancellation>()
  readonly #maxCount: number

  /** @param maxCount - largest number of cancellations that are kept; the oldest are removed first */
  constructor (maxCount = maxCancelledJobs) {
    this.#maxCount = maxCount
  }

  get size (): number { return this.#pending.size }

  has (jobId: string): boolean {
    return this.#pending.has(jobId)
  }

  /**
   * Adds a cancellation, or joins the pending one of the job.
   *
   * @param domains - all domains, each of whose dispatchers has to answer
   * @param now - monotonic time in milliseconds
   */
  add (jobId: string, domains: readonly string[], { wasKnown, isHeld }: CancellationEvidence, now: number): void {
    const known = this.#pending.get(jobId)
    const pending = known ?? { acceptedAt: now, unanswered: new Set(domains), wasKnown, isHeld, waiters: new Set() }
    pending.wasKnown ||= wasKnown
    pending.isHeld ||= isHeld
    if (known === undefined) this.#pending.set(jobId, pending)
    if (this.#pending.size > this.#maxCount) this.#remove(this.#pending.keys().next().value!)
  }

  /** Waits for the outcome of a pending cancellation, which may be certain already. */
  wait (jobId: string, onOutcome: (outcome: CancellationOutcome) => void): void {
    const pending = this.#pending.get(jobId)
    if (pending === undefined) {
      onOutcome('unconfirmed')
      return
    }
    pending.waiters.add(onOutcome)
    this.#settle(jobId, pending)
  }

  /** Ends a wait without an outcome; the cancellation stays pending. */
  abandonWait (jobId: string, onOutcome: (outcome: CancellationOutcome) => void): void {
    this.#pending.get(jobId)?.waiters.delete(onOutcome)
  }

  /**
   * Records the answer of a domain's dispatcher.
   *
   * @param wasKnown - whether it has, or had, a job with the id
   */
  recordAnswer (jobId: string, domain: string, wasKnown: boolean): void {
    const pending = this.#pending.get(jobId)
    if (pending === undefined) return
    pending.unanswered.delete(domain)
    pending.isHeld = true
    pending.wasKnown ||= wasKnown
    this.#settle(jobId, pending)
  }

  /** Records that a job with the id is known somewhere. */
  markKnown (jobId: string): void {
    const pending = this.#pending.get(jobId)
    if (pending === undefined) return
    pending.wasKnown = true
    this.#settle(jobId, pending)
  }

  /** @returns jobs whose cancellation the domain's dispatcher has to answer, and whether the job is known */
  listUnanswered (domain: string): ReadonlyArray<readonly [jobId: string, wasKnown: boolean]> {
    return [...this.#pending].filter(([, { unanswered }]) => unanswered.has(domain)).map(([jobId, { wasKnown }]) => [jobId, wasKnown] as const)
  }

  /** @returns the state of a pending cancellation; undefined once all dispatchers have answered */
  describe (jobId: string, now: number): CancellationState | undefined {
    const pending = this.#pending.get(jobId)
    if (pending === undefined) return undefined
    const { wasKnown, isHeld, unanswered, acceptedAt } = pending
    return { wasKnown, isHeld, unanswered: [...unanswered], ageMs: now - acceptedAt }
  }

  /** Removes cancellations that were kept for as long as the records of cancelled jobs are. */
  expire (now: number): void {
    for (const [jobId, { acceptedAt }] of this.#pending) {
      if (now - acceptedAt < cancelledRetentionMs) break
      this.#remove(jobId)
    }
  }

  #settle (jobId: string, pending: PendingCancellation): void {
    const isAnsweredByAll = pending.unanswered.size === 0
    if (pending.wasKnown && pending.isHeld) this.#notify(pending, 'cancelled')
    else if (isAnsweredByAll) this.#notify(pending, 'unknown-job')
    if (isAnsweredByAll) this.#pending.delete(jobId)
  }

  #remove (jobId: string): void {
    const pending = this.#pending.get(jobId)
    this.#pending.delete(jobId)
    if (pending !== undefined) this.#notify(pending, 'unconfirmed')
  }

  #notify ({ waiters }: PendingCancellation, outcome: CancellationOutcome): void {
    for (const waiter of [...waiters]) waiter(outcome)
    waiters.clear()
  }
}

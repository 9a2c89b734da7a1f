/** Time in milliseconds for which a job stays cancelled; a caller's request arrives again within seconds. */
export const cancelledRetentionMs = 60_000

/** Largest number of ids that are kept; the oldest are evicted first. */
export const maxCancelledJobs = 20_000

/** Time in milliseconds within which a repeated cancellation does not begin the retention anew, so that repeats cause few messages. */
const refreshAfterMs = 1_000

/** Time in milliseconds for which the list of all records is reused; after a takeover every owner gets it at nearly the same time. */
const listReuseMs = 200

/** A cancelled job in messages: its id, the milliseconds since its cancellation, and whether a job with the id was known. */
export type CancelledEntry = readonly [jobId: string, ageMs: number, wasKnown: boolean]

/** A job for which a caller has sent a cancellation. */
export interface CancelledJob {
  readonly jobId: string
  /** Monotonic time in milliseconds. */
  readonly cancelledAt: number
  /** Whether a job with the id was known. Otherwise the record only prevents one that arrives later from being run. */
  readonly wasKnown: boolean
  /** Rises with each change of the records. */
  readonly sequence: number
}

/** Changes of the records, and the sequence number from which to ask for the next ones. */
export interface CancelledChanges {
  readonly entries: readonly CancelledEntry[]
  readonly sequence: number
}

/**
 * The jobs that callers have cancelled, of one process: its owner and its dispatchers share the records, so that a new
 * dispatcher has those of its process before its first submission. Handles requests of cancelled jobs that arrive again
 * at any instance, and cancellations at a high rate: each change has a sequence number, so that the changes of the last
 * interval are found without a look at the other records. Bounded in count and time.
 */
export class CancelledJobs {
  readonly #jobs = new Map<string, CancelledJob>()
  /** Records in the order of their sequence numbers, from `#first` on; those that were replaced are left out by readers. */
  #history: CancelledJob[] = []
  /** Index of the oldest record in the history. Removing each from the front took 0.1 ms at the largest number of records. */
  #first = 0
  #fullList: CancelledChanges & { readonly listedAt: number } = { entries: [], sequence: 0, listedAt: -Infinity }
  readonly #maxJobs: number
  #sequence = 0
  #evicted = 0

  /** @param maxJobs - largest number of ids that are kept */
  constructor (maxJobs = maxCancelledJobs) {
    this.#maxJobs = maxJobs
  }

  get size (): number { return this.#jobs.size }

  /** Number of records that were evicted before their time was over. */
  get evicted (): number { return this.#evicted }

  /**
   * Records the cancellation of a job. One that was cancelled before stays cancelled for longer.
   *
   * @param wasKnown - whether a job with the id is known
   * @param now - monotonic time in milliseconds
   */
  record (jobId: string, wasKnown: boolean, now: number): void {
    const earlier = this.find(jobId, now)
    if (earlier !== undefined && now - earlier.cancelledAt < refreshAfterMs && (earlier.wasKnown || !wasKnown)) return
    this.#put(jobId, now, wasKnown || earlier?.wasKnown === true)
    this.expire(now)
  }

  /** Marks a recorded job as known, after its request has arrived. */
  markKnown (jobId: string, now: number): void {
    const earlier = this.find(jobId, now)
    if (earlier !== undefined && !earlier.wasKnown) this.#put(jobId, earlier.cancelledAt, true)
  }

  /**
   * Adds records that another instance has sent. They don't extend the time of known ones: the age leaves out how long
   * the message took, so records that instances send each other would otherwise never expire.
   */
  merge (entries: readonly CancelledEntry[], now: number): void {
    for (const [jobId, ageMs, wasKnown] of entries) {
      const earlier = this.find(jobId, now)
      if (earlier !== undefined) {
        if (wasKnown) this.markKnown(jobId, now)
      } else if (ageMs < cancelledRetentionMs) this.#put(jobId, now - Math.max(0, ageMs), wasKnown)
    }
    this.expire(now)
  }

  /** @returns the record of a job whose retention time is not over */
  find (jobId: string, now: number): CancelledJob | undefined {
    const job = this.#jobs.get(jobId)
    return job === undefined || now - job.cancelledAt >= cancelledRetentionMs ? undefined : job
  }

  /** @returns all records; the list is reused for a while, so that ages in it may be too low by that time */
  listAll (now: number): readonly CancelledEntry[] {
    if (this.#fullList.sequence !== this.#sequence || now - this.#fullList.listedAt >= listReuseMs) this.#fullList = { ...this.listChanges(0, now), listedAt: now }
    return this.#fullList.entries
  }

  /**
   * Lists the records that were added or changed.
   *
   * @param sequence - sequence number that the last call returned; 0 for all records
   */
  listChanges (sequence: number, now: number): CancelledChanges {
    let index = this.#history.length
    while (index > this.#first && this.#history[index - 1]!.sequence > sequence) index--
    const entries = this.#history.slice(index)
      .filter(job => this.find(job.jobId, now) === job)
      .map(({ jobId, cancelledAt, wasKnown }): CancelledEntry => [jobId, Math.round(now - cancelledAt), wasKnown])
    return { entries, sequence: this.#sequence }
  }

  /**
   * Lists what another instance does not know yet.
   *
   * @param listed - records that the other instance has sent
   * @returns all records that it lacks, and those of jobs that only this process knows to have existed
   */
  listOthers (listed: readonly CancelledEntry[], now: number): readonly CancelledEntry[] {
    const listedIds = new Map(listed.map(([jobId, , wasKnown]) => [jobId, wasKnown]))
    return this.listAll(now).filter(([jobId, , wasKnown]) => !listedIds.has(jobId) || (wasKnown && listedIds.get(jobId) === false))
  }

  /** Removes records whose time is over. One that was learned late may stay in memory behind newer ones, for as long again at most. */
  expire (now: number): void {
    for (; this.#first < this.#history.length; this.#first++) {
      const job = this.#history[this.#first]!
      if (!this.#isCurrent(job)) continue
      if (now - job.cancelledAt < cancelledRetentionMs) break
      this.#jobs.delete(job.jobId)
    }
    this.#compact()
  }

  /** @returns whether the record has been neither replaced nor removed */
  #isCurrent (job: CancelledJob): boolean {
    return this.#jobs.get(job.jobId) === job
  }

  #put (jobId: string, cancelledAt: number, wasKnown: boolean): void {
    this.#sequence++
    const job = { jobId, cancelledAt, wasKnown, sequence: this.#sequence }
    this.#jobs.set(jobId, job)
    this.#history.push(job)
    if (this.#jobs.size > this.#maxJobs) this.#evictOldest()
    this.#compact()
  }

  #evictOldest (): void {
    while (!this.#isCurrent(this.#history[this.#first]!)) this.#first++
    this.#jobs.delete(this.#history[this.#first]!.jobId)
    this.#first++
    this.#evicted++
  }

  /** Removes the records that were replaced or removed once they are more than the others. */
  #compact (): void {
    if (this.#history.length <= Math.max(this.#maxJobs, 2 * this.#jobs.size)) return
    this.#history = this.#history.filter(job => this.#isCurrent(job))
    this.#first = 0
  }
}

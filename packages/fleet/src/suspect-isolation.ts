import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type TargetSession } from './target-session.js'

/** A target that is kept free until a job can start a suspect task there. */
interface Reservation {
  readonly session: TargetSession
  readonly job: DispatchedJob
}

/**
 * Keeps tasks under which a target was lost away from the tasks of other jobs: such a task starts only at a target that
 * runs nothing else, and nothing else starts there beside it. So another crash harms no other job, and it
 * shows which task is the cause. When no target is free, one at a time is kept for the next suspect task.
 */
export class SuspectIsolation {
  readonly #state: DispatchState
  /** Jobs of the suspect tasks at each target in this round. */
  #suspectJobs = new Map<TargetSession, string>()
  #reservation: Reservation | undefined

  constructor (state: DispatchState) {
    this.#state = state
  }

  /** Begins a round of starts: finds the targets that run suspect tasks, and ends a reservation that is of no use any more. */
  beginRound (): void {
    const { losses, runs, jobs } = this.#state
    this.#suspectJobs = new Map()
    for (const task of losses.listSuspects()) {
      const active = runs.get(task)
      if (active?.run.name !== undefined) this.#suspectJobs.set(active.session, active.run.name.jobId)
    }
    const reserved = this.#reservation
    if (reserved !== undefined && (jobs.get(reserved.job.id) !== reserved.job || !this.#hasWaitingSuspect(reserved.job))) this.#reservation = undefined
  }

  /** @returns whether there are suspect tasks at all */
  get isNeeded (): boolean { return this.#state.losses.hasLosses }

  /** @returns whether a task may start at a target, as far as suspect tasks are concerned */
  canStart (session: TargetSession, job: DispatchedJob, task: TaskRecord): boolean {
    if (this.#reservation?.session === session && this.#reservation.job !== job) return false
    const isExclusive = this.#suspectJobs.has(session) || this.#state.losses.isSuspect(task.name)
    return !isExclusive || [...session.runs.values()].every(run => run.name?.jobId === job.id)
  }

  recordStart (session: TargetSession, job: DispatchedJob, task: TaskRecord): void {
    if (!this.#state.losses.isSuspect(task.name)) return
    this.#suspectJobs.set(session, job.id)
    if (this.#reservation?.job === job) this.#reservation = undefined
  }

  /** @returns whether a task that found no target needs one to be kept free: it is suspect, and its job is still of use */
  mustReserve (job: DispatchedJob, task: TaskRecord, now: number): boolean {
    return this.#state.losses.isSuspect(task.name) && now + job.remainingMs <= job.usefulUntil
  }

  /** Keeps a target free for a suspect task, one at a time: of the given ones, which could run it, the one with the most free processors. */
  reserve (job: DispatchedJob, sessions: readonly TargetSession[]): void {
    if (this.#reservation !== undefined && sessions.includes(this.#reservation.session)) return
    let best: TargetSession | undefined
    for (const session of sessions) {
      if (this.#suspectJobs.has(session)) continue
      if (best === undefined || session.freeCapacity.processors > best.freeCapacity.processors) best = session
    }
    this.#reservation = best === undefined ? undefined : { session: best, job }
  }

  #hasWaitingSuspect (job: DispatchedJob): boolean {
    return job.tasks.some(task => task.state === 'waiting' && this.#state.losses.isSuspect(task.name))
  }
}

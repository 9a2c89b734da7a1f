import { type Clock } from '@sesamereel/coordination'
import { type JobAnswer, parseTaskName } from '@sesamereel/fleet'

/** A run of a task as its target saw it; times in milliseconds. */
export interface RunRecord {
  readonly target: string
  readonly task: string
  readonly attempt: number
  readonly startedAt: number
  endedAt: number | undefined
  how: string | undefined
}

/** An answer as its caller received it. */
export interface AnswerRecord {
  readonly jobId: string
  readonly answer: JobAnswer
  readonly answeredAt: number
}

/** A repeat of a job that was sent while a run of the job still lived. */
export interface MetRun {
  readonly jobId: string
  readonly target: string
  readonly repeatedAt: number
  /** Time in milliseconds since the caller had lost its answer. */
  readonly lostMsAgo: number
}

/** Time in milliseconds from the announcement that a target leaves until it must get no more starts. */
const drainGraceMs = 2_000

/** Number of failed attempts of a task after which its job fails. */
export const emulatedMaxAttempts = 3

/** Number of crashes of targets under a task from which it may be given up. */
const crashesToGiveUp = 2

/** Number of crashes under a task, and of further starts after them, at which it was started too often. */
const crashesBeforeExcess = 3
const excessStarts = 3

/** Records what callers and targets saw of a fleet, and checks the invariants that must hold for it. */
export class FleetHistory {
  readonly runs: RunRecord[] = []
  readonly answers: AnswerRecord[] = []
  /** No violations by themselves: one follows only if the instance that receives the repeat does not know of the run. */
  readonly metRuns: MetRun[] = []
  readonly #clock: Clock
  readonly #submitted = new Map<string, number>()
  readonly #drainingSince = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  recordStart (target: string, task: string, attempt: number): void {
    this.runs.push({ target, task, attempt, startedAt: this.#clock.now(), endedAt: undefined, how: undefined })
  }

  recordEnd (target: string, task: string, attempt: number, how: string): void {
    const run = this.runs.find(other => other.target === target && other.task === task && other.attempt === attempt && other.endedAt === undefined)
    if (run === undefined) return
    run.endedAt = this.#clock.now()
    run.how = how
  }

  recordSubmission (jobId: string): void {
    this.#submitted.set(jobId, (this.#submitted.get(jobId) ?? 0) + 1)
  }

  recordAnswer (jobId: string, answer: JobAnswer): void {
    this.answers.push({ jobId, answer, answeredAt: this.#clock.now() })
  }

  /** Records a repeat of a job that its caller sends now. */
  recordRepeat (jobId: string, lostAt: number): void {
    const now = this.#clock.now()
    for (const run of this.runs) {
      if (run.endedAt === undefined && parseTaskName(run.task)!.jobId === jobId) this.metRuns.push({ jobId, target: run.target, repeatedAt: now, lostMsAgo: now - lostAt })
    }
  }

  recordDraining (target: string): void {
    this.#drainingSince.set(target, this.#clock.now())
  }

  /** @returns a line for each violation of an invariant */
  listViolations (): readonly string[] {
    return [...this.#listOverlaps(), ...this.#listFalseRejections(), ...this.#listLateStarts(), ...this.#listUnfoundedCompletions(), ...this.#listFalseFailures(), ...this.#listExcessStarts()]
  }

  /** @returns the fraction of submitted jobs that were completed, 1 when none was submitted */
  computeCompletedFraction (): number {
    const completed = new Set(this.answers.filter(entry => entry.answer.kind === 'completed').map(entry => entry.jobId))
    return this.#submitted.size === 0 ? 1 : completed.size / this.#submitted.size
  }

  /** Two runs of a task must not overlap, on any targets. */
  #listOverlaps (): readonly string[] {
    const byTask = new Map<string, RunRecord[]>()
    for (const run of this.runs) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
    const violations: string[] = []
    for (const [task, runs] of byTask) {
      for (let index = 1; index < runs.length; index++) {
        const earlier = runs.slice(0, index).find(run => (run.endedAt ?? Infinity) > runs[index]!.startedAt)
        if (earlier !== undefined) violations.push(`${task} ran twice at the same time: at ${earlier.target} from ${earlier.startedAt} to ${earlier.endedAt ?? 'now'}, and at ${runs[index]!.target} from ${runs[index]!.startedAt}`)
      }
    }
    return violations
  }

  /** A job that was rejected at every submission must not have run, as a rejection states that nothing has run. */
  #listFalseRejections (): readonly string[] {
    const started = new Set(this.runs.map(run => parseTaskName(run.task)!.jobId))
    const byJob = new Map<string, AnswerRecord[]>()
    for (const entry of this.answers) byJob.set(entry.jobId, [...byJob.get(entry.jobId) ?? [], entry])
    return [...byJob]
      .filter(([jobId, entries]) => started.has(jobId) && entries.length === this.#submitted.get(jobId) && entries.every(entry => entry.answer.kind === 'rejected'))
      .map(([jobId]) => `${jobId} was rejected as not run, though a task of it started`)
  }

  /** A leaving target must get no starts after `drainGraceMs`. */
  #listLateStarts (): readonly string[] {
    return this.runs
      .filter(run => run.startedAt > (this.#drainingSince.get(run.target) ?? Infinity) + drainGraceMs)
      .map(run => `${run.task} started at ${run.target}, which had been leaving for more than ${drainGraceMs} ms`)
  }

  /** A job is answered as completed only if a run of one of its tasks has ended as `done`. */
  #listUnfoundedCompletions (): readonly string[] {
    const done = new Map<string, number>()
    for (const run of this.runs) {
      if (run.how !== 'done') continue
      const { jobId } = parseTaskName(run.task)!
      done.set(jobId, (done.get(jobId) ?? 0) + 1)
    }
    return this.answers
      .filter(entry => entry.answer.kind === 'completed' && !done.has(entry.jobId))
      .map(entry => `${entry.jobId} was answered as completed without a run that ended`)
  }

  /**
   * A job is answered as failed, other than by a cancellation, only if one of its tasks has used up its attempts, or two
   * targets have crashed under one.
   */
  #listFalseFailures (): readonly string[] {
    const exhausted = new Set([...this.#listTasksEnded('failed', emulatedMaxAttempts), ...this.#listTasksEnded('crashed', crashesToGiveUp)].map(task => parseTaskName(task)!.jobId))
    return this.answers
      .filter(({ jobId, answer }) => answer.kind === 'failed' && answer.reason !== 'cancelled' && !exhausted.has(jobId))
      .map(({ jobId }) => `${jobId} was answered as failed, and no task of it has failed ${emulatedMaxAttempts} times or crashed ${crashesToGiveUp} targets`)
  }

  /** A task must not start three times more after three targets have crashed under it. */
  #listExcessStarts (): readonly string[] {
    return this.#listTasksEnded('crashed', crashesBeforeExcess).flatMap(task => {
      const runs = this.runs.filter(run => run.task === task)
      const lastAllowedCrash = runs.filter(run => run.how === 'crashed')[crashesBeforeExcess - 1]!
      const later = runs.filter(run => run.startedAt > lastAllowedCrash.endedAt!)
      return later.length < excessStarts ? [] : [`${task} was started ${later.length} times more after ${crashesBeforeExcess} targets had crashed under it`]
    })
  }

  /** @returns the tasks of which at least `count` runs have ended in a way */
  #listTasksEnded (how: string, count: number): readonly string[] {
    const counts = new Map<string, number>()
    for (const run of this.runs) if (run.how === how) counts.set(run.task, (counts.get(run.task) ?? 0) + 1)
    return [...counts].filter(([, ended]) => ended >= count).map(([task]) => task)
  }
}

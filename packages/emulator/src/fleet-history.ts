import { type Clock } from '@sesamereel/coordination'
import { type JobAnswer, parseTaskName } from '@sesamereel/fleet'

/** A run as its target saw it. */
export interface RunRecord {
  readonly target: string
  readonly task: string
  readonly attempt: number
  readonly startedAt: number
  endedAt: number | undefined
  how: string | undefined
}

/** An answer as its caller got it. */
export interface AnswerRecord {
  readonly jobId: string
  readonly answer: JobAnswer
  readonly answeredAt: number
}

/** Time in milliseconds after which a leaving target must get no more starts. */
const drainGraceMs = 2_000

/** Times that a task of the emulated queue may fail before its job has failed. */
export const emulatedMaxAttempts = 3

/** What callers and targets saw of a fleet, and the promises that it must keep. */
export class FleetHistory {
  readonly runs: RunRecord[] = []
  readonly answers: AnswerRecord[] = []
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

  recordDraining (target: string): void {
    this.#drainingSince.set(target, this.#clock.now())
  }

  /** @returns a line for each broken promise */
  listViolations (): readonly string[] {
    return [...this.#listOverlaps(), ...this.#listFalseRejections(), ...this.#listLateStarts(), ...this.#listPartialAnswers(), ...this.#listFalseFailures()]
  }

  /** @returns the share of submitted jobs that were completed */
  computeCompletedFraction (): number {
    const completed = new Set(this.answers.filter(entry => entry.answer.kind === 'completed').map(entry => entry.jobId))
    return this.#submitted.size === 0 ? 1 : completed.size / this.#submitted.size
  }

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

  #listFalseRejections (): readonly string[] {
    const started = new Set(this.runs.map(run => parseTaskName(run.task)!.jobId))
    const byJob = new Map<string, AnswerRecord[]>()
    for (const entry of this.answers) byJob.set(entry.jobId, [...byJob.get(entry.jobId) ?? [], entry])
    return [...byJob]
      .filter(([jobId, entries]) => started.has(jobId) && entries.length === this.#submitted.get(jobId) && entries.every(entry => entry.answer.kind === 'rejected'))
      .map(([jobId]) => `${jobId} was rejected as not run, though a task of it started`)
  }

  #listLateStarts (): readonly string[] {
    return this.runs
      .filter(run => run.startedAt > (this.#drainingSince.get(run.target) ?? Infinity) + drainGraceMs)
      .map(run => `${run.task} started at ${run.target}, which had been leaving for more than ${drainGraceMs} ms`)
  }

  #listPartialAnswers (): readonly string[] {
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

  /** A job has failed only if one of its tasks has failed as often as its queue allows. */
  #listFalseFailures (): readonly string[] {
    const failures = new Map<string, number>()
    for (const run of this.runs) if (run.how === 'failed') failures.set(run.task, (failures.get(run.task) ?? 0) + 1)
    const spent = new Set([...failures].filter(([, count]) => count >= emulatedMaxAttempts).map(([task]) => parseTaskName(task)!.jobId))
    return this.answers
      .filter(({ jobId, answer }) => answer.kind === 'failed' && answer.reason !== 'cancelled' && !spent.has(jobId))
      .map(({ jobId }) => `${jobId} was answered as failed, and no task of it has failed ${emulatedMaxAttempts} times`)
  }
}

import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob } from './dispatched-job.js'
import { type Run } from './run.js'
import { isProvenCause, isStartAllowed, type LossEvidence, type TargetLoss, type TaskLosses } from './target-losses.js'
import { type TargetSession } from './target-session.js'

/** Records which targets one dispatcher has lost under which tasks, and gives up the tasks that crash them. */
export class LossTracker {
  readonly #state: DispatchState

  constructor (state: DispatchState) {
    this.#state = state
  }

  /** Records the loss of a target under all tasks that ran, or may have run, in its lost incarnation. */
  recordLoss (session: TargetSession, evidence: LossEvidence): void {
    const runs = [...session.runs.values()].filter(mayHaveRun)
    const isAlone = new Set(runs.map(run => run.name?.jobId)).size === 1
    const loss = { target: session.info.id, bornMs: session.bornMs ?? 0, evidence, isAlone }
    for (const run of runs) this.#recordLossUnder(run, loss)
    for (const jobId of new Set(runs.map(run => run.name?.jobId))) this.#judgeJob(jobId)
  }

  /** Judges the losses of a target anew when an incarnation of it answers. */
  settleLosses (session: TargetSession): void {
    const { losses } = this.#state
    if (session.isSilent || session.bornMs === undefined) return
    const changed = losses.settle(session.info.id, session.bornMs, this.#state.now())
    if (changed.length > 0) this.#state.log('belief', 'target-losses-settled', { target: session.info.id, jobs: changed.length })
    for (const jobId of changed) this.#judgeJob(jobId)
  }

  /**
   * Adds the losses that an owner knows of to those that are known here, and tells the owner all of them.
   *
   * @returns whether the job was ended, because one of its tasks crashes its targets
   */
  mergeLosses (job: DispatchedJob, received: TaskLosses | undefined): boolean {
    const { losses } = this.#state
    if (received !== undefined) losses.merge(received, this.#state.now())
    return losses.findJobLosses(job.id) !== undefined && this.#judge(job)
  }

  #judgeJob (jobId: string | undefined): void {
    const job = jobId === undefined ? undefined : this.#state.jobs.get(jobId)
    if (job !== undefined) this.#judge(job)
  }

  /**
   * Reports the losses under a job's tasks to its owner, and ends the job when one of the tasks is to be given up.
   *
   * @returns whether the job was ended
   */
  #judge (job: DispatchedJob): boolean {
    const losses = this.#state.losses.findJobLosses(job.id) ?? {}
    this.#state.reply(job, { type: 'losses', jobId: job.id, losses })
    for (const [task, lossesOfTask] of Object.entries(losses)) {
      if (isStartAllowed(lossesOfTask) && !isProvenCause(lossesOfTask)) continue
      const isGivenUp = isProvenCause(lossesOfTask)
      this.#logVerdict(job, task, lossesOfTask, isGivenUp)
      if (!isGivenUp) continue
      this.#state.endJob(job, { kind: 'failed', reason: 'targets-lost' })
      return true
    }
    return false
  }

  #logVerdict (job: DispatchedJob, task: string, losses: readonly TargetLoss[], isGivenUp: boolean): void {
    const inputs = {
      job: job.id,
      task,
      losses: losses.length,
      crashes: losses.filter(loss => loss.evidence !== 'silent').length,
      alone: losses.filter(loss => loss.isAlone).length,
      targets: losses.map(loss => loss.target).join(' '),
      ageMs: Math.round(this.#state.now() - job.acceptedAt)
    }
    if (isGivenUp) this.#state.log('job', 'task-given-up', inputs)
    else this.#state.log('job', 'task-held', inputs)
  }

  #recordLossUnder (run: Run, loss: TargetLoss): void {
    const { losses, metrics } = this.#state
    if (!losses.record(run.task, loss, this.#state.now())) return
    metrics.countTargetLoss(loss.evidence, loss.isAlone)
    this.#state.log('order', 'target-lost-under-task', { job: run.name?.jobId, task: run.task, attempt: run.attempt, target: loss.target, evidence: loss.evidence, alone: loss.isAlone, losses: losses.listLosses(run.task).length })
  }
}

/** @returns whether a run existed, or its start order may have been carried out by the target's process */
function mayHaveRun (run: Run): boolean {
  return run.acceptedAt !== undefined || run.unanswered
}

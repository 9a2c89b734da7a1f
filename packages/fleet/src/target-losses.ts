import { parseTaskName } from './job-types.js'

/**
 * What shows that a target was lost. `restarted`: a later incarnation has answered; `refused`: its host refused
 * connections, so that no process listened there; `silent`: it did not answer until its leases had ended, as after a
 * crash or behind a network partition.
 */
export type LossEvidence = 'restarted' | 'refused' | 'silent'

/** The loss of one incarnation of a target while a task ran there, or may have run there. */
export interface TargetLoss {
  readonly target: string
  /** Unix time in milliseconds at which the lost incarnation started; 0 if it is not known. */
  readonly bornMs: number
  readonly evidence: LossEvidence
  /** Whether no task of another job ran at the target. */
  readonly isAlone: boolean
}

/** Losses of targets under the tasks of a job, by task name. */
export type TaskLosses = Readonly<Record<string, readonly TargetLoss[]>>

/** Time in milliseconds for which the losses of a job are kept after the last one; longer than callers repeat a job. */
const lossRetentionMs = 60_000

/** Number of targets that have to have crashed under a task before it may be given up. */
const crashesToGiveUp = 2

/**
 * Number of losses from which a task starts no more. After three crashes under it, three more starts are too many;
 * the crashes of one dispatcher's last second may be unknown to its successor.
 */
const maxLosses = 3

interface JobLosses {
  readonly byTask: Map<string, readonly TargetLoss[]>
  updatedAt: number
}

/**
 * The targets that were lost under each task. A loss is identified by the target's incarnation, so that the
 * records of several dispatchers can be merged in any order. The records outlive the job, as its caller may repeat it.
 */
export class TargetLosses {
  /** By job id, the least recently changed first. */
  readonly #jobs = new Map<string, JobLosses>()

  get hasLosses (): boolean { return this.#jobs.size > 0 }

  /** @returns the losses under a task, the earliest first */
  listLosses (task: string): readonly TargetLoss[] {
    const jobId = this.#jobs.size === 0 ? undefined : parseTaskName(task)?.jobId
    return jobId === undefined ? [] : this.#jobs.get(jobId)?.byTask.get(task) ?? []
  }

  /** @returns whether a target was lost under the task, so that the task may be the cause */
  isSuspect (task: string): boolean {
    return this.listLosses(task).length > 0
  }

  /** @returns names of the tasks under which targets were lost */
  listSuspects (): readonly string[] {
    return [...this.#jobs.values()].flatMap(({ byTask }) => [...byTask.keys()])
  }

  /** @returns ids of the jobs under whose tasks targets were lost */
  listJobs (): Iterable<string> {
    return this.#jobs.keys()
  }

  /** @returns the losses under the tasks of a job, or undefined when there are none */
  findJobLosses (jobId: string): TaskLosses | undefined {
    const job = this.#jobs.get(jobId)
    return job === undefined ? undefined : Object.fromEntries(job.byTask)
  }

  /**
   * Records a loss under a task. For an incarnation that is recorded already, only the evidence can change, as the
   * other runs there may have been given up meanwhile.
   *
   * @returns whether this changed the records
   */
  record (task: string, loss: TargetLoss, now: number): boolean {
    const jobId = parseTaskName(task)?.jobId
    if (jobId === undefined) return false
    const losses = this.listLosses(task)
    const known = losses.find(other => other.target === loss.target && other.bornMs === loss.bornMs)
    if (known !== undefined && rankEvidence(known.evidence) >= rankEvidence(loss.evidence)) return false
    this.#replace(jobId, task, [...losses.filter(other => other !== known), { ...loss, isAlone: known?.isAlone ?? loss.isAlone }], now)
    return true
  }

  /** Adds the losses that an owner has learned from other dispatchers. */
  merge (received: TaskLosses, now: number): void {
    for (const [task, losses] of Object.entries(received)) {
      for (const loss of losses) this.record(task, loss, now)
    }
  }

  /**
   * Judges the losses of a target anew by the incarnation that answers: one that is recorded as lost has not
   * crashed, and another one proves that those before it have ended.
   *
   * @returns ids of the jobs whose records have changed
   */
  settle (target: string, bornMs: number, now: number): readonly string[] {
    const changed = new Set<string>()
    for (const [jobId, { byTask }] of [...this.#jobs]) {
      for (const [task, losses] of [...byTask]) {
        const settled = losses.flatMap(loss => settleLoss(loss, target, bornMs))
        if (settled.length === losses.length && settled.every((loss, index) => loss === losses[index])) continue
        changed.add(jobId)
        this.#replace(jobId, task, settled, now)
      }
    }
    return [...changed]
  }

  /** Removes the records of jobs that have not changed for the retention time. */
  expire (now: number): void {
    for (const [jobId, { updatedAt }] of this.#jobs) {
      if (now - updatedAt < lossRetentionMs) break
      this.#jobs.delete(jobId)
    }
  }

  #replace (jobId: string, task: string, losses: readonly TargetLoss[], now: number): void {
    const { byTask } = this.#jobs.get(jobId) ?? { byTask: new Map<string, readonly TargetLoss[]>() }
    if (losses.length === 0) byTask.delete(task)
    else byTask.set(task, losses)
    this.#jobs.delete(jobId)
    if (byTask.size > 0) this.#jobs.set(jobId, { byTask, updatedAt: now })
  }
}

/**
 * Decides whether a task is to be given up. Two targets must have crashed under it. A task that shared each of them with
 * other jobs gets one more start, at a target of its own, as another task may have crashed them.
 */
export function isProvenCause (losses: readonly TargetLoss[]): boolean {
  const crashes = losses.filter(loss => loss.evidence !== 'silent').length
  return crashes >= crashesToGiveUp && (losses.length >= maxLosses || losses.some(loss => loss.isAlone))
}

/** Decides whether a task may start again, or must wait until it is known whether the lost targets have crashed. */
export function isStartAllowed (losses: readonly TargetLoss[]): boolean {
  return losses.length < maxLosses
}

function rankEvidence (evidence: LossEvidence): number {
  return ['silent', 'refused', 'restarted'].indexOf(evidence)
}

/** @returns the loss as it is to be recorded now; nothing when it was none */
function settleLoss (loss: TargetLoss, target: string, bornMs: number): readonly TargetLoss[] {
  if (loss.target !== target || loss.bornMs === 0 || loss.evidence === 'restarted') return [loss]
  return loss.bornMs === bornMs ? [] : [{ ...loss, evidence: 'restarted' }]
}

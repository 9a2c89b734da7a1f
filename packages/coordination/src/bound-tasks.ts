import { type JobRecord, type TaskRef } from './job-record.js'
import { type TargetState } from './target-state.js'

/** Maximum number of tasks tried at one target in one round, so that tasks behind one whose plan is used up are tried too. */
const maxTriesPerTarget = 32

/** Tasks that an early-binding policy has assigned to a busy target. They wait there in first-in, first-out order. */
export class BoundTasks {
  private readonly targets = new Set<TargetState>()

  get size (): number {
    return this.targets.size
  }

  add (target: TargetState, task: TaskRef): void {
    target.boundTasks.push(task)
    this.targets.add(target)
  }

  /**
   * Tries to start waiting tasks at each target that has free capacity.
   *
   * @param start - returns true when the task was started
   */
  startWaiting (now: number, start: (task: TaskRef, target: TargetState) => boolean): void {
    for (const target of this.targets) {
      let index = 0
      for (let tries = 0; tries < maxTriesPerTarget && index < target.boundTasks.length && target.isUsable(now); tries++) {
        const task = target.boundTasks[index]!
        if (!target.hasFreeCapacity(task.job.spec.tasks[task.index]!.demand)) break
        if (start(task, target)) target.boundTasks.splice(index, 1)
        else index++
      }
      if (target.boundTasks.length === 0) this.targets.delete(target)
    }
  }

  /** Removes and returns the tasks that wait at targets that are leaving, unlisted or ejected. */
  takeStranded (now: number): readonly TaskRef[] {
    const stranded: TaskRef[] = []
    for (const target of this.targets) {
      if (target.unlistedSince === undefined && !target.isLeaving && target.health.isStartAllowed(now)) continue
      stranded.push(...target.boundTasks)
      target.boundTasks = []
      this.targets.delete(target)
    }
    return stranded
  }

  /** Removes and returns all tasks. */
  takeAll (): readonly TaskRef[] {
    const tasks = [...this.targets].flatMap(target => target.boundTasks)
    for (const target of this.targets) target.boundTasks = []
    this.targets.clear()
    return tasks
  }

  /** Removes and returns the tasks of one job. */
  removeJob (job: JobRecord): readonly TaskRef[] {
    const removed: TaskRef[] = []
    for (const target of this.targets) {
      removed.push(...target.boundTasks.filter(task => task.job === job))
      target.boundTasks = target.boundTasks.filter(task => task.job !== job)
    }
    return removed
  }
}

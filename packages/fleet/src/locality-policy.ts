import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type LogFields } from './event-log.js'
import { type StepSpec } from './job-types.js'
import { computeWaitEnd, type LocalityInputs, type NearTarget, predictEndAt, RackForecast, shouldWait } from './locality-wait.js'
import { type TargetSession } from './target-session.js'

/** Decides which tasks wait for a place near their data, and records where tasks start. */
export abstract class LocalityPolicy {
  protected readonly state: DispatchState

  constructor (state: DispatchState) {
    this.state = state
  }

  /**
   * Begins a round of starts.
   *
   * @param usable - targets that may start tasks, with or without room
   */
  abstract beginRound (usable: readonly TargetSession[], now: number): void

  /**
   * Decides whether a task waits although a target has room for it.
   *
   * @param target - the target that placement has picked
   */
  abstract mustWait (job: DispatchedJob, task: TaskRecord, target: TargetSession): boolean

  /** Ends the wait of a task that starts, and returns the fields for the log. */
  recordStart (job: DispatchedJob, task: TaskRecord, target: TargetSession, now: number): LogFields {
    const step = job.getStep(task)
    if (step.dataRack === undefined) return {}
    const remote = isRemote(step, target)
    this.state.metrics.countLocalityStart(remote ? 'remote' : 'near')
    return { remote, ...this.endWait(task, remote, now) }
  }

  /** Ends the wait of a task that starts, and returns its duration for the log. */
  protected abstract endWait (task: TaskRecord, remote: boolean, now: number): LogFields
}

/**
 * Creates the policy of a dispatcher.
 *
 * @param remoteFactor - ratio of a task's run time outside the rack of its data to its run time inside
 * @param isEnabled - whether the program lets tasks wait
 */
export function createLocalityPolicy (state: DispatchState, remoteFactor: number, isEnabled: boolean): LocalityPolicy {
  return isEnabled && remoteFactor > 1 ? new WaitForLocality(state, remoteFactor) : new StartAnywhere(state)
}

/** Starts each task as soon as any target has room. */
class StartAnywhere extends LocalityPolicy {
  override beginRound (): void {}
  override mustWait (): boolean { return false }
  protected override endWait (): LogFields { return {} }
}

/** Lets a task wait where that is worthwhile. */
class WaitForLocality extends LocalityPolicy {
  readonly #remoteFactor: number
  /** Times at which waiting tasks were first kept waiting; an entry lives as long as its job. */
  readonly #waitingSince = new WeakMap<TaskRecord, number>()
  /** What this round expects of each rack that a task asked for. */
  #forecasts = new Map<string, RackForecast>()
  #usable: readonly TargetSession[] = []
  #now = 0

  constructor (state: DispatchState, remoteFactor: number) {
    super(state)
    this.#remoteFactor = remoteFactor
  }

  override beginRound (usable: readonly TargetSession[], now: number): void {
    this.#forecasts = new Map()
    this.#usable = usable
    this.#now = now
  }

  override mustWait (job: DispatchedJob, task: TaskRecord, target: TargetSession): boolean {
    const step = job.getStep(task)
    // Steps with a limit for each target and tasks under which a target was lost can't use every place that becomes free.
    if (!isRemote(step, target) || step.maxPerTarget !== undefined || this.state.losses.listLosses(task.name).length > 0) return false
    const place = this.#findForecast(job.spec.service, step.dataRack!).findPlace(step.demand, step.requiredLabel)
    if (place === undefined) return false
    const now = this.#now
    const { contention } = this.state
    const runMs = step.estimateMs * contention.getRunTimeRatio(job)
    const nearMs = runMs * place.slowness
    const remoteMs = runMs * target.health.slowness * this.#remoteFactor
    const restMs = Math.max(0, job.remainingMs - step.estimateMs) * contention.getRatio(job)
    const inputs: LocalityInputs = { now, since: this.#waitingSince.get(task) ?? now, nearAt: place.at, nearMs, remoteMs, restMs, objectiveAt: job.objectiveAt, usefulUntil: job.usefulUntil, isLoaded: this.state.queue.size > 1 }
    if (!shouldWait(inputs)) return false
    place.claim(nearMs)
    if (this.#waitingSince.has(task)) return true
    this.#waitingSince.set(task, now)
    const viewAgeMs = now - (this.#usable.find(({ info }) => info.id === place.targetId)?.lastViewAt ?? now)
    this.state.log('order', 'locality-wait', { job: job.id, task: task.name, rack: step.dataRack, remoteTarget: target.info.id, nearTarget: place.targetId, nearInMs: Math.round(place.at - now), nearMs: Math.round(nearMs), remoteMs: Math.round(remoteMs), endsInMs: Math.round(computeWaitEnd(inputs) - now), objectiveInMs: Math.round(job.objectiveAt - now), loaded: inputs.isLoaded, viewAgeMs: Math.round(viewAgeMs) })
    return true
  }

  protected override endWait (task: TaskRecord, remote: boolean, now: number): LogFields {
    const since = this.#waitingSince.get(task)
    if (since === undefined) return { localityWaitMs: 0 }
    this.#waitingSince.delete(task)
    this.state.metrics.countLocalityWait(remote ? 'in-vain' : 'worthwhile', now - since)
    return { localityWaitMs: Math.round(now - since) }
  }

  #findForecast (service: string, rack: string): RackForecast {
    const key = `${rack} ${service}`
    let forecast = this.#forecasts.get(key)
    if (forecast === undefined) {
      const near = this.#usable.filter(({ info }) => info.service === service && info.labels.includes(rack))
      forecast = new RackForecast(near.map(session => this.#describeTarget(session)))
      this.#forecasts.set(key, forecast)
    }
    return forecast
  }

  #describeTarget (session: TargetSession): NearTarget {
    const { info: { id, labels }, freeCapacity, health: { slowness }, runs } = session
    const ends = [...runs.values()].flatMap(run => {
      const { job, task } = this.state.findTaskOfRun(run)
      if (run.demand === undefined || job === undefined || task === undefined) return []
      const step = job.getStep(task)
      const predictedMs = step.estimateMs * this.state.contention.getRunTimeRatio(job) * slowness * (isRemote(step, session) ? this.#remoteFactor : 1)
      // The start of a run that an earlier dispatcher ordered is not known, so that its progress tells no speed.
      const percent = task.starts > 0 ? run.percent : 0
      return [{ at: predictEndAt({ sentAt: run.sentAt, percent, progressAt: run.progressAt }, predictedMs, this.#now), demand: run.demand }]
    })
    return { id, labels, free: freeCapacity, slowness, ends }
  }
}

function isRemote (step: StepSpec, { info }: TargetSession): boolean {
  return step.dataRack !== undefined && !info.labels.includes(step.dataRack)
}

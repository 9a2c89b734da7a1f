import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type StepSpec } from './job-types.js'
import { type LocalityPolicy } from './locality-policy.js'
import { allowsTarget } from './outstanding-orders.js'
import { type Candidate, isEligible, pickTarget } from './placement.js'
import { type PlannedStart, type StartAnnouncements } from './start-announcements.js'
import { SuspectIsolation } from './suspect-isolation.js'
import { isStartAllowed } from './target-losses.js'
import { startWindowMs, type TargetSession } from './target-session.js'
import { type TargetInfo } from './target-types.js'

/** Attempt numbers reserved per token for each task, so that numbers under later tokens are higher. */
const attemptsPerToken = 64

/** What the decisions of one round of starts share. */
interface Round {
  /** Monotonic time in milliseconds by which the round decides. */
  readonly now: number
  /** Milliseconds by which the clock that counts suspensions is ahead. */
  readonly elapsedLeadMs: number
  /** Targets that may start tasks, with or without room. */
  readonly usable: readonly TargetSession[]
  /** Those with room for a task. */
  readonly candidates: readonly SessionCandidate[]
  /** Keys of demands that fit no target any more. */
  readonly fullFor: Set<string>
}

/** Starts waiting tasks at targets with free capacity. */
export class TaskScheduler {
  readonly #state: DispatchState
  readonly #readToken: () => number
  readonly #remoteFactor: number
  readonly #isolation: SuspectIsolation
  readonly #locality: LocalityPolicy
  readonly #announcements: StartAnnouncements

  /**
   * @param readToken - returns the dispatcher's current token
   * @param remoteFactor - ratio of a task's run time outside the rack of its data to its run time inside
   * @param locality - decides which tasks wait for a place near their data
   * @param announcements - announces orders before they are sent
   */
  constructor (state: DispatchState, readToken: () => number, remoteFactor: number, locality: LocalityPolicy, announcements: StartAnnouncements) {
    this.#state = state
    this.#readToken = readToken
    this.#remoteFactor = remoteFactor
    this.#isolation = new SuspectIsolation(state)
    this.#locality = locality
    this.#announcements = announcements
  }

  /**
   * Starts as many waiting tasks as fit, in the order of the queue, and tells the owners which jobs have started.
   *
   * @param now - monotonic time in milliseconds from which the deadlines of the orders count
   */
  startTasks (now = this.#state.now()): void {
    const { queue, sessions } = this.#state
    if (queue.size === 0) return
    const usable = [...sessions.values()].filter(session => session.isUsable(now))
    const largestFree = usable.reduce((largest, { freeCapacity }) => Math.max(largest, freeCapacity.processors), 0)
    // In an overload little capacity is free in most rounds, and all other jobs and targets need no further look.
    const fitting = [...queue].filter(job => job.smallestDemand <= largestFree)
    if (fitting.length === 0) return
    const smallestDemand = fitting.reduce((smallest, job) => Math.min(smallest, job.smallestDemand), Infinity)
    const hasRoom = ({ freeCapacity }: TargetSession | SessionCandidate): boolean => freeCapacity.processors >= smallestDemand
    this.#isolation.beginRound()
    this.#locality.beginRound(usable, now)
    let round: Round = { now, elapsedLeadMs: this.#state.measureElapsedLead(), usable, candidates: usable.filter(hasRoom).map(session => new SessionCandidate(session)), fullFor: new Set() }
    const newlyStarted = new Map<string, string[]>()
    for (const job of this.#state.contention.sortQueue(fitting, now)) {
      if (round.candidates.length === 0) break
      const wasStarted = job.started
      const startCount = this.#startTasksOf(job, round)
      if (job.started && !wasStarted) newlyStarted.set(job.ownerId, [...newlyStarted.get(job.ownerId) ?? [], job.id])
      if (!job.hasStartableTask()) queue.delete(job)
      if (startCount > 0) round = { ...round, candidates: round.candidates.filter(hasRoom) }
    }
    for (const [ownerId, jobIds] of newlyStarted) this.#state.owners.send(ownerId, { type: 'started', jobIds })
  }

  /**
   * Announces the planned starts, and sends the orders of those whose announcements were confirmed. Starts that are not possible any more return to the queue.
   *
   * @param now - monotonic time in milliseconds from which the deadlines of the orders count
   */
  orderConfirmed (now: number): void {
    this.#announcements.sendRound()
    const confirmed = this.#announcements.takeConfirmed()
    if (confirmed.length === 0) return
    const elapsedLeadMs = this.#state.measureElapsedLead()
    for (const start of confirmed) {
      if (this.#canOrder(start, now, elapsedLeadMs)) start.session.orderRun(start.run, start.job.spec.payload, now)
      else this.#drop(start)
    }
  }

  /** Returns planned starts whose announcements were confirmed to the queue, as none may be ordered. */
  dropConfirmed (): void {
    for (const start of this.#announcements.takeConfirmed()) this.#drop(start)
  }

  #drop ({ session, run }: PlannedStart): void {
    session.dropPlannedRun(run)
    this.#announcements.settle(run)
  }

  #canOrder ({ job, session, run }: PlannedStart, now: number, elapsedLeadMs: number): boolean {
    if (!session.isPlanned(run) || !session.isReachable || session.info.draining || this.#state.owners.hasGivenUp(job.connection)) return false
    return this.#state.computeRunLimit(job, elapsedLeadMs) >= now + startWindowMs && this.#state.computeLeaseLimit(session, elapsedLeadMs) >= now + startWindowMs
  }

  /** @returns the number of tasks that were started */
  #startTasksOf (job: DispatchedJob, round: Round): number {
    if (this.#state.computeRunLimit(job, round.elapsedLeadMs) < round.now + startWindowMs) return 0
    if (this.#state.owners.hasGivenUp(job.connection)) return 0
    let count = 0
    for (const task of job.tasks) {
      if (task.state !== 'waiting' || !job.isStepReady(task.stepIndex) || !isStartAllowed(this.#state.losses.listLosses(task.name))) continue
      const target = this.#pickTarget(job, task, round)
      if (target === undefined) {
        this.#reserveTarget(job, task, round)
        continue
      }
      if (this.#locality.mustWait(job, task, target.session)) continue
      this.#startTask(job, task, target.session, round.now)
      count++
    }
    return count
  }

  /** Keeps a target free for a suspect task that found none, while its job is still of use. */
  #reserveTarget (job: DispatchedJob, task: TaskRecord, { now, usable }: Round): void {
    if (!this.#isolation.mustReserve(job, task, now)) return
    this.#isolation.reserve(job, usable.filter(({ info }) => isEligible(info, job.spec.service, job.getStep(task))))
  }

  /**
   * A start order also extends the leases of the target's other runs, so the target must not have one whose
   * owner may be lost. A lease belongs to the target, so the task may last until the latest one that was granted there.
   */
  #pickTarget (job: DispatchedJob, task: TaskRecord, { now, elapsedLeadMs, candidates, fullFor }: Round): SessionCandidate | undefined {
    const step = job.getStep(task)
    const key = formatDemandKey(job.spec.service, step)
    if (fullFor.has(key)) return undefined
    const hold = this.#state.findHold(task)
    const countRunsOfStep = (candidate: SessionCandidate): number => countStepRuns(candidate.session, job, task.stepIndex)
    const runLimit = this.#state.computeRunLimit(job, elapsedLeadMs)
    // Only a filter that drops a target makes a new list, see below.
    const isAllowed = ({ session }: SessionCandidate): boolean => this.#isolation.canStart(session, job, task)
    let usable = !this.#isolation.isNeeded || candidates.every(isAllowed) ? candidates : candidates.filter(isAllowed)
    if (hold !== undefined) usable = usable.filter(({ info }) => allowsTarget(hold, info))
    for (;;) {
      const target = pickTarget(usable, job.spec.service, step, countRunsOfStep, this.#remoteFactor)
      if (target === undefined) {
        // Only a lack of capacity concerns the equal tasks of other jobs, not the limits of this one.
        if (usable === candidates && step.maxPerTarget === undefined) fullFor.add(key)
        return undefined
      }
      // A start in this round may have made the target unusable.
      const isWithinLimit = target.session.leasesEndAt <= runLimit && this.#state.computeLeaseLimit(target.session, elapsedLeadMs) >= now + startWindowMs
      if (isWithinLimit && target.session.isUsable(now)) return target
      usable = usable.filter(candidate => candidate !== target)
    }
  }

  #startTask (job: DispatchedJob, task: TaskRecord, session: TargetSession, now: number): void {
    if (!job.started) this.#state.metrics.observeQueueWait(job.predictedWaitMs, this.#state.now() - job.receivedAt)
    task.starts++
    task.state = 'running'
    job.started = true
    // An outstanding order is sent again, as one for another attempt could start a second run beside it.
    const attempt = this.#state.findHold(task)?.attempt ?? this.#readToken() * attemptsPerToken + task.starts
    const run = session.planRun(task.name, attempt, job.getStep(task).demand, now)
    this.#state.runs.set(task.name, { session, run })
    this.#announcements.plan({ job, session, run })
    this.#isolation.recordStart(session, job, task)
    const { outdatedListAgeMs } = session
    if (outdatedListAgeMs !== undefined) this.#state.metrics.countOutdatedStart()
    this.#state.contention.floor.recordStarted(job, task, now)
    this.#state.log('order', 'task-start', { job: job.id, task: task.name, attempt, target: session.info.id, listRevision: session.info.revision, waitedMs: Math.round(run.sentAt - job.acceptedAt), slowness: Math.round(session.health.slowness * 100) / 100, outdatedListAgeMs, ...this.#locality.recordStart(job, task, session, now), ...this.#state.contention.describeInputs(job) })
  }
}

function countStepRuns (session: TargetSession, job: DispatchedJob, stepIndex: number): number {
  let count = 0
  for (const run of session.runs.values()) {
    if (run.name?.jobId === job.id && run.name.step === stepIndex) count++
  }
  return count
}

/** @returns a key that steps share whose tasks fit the same targets */
function formatDemandKey (service: string, { demand, requiredLabel = '' }: StepSpec): string {
  return `${demand.processors} ${demand.memoryMb} ${demand.accelerators} ${requiredLabel} ${service}`
}

/** Adapts a session to placement; the free capacity is read anew for each task. */
class SessionCandidate implements Candidate {
  readonly session: TargetSession

  constructor (session: TargetSession) {
    this.session = session
  }

  get info (): TargetInfo { return this.session.info }
  get freeCapacity (): TargetSession['freeCapacity'] { return this.session.freeCapacity }
  get slowness (): number { return this.session.health.slowness }
}

import { type Configuration, createResultError, type JobSpec, type TargetDescription } from '@sesamereel/state'
import { type AttemptResult } from './attempt.js'
import { type Clock } from './clock.js'
import { collectStatus, type DispatcherStatus } from './dispatch-status.js'
import { createDispatcherParts, type DispatcherParts } from './dispatcher-parts.js'
import { type DispatcherOptions, type IssueReply, type InstanceDemand, type SubmitReply } from './dispatcher-types.js'
import { JobRecord } from './job-record.js'
import { type JobRegistry } from './job-registry.js'
import { type JobStateReply } from './job-table.js'
import { type LendingPeer } from './loan-request-planner.js'
import { type LoanReply } from './loan-manager.js'
import { type LoanGrant, type LoanRequest } from './loans.js'
import { Mailbox } from './mailbox.js'
import { checkSubmission } from './submission-check.js'
import { type TargetReport, type TargetState } from './target-state.js'
import { type StartedAttempt } from './task-starter.js'

/**
 * Time in milliseconds between two maintenance rounds, which update loans, let due health probes
 * start and drop expired entries.
 */
const maintenanceIntervalMs = 100

/**
 * Number of maintenance rounds between two sweeps, which drop expired keys and answers and fail
 * jobs that can no longer run.
 */
const roundsPerExpirySweep = 10

/** Time in milliseconds until the next dispatch round while a task waits for a busy target. */
const busyTargetRetryMs = 5

/**
 * Time in milliseconds until the next dispatch round while slots are short, since lenders or
 * targets may have free slots by then.
 */
const slotShortageRetryMs = 20

type Message =
  | { readonly kind: 'result', readonly attempt: StartedAttempt, readonly result: AttemptResult }
  | { readonly kind: 'loans', readonly reply: LoanReply }

/**
 * Owns the jobs, the queue, the targets and the plan shares of one instance. All handlers are
 * synchronous; results of attempts and replies to loan requests arrive as messages. After each
 * batch of messages, one dispatch round starts all tasks that can start.
 */
export class Dispatcher {
  private readonly parts: DispatcherParts
  private readonly clock: Clock
  private readonly mailbox: Mailbox<Message>
  private runningAttempts = 0
  private isDraining = false
  private isDrained = false
  private readonly drainWaiters: Array<() => void> = []
  private maintenanceRounds = 0
  private cancelMaintenance: () => void
  private cancelRetry: (() => void) | undefined

  constructor (private readonly options: DispatcherOptions) {
    this.clock = options.clock
    this.mailbox = new Mailbox((message) => { this.handleMessage(message) }, () => { this.runDispatchRound() })
    this.parts = createDispatcherParts(options, {
      postLoanReply: (reply) => { this.mailbox.post({ kind: 'loans', reply }) },
      startAttempt: (attempt) => { this.startAttempt(attempt) }
    })
    this.cancelMaintenance = this.clock.startTimer(maintenanceIntervalMs, () => { this.runMaintenance() })
  }

  /** Issues `count` keys to a customer; refuses while draining and for a customer without a plan. */
  issueKeys (customer: string, count: number): IssueReply {
    if (this.isDraining) return { kind: 'refused', error: createResultError('Leaving', 'the instance issues no more keys') }
    if (this.parts.shares.findLimit(customer) === undefined) {
      return { kind: 'refused', error: createResultError('UnknownCustomer', `customer "${customer}" has no plan`, 'customer') }
    }
    return this.parts.registry.issue(customer, count, this.clock.now())
  }

  /**
   * Admits a job, or attaches the request to the job that was already admitted with the key.
   *
   * @param bodyHash - hash of the canonical body; a resubmission must have the same hash
   */
  submit (spec: JobSpec, bodyHash: string, traceparent?: string): SubmitReply {
    const now = this.clock.now()
    // A resubmission attaches even if plans or targets have changed since, so only new jobs are checked.
    if (this.parts.jobs.isNew(spec)) {
      if (this.isDrained) return { kind: 'refused', error: createResultError('Leaving', 'the instance accepts no more jobs') }
      const error = checkSubmission(spec, {
        limit: this.parts.shares.findLimit(spec.customer),
        queued: this.parts.queue.get(spec.customer)?.queued ?? 0,
        hasTargets: this.parts.targets.list().length > 0,
        isAnyLargeEnough: demand => this.parts.targets.isAnyLargeEnough(demand)
      })
      if (error !== undefined) return { kind: 'refused', error }
    }
    const admission = this.parts.registry.admit(spec, bodyHash, now)
    if (admission.kind !== 'admitted') return admission
    const job = new JobRecord(spec, now, traceparent, (kind, declaredMs) => this.parts.estimator.estimateRun(kind, declaredMs))
    this.parts.jobs.add(job)
    this.parts.queue.addJob(job)
    this.parts.observer.onJobAdmitted(spec)
    this.mailbox.schedule()
    return { kind: 'accepted' }
  }

  /** @returns the customer to whom a key was issued, undefined for an unknown key */
  findCustomer (key: string): string | undefined {
    return this.parts.registry.findCustomer(key)
  }

  /** @returns the state of the job that was submitted with the key, or why there is none */
  fetch (key: string, customer: string): JobStateReply {
    return this.parts.jobs.fetch(key, customer)
  }

  /** @returns the answer as soon as there is one, otherwise the state of the job after `waitMs` milliseconds */
  async waitForAnswer (key: string, customer: string, waitMs: number): Promise<JobStateReply> {
    return await this.parts.jobs.waitForAnswer(key, customer, waitMs)
  }

  /**
   * Fails a job as cancelled: drops its queued tasks and asks targets to stop its running ones.
   * A finished job keeps its answer.
   */
  cancel (key: string, customer: string): JobStateReply {
    const reply = this.parts.jobs.fetch(key, customer)
    const job = this.parts.jobs.get(key)
    if (reply.kind === 'refused' || job === undefined) return reply
    this.parts.progress.failJob(job, 'JobCancelled', `job ${key} was cancelled`, undefined, true)
    this.mailbox.schedule()
    return this.parts.jobs.fetch(key, customer)
  }

  /** Applies a configuration. The caller has to make sure that versions never decrease. */
  applyConfiguration (configuration: Configuration): void {
    this.parts.shares.applyConfiguration(configuration)
    this.parts.queue.applyLimits()
    this.parts.starter.requeueBoundTasks()
    this.parts.progress.failImpossibleJobs()
    this.mailbox.schedule()
  }

  /** Replaces the list of targets of this instance's failure domain. */
  applyTargets (targets: readonly TargetDescription[]): void {
    const now = this.clock.now()
    for (const id of this.parts.targets.applyList(targets, now)) {
      this.parts.credits.removeTarget(id)
      this.parts.estimator.removeTarget(id)
    }
    this.parts.credits.applyTargets(this.parts.targets.list(), now)
    this.mailbox.schedule()
  }

  /** Applies the state that a target reports in each of its replies. */
  applyTargetReport (targetId: string, report: TargetReport): void {
    this.parts.targets.applyReport(targetId, report)
  }

  /** Replaces the list of live peers. */
  applyPeers (peers: readonly LendingPeer[]): void {
    const now = this.clock.now()
    const sameDomainPeers = peers.filter(peer => peer.sameDomain)
    this.parts.loanManager.applyPeers(peers)
    for (const peer of sameDomainPeers) {
      this.parts.targets.applyPeerEjections(peer.seat, peer.ejectedTargets, now)
      this.parts.targets.applyPeerLeavingNotices(peer.leavingTargets ?? [])
    }
    this.parts.targets.retainPeers(new Set(sameDomainPeers.map(peer => peer.seat)))
    this.parts.credits.applyPeers(sameDomainPeers.map(peer => peer.seat), this.parts.targets.list(), now)
    this.mailbox.schedule()
  }

  /**
   * Handles the loan requests of a peer, which asks to use plan units or slot credits that this instance owns.
   *
   * @param peer - seat of the peer as `DOMAIN.SEAT`
   * @returns the grants, one for each request
   */
  handleBorrow (peer: string, requests: readonly LoanRequest[]): readonly LoanGrant[] {
    const grants = this.parts.loanManager.grantLoans(peer, requests, this.clock.now())
    this.mailbox.schedule()
    return grants
  }

  /** Handles the return of loans by a peer; the returned units can be used here again. */
  handleReturn (peer: string, loanIds: readonly string[]): void {
    this.parts.loanManager.applyReturn(peer, loanIds, this.clock.now())
    this.clearPlanBlocks()
    this.mailbox.schedule()
  }

  /** @returns the demand and the target observations of this instance, for its heartbeats */
  readDemand (): InstanceDemand {
    const queued = [...this.parts.queue.list()].filter(entry => entry.queued > 0).map(entry => [entry.customer, entry.queued] as const)
    return { queuedByCustomer: Object.fromEntries(queued), ejectedTargets: this.parts.targets.listEjected(), leavingTargets: this.parts.targets.listLeaving() }
  }

  /** @returns the retained answers, for the hand-over at a planned stop */
  listAnswers (): ReturnType<JobRegistry['listAnswers']> {
    return this.parts.registry.listAnswers()
  }

  /** @returns true while plan units are in use or lent; the seat must not be released during that time */
  hasOutstandingUnits (): boolean {
    return this.parts.shares.ledger.hasUnitsInUseOrLent(this.clock.now())
  }

  /** Stops issuing keys and lending; resolves when no accepted job is unanswered and no attempt is running. */
  async drain (): Promise<void> {
    this.isDraining = true
    this.parts.loanManager.stopLending()
    await new Promise<void>((resolve) => {
      this.drainWaiters.push(resolve)
      this.checkDrained()
    })
  }

  /** @returns a snapshot of the dispatcher for operators and metrics */
  readStatus (): DispatcherStatus {
    return {
      configurationVersion: this.parts.shares.version,
      isDraining: this.isDraining,
      isShareUsable: this.options.isShareUsable(),
      jobs: this.parts.jobs.size,
      ...collectStatus(this.parts, this.clock.now())
    }
  }

  /** Stops all timers and releases all waiting callers; results that arrive later are ignored. */
  stop (): void {
    this.cancelMaintenance()
    this.cancelRetry?.()
    this.parts.cancellations.stop()
    this.mailbox.stop()
    this.parts.jobs.stop()
  }

  private handleMessage (message: Message): void {
    if (message.kind === 'loans') {
      this.parts.loanManager.applyReply(message.reply, this.clock.now())
      return
    }
    this.runningAttempts--
    this.parts.progress.finishAttempt(message.attempt, message.result)
  }

  private runDispatchRound (): void {
    this.parts.loanManager.returnRecalledUnits(this.clock.now())
    const round = this.parts.starter.runRound()
    const now = this.clock.now()
    this.parts.loanManager.requestLoans(round.customersShortOfPlan, round.areSlotsShort, () => this.listUsableFastestFirst(), now)
    if (round.hasReachedLimit || round.isWaiting) this.scheduleRetry(round.hasReachedLimit ? 0 : busyTargetRetryMs)
    else if (round.areSlotsShort) this.scheduleRetry(slotShortageRetryMs)
    this.checkDrained()
  }

  private scheduleRetry (delayMs: number): void {
    this.cancelRetry?.()
    this.cancelRetry = this.clock.startTimer(delayMs, () => { this.mailbox.schedule() })
  }

  private startAttempt (attempt: StartedAttempt): void {
    this.runningAttempts++
    this.parts.observer.onAttemptStarted(attempt.order, this.clock.now() - attempt.job.submittedAt)
    this.options.runner.startAttempt(attempt.order, (result) => { this.mailbox.post({ kind: 'result', attempt, result }) })
  }

  private listUsableFastestFirst (): readonly TargetState[] {
    const now = this.clock.now()
    return this.parts.targets.list().filter(target => target.isUsable(now))
      .sort((a, b) => this.parts.estimator.getSlowdownFactor(a.id) - this.parts.estimator.getSlowdownFactor(b.id))
  }

  private runMaintenance (): void {
    const now = this.clock.now()
    this.cancelMaintenance = this.clock.startTimer(maintenanceIntervalMs, () => { this.runMaintenance() })
    this.parts.loanManager.renewAndReturnLoans(now)
    // Loans expire and the own share becomes usable with the passing of time, without a message.
    for (const target of this.parts.targets.list()) this.parts.credits.updateFreeCredits(target, now)
    this.clearPlanBlocks()
    if (++this.maintenanceRounds % roundsPerExpirySweep === 0) {
      this.parts.registry.sweep(now)
      this.parts.progress.failImpossibleJobs()
    }
    this.mailbox.schedule()
  }

  /** Lets tasks be tried again that were skipped because plan units were short. */
  private clearPlanBlocks (): void {
    for (const entry of [...this.parts.queue.list()]) this.parts.queue.clearPlanBlocks(entry.customer)
  }

  private checkDrained (): void {
    if (!this.isDraining || this.runningAttempts > 0 || this.parts.jobs.size > 0) return
    this.isDrained = true
    this.parts.loanManager.returnAll(this.clock.now())
    for (const resolve of this.drainWaiters.splice(0)) resolve()
  }
}

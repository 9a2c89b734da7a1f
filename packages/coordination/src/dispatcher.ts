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

/** Time in milliseconds between two rounds of maintenance: loans, health probes, expiry. */
const maintainMs = 100

/** Every how many rounds of maintenance jobs are checked against the targets and old keys are dropped. */
const slowRounds = 10

/** Time in milliseconds to the next round while a task waits for a busy target. */
const waitRetryMs = 5

/** Time in milliseconds to the next round while slots are short, when lenders or targets may have room again. */
const shortRetryMs = 20

type Message =
  | { readonly kind: 'result', readonly attempt: StartedAttempt, readonly result: AttemptResult }
  | { readonly kind: 'loans', readonly reply: LoanReply }

/**
 * The task that owns the jobs, the queue, the targets and the shares of one instance. All handlers
 * are synchronous; results of attempts and replies of lenders arrive as messages. After each
 * batch of messages, one round starts what can start.
 */
export class Dispatcher {
  private readonly parts: DispatcherParts
  private readonly clock: Clock
  private readonly mailbox: Mailbox<Message>
  private outstanding = 0
  private draining = false
  private drained = false
  private readonly drainWaiters: Array<() => void> = []
  private maintenanceRounds = 0
  private cancelMaintenance: () => void
  private cancelRetry: (() => void) | undefined

  constructor (private readonly options: DispatcherOptions) {
    this.clock = options.clock
    this.mailbox = new Mailbox((message) => { this.handle(message) }, () => { this.dispatch() })
    this.parts = createDispatcherParts(options, {
      postLoanReply: (reply) => { this.mailbox.post({ kind: 'loans', reply }) },
      startAttempt: (attempt) => { this.start(attempt) }
    })
    this.cancelMaintenance = this.clock.startTimer(maintainMs, () => { this.runMaintenance() })
  }

  issueKeys (customer: string, count: number): IssueReply {
    if (this.draining) return { kind: 'refused', error: createResultError('Leaving', 'the instance issues no more keys') }
    if (this.parts.shares.findLimit(customer) === undefined) {
      return { kind: 'refused', error: createResultError('UnknownCustomer', `customer "${customer}" has no plan`, 'customer') }
    }
    return this.parts.registry.issue(customer, count, this.clock.now())
  }

  /**
   * Admits a job, or attaches to the job that was admitted with the key.
   *
   * @param bodyHash - hash of the canonical body; a resubmission must have the same
   */
  submit (spec: JobSpec, bodyHash: string, traceparent?: string): SubmitReply {
    const now = this.clock.now()
    // A resubmission attaches whatever has changed since, so a known key is not checked again.
    if (this.parts.jobs.isNew(spec)) {
      if (this.drained) return { kind: 'refused', error: createResultError('Leaving', 'the instance accepts no more jobs') }
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

  /** @returns the customer to whom a key was issued, undefined for a key that is not known */
  findCustomer (key: string): string | undefined {
    return this.parts.registry.findCustomer(key)
  }

  fetch (key: string, customer: string): JobStateReply {
    return this.parts.jobs.fetch(key, customer)
  }

  /** @returns the answer, or the state after `waitMs` milliseconds */
  async waitForAnswer (key: string, customer: string, waitMs: number): Promise<JobStateReply> {
    return await this.parts.jobs.waitForAnswer(key, customer, waitMs)
  }

  /** Fails a running job as cancelled; queued tasks are dropped, running ones are asked to stop. */
  cancel (key: string, customer: string): JobStateReply {
    const reply = this.parts.jobs.fetch(key, customer)
    const job = this.parts.jobs.get(key)
    if (reply.kind === 'refused' || job === undefined) return reply
    this.parts.progress.failJob(job, 'JobCancelled', `job ${key} was cancelled`, undefined, true)
    this.mailbox.schedule()
    return this.parts.jobs.fetch(key, customer)
  }

  /** Puts a configuration in force; the caller sees to it that versions never fall. */
  applyConfiguration (configuration: Configuration): void {
    this.parts.shares.applyConfiguration(configuration)
    this.parts.queue.applyLimits()
    this.parts.starter.requeueBoundTasks()
    this.parts.progress.failImpossibleJobs()
    this.mailbox.schedule()
  }

  /** Replaces the list of the targets of the own domain. */
  applyTargets (targets: readonly TargetDescription[]): void {
    const now = this.clock.now()
    for (const id of this.parts.targets.applyList(targets, now)) {
      this.parts.credits.removeTarget(id)
      this.parts.estimator.removeTarget(id)
    }
    this.parts.credits.applyTargets(this.parts.targets.list(), now)
    this.mailbox.schedule()
  }

  /** Takes what a target tells in any of its replies. */
  applyTargetReport (targetId: string, report: TargetReport): void {
    this.parts.targets.applyReport(targetId, report)
  }

  /** Replaces the list of live peers. */
  applyPeers (peers: readonly LendingPeer[]): void {
    const now = this.clock.now()
    const near = peers.filter(peer => peer.sameDomain)
    this.parts.exchange.applyPeers(peers)
    for (const peer of near) {
      this.parts.targets.applyPeerEjections(peer.seat, peer.ejectedTargets, now)
      this.parts.targets.applyPeerLeavingMarks(peer.leavingTargets ?? [])
    }
    this.parts.targets.retainPeers(new Set(near.map(peer => peer.seat)))
    this.parts.credits.applyPeers(near.map(peer => peer.seat), this.parts.targets.list(), now)
    this.mailbox.schedule()
  }

  handleBorrow (peer: string, requests: readonly LoanRequest[]): readonly LoanGrant[] {
    const grants = this.parts.exchange.grantLoans(peer, requests, this.clock.now())
    this.mailbox.schedule()
    return grants
  }

  handleReturn (peer: string, loanIds: readonly string[]): void {
    this.parts.exchange.applyReturn(peer, loanIds, this.clock.now())
    this.clearPlanBlocks()
    this.mailbox.schedule()
  }

  /** @returns what heartbeats tell about the demand of this instance */
  readDemand (): InstanceDemand {
    const queued = [...this.parts.queue.list()].filter(entry => entry.queued > 0).map(entry => [entry.customer, entry.queued] as const)
    return { queuedByCustomer: Object.fromEntries(queued), ejectedTargets: this.parts.targets.listEjected(), leavingTargets: this.parts.targets.listLeaving() }
  }

  /** @returns the kept answers, for the hand-over at a planned stop */
  listAnswers (): ReturnType<JobRegistry['listAnswers']> {
    return this.parts.registry.listAnswers()
  }

  /** @returns true while units of plans are in use or lent; the seat must not be released before */
  hasOutstandingUnits (): boolean {
    return this.parts.shares.ledger.hasUnitsInUseOrLent(this.clock.now())
  }

  /** Issues no more keys and lends nothing more; resolves when no accepted job and no attempt is running. */
  async drain (): Promise<void> {
    this.draining = true
    this.parts.exchange.stopLending()
    await new Promise<void>((resolve) => {
      this.drainWaiters.push(resolve)
      this.checkDrained()
    })
  }

  readStatus (): DispatcherStatus {
    return {
      configurationVersion: this.parts.shares.version,
      isDraining: this.draining,
      isShareUsable: this.options.isShareUsable(),
      jobs: this.parts.jobs.size,
      ...collectStatus(this.parts, this.clock.now())
    }
  }

  /** Stops all timers and ends all waiting; results that arrive later are ignored. */
  stop (): void {
    this.cancelMaintenance()
    this.cancelRetry?.()
    this.parts.cancellations.stop()
    this.mailbox.stop()
    this.parts.jobs.stop()
  }

  private handle (message: Message): void {
    if (message.kind === 'loans') {
      this.parts.exchange.applyReply(message.reply, this.clock.now())
      return
    }
    this.outstanding--
    this.parts.progress.finishAttempt(message.attempt, message.result)
  }

  private dispatch (): void {
    this.parts.exchange.returnRecalledUnits(this.clock.now())
    const round = this.parts.starter.runRound()
    const now = this.clock.now()
    this.parts.exchange.requestLoans(round.customersShortOfPlan, round.areSlotsShort, () => this.listBySpeed(), now)
    if (round.hasReachedLimit || round.isWaiting) this.scheduleRetry(round.hasReachedLimit ? 0 : waitRetryMs)
    else if (round.areSlotsShort) this.scheduleRetry(shortRetryMs)
    this.checkDrained()
  }

  private scheduleRetry (delayMs: number): void {
    this.cancelRetry?.()
    this.cancelRetry = this.clock.startTimer(delayMs, () => { this.mailbox.schedule() })
  }

  private start (attempt: StartedAttempt): void {
    this.outstanding++
    this.parts.observer.onAttemptStarted(attempt.order, this.clock.now() - attempt.job.submittedAt)
    this.options.runner.startAttempt(attempt.order, (result) => { this.mailbox.post({ kind: 'result', attempt, result }) })
  }

  private listBySpeed (): readonly TargetState[] {
    const now = this.clock.now()
    return this.parts.targets.list().filter(target => target.isUsable(now))
      .sort((a, b) => this.parts.estimator.getSlowdownFactor(a.id) - this.parts.estimator.getSlowdownFactor(b.id))
  }

  private runMaintenance (): void {
    const now = this.clock.now()
    this.cancelMaintenance = this.clock.startTimer(maintainMs, () => { this.runMaintenance() })
    this.parts.exchange.renewAndReturnLoans(now)
    // Loans end and the own share becomes usable without a message.
    for (const target of this.parts.targets.list()) this.parts.credits.updateFreeCredits(target, now)
    this.clearPlanBlocks()
    if (++this.maintenanceRounds % slowRounds === 0) {
      this.parts.registry.sweep(now)
      this.parts.progress.failImpossibleJobs()
    }
    this.mailbox.schedule()
  }

  private clearPlanBlocks (): void {
    for (const entry of [...this.parts.queue.list()]) this.parts.queue.clearPlanBlocks(entry.customer)
  }

  private checkDrained (): void {
    if (!this.draining || this.outstanding > 0 || this.parts.jobs.size > 0) return
    this.drained = true
    this.parts.exchange.returnAll(this.clock.now())
    for (const resolve of this.drainWaiters.splice(0)) resolve()
  }
}

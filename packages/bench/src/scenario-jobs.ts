import { setTimeout as delay } from 'node:timers/promises'
import { type BackgroundTasks } from './background-tasks.js'
import { type CallerJob, type CallerSession, type Destination, type JobPlan, type JobStanding, judgeReply } from './caller-session.js'
import { runWithConcurrencyLimit } from './concurrency-limit.js'
import { type HttpCallResult } from './http-call.js'
import { type ScenarioProcesses } from './scenario-processes.js'
import { type StepValue, type SubmitStep } from './scenario-schema.js'

/** Largest number of simultaneous calls, so that callers do not compete with the system for the machine. */
const maxConcurrentCalls = 64

/** A job of a group, with what its caller knows of it. */
export interface GroupJob {
  readonly job: CallerJob
  readonly submittedAt: number
  readonly standing: JobStanding
  /** Time of the final answer; undefined before it arrives. */
  readonly answeredAt: number | undefined
}

type TrackedJob = { -readonly [K in keyof GroupJob]: GroupJob[K] }

/** What the groups of jobs of a scenario work with. */
export interface ScenarioJobsContext {
  readonly session: CallerSession
  readonly processes: ScenarioProcesses
  /** Submissions that run beside other steps. */
  readonly submissions: BackgroundTasks
}

/** Submits and follows the groups of jobs of a scenario. */
export class ScenarioJobs {
  readonly #session: CallerSession
  readonly #processes: ScenarioProcesses
  readonly #submissions: BackgroundTasks
  readonly #groups: Map<string, TrackedJob[]>

  /**
   * @param context - session, processes and background submissions of the scenario
   * @param groups - receives the jobs of each group
   */
  constructor ({ session, processes, submissions }: ScenarioJobsContext, groups: Map<string, TrackedJob[]>) {
    this.#session = session
    this.#processes = processes
    this.#submissions = submissions
    this.#groups = groups
  }

  /**
   * Submits the jobs of a step; returns at once when the step runs in the background.
   */
  async submit (step: SubmitStep): Promise<void> {
    const seats = step.via ?? this.#processes.listSeats()
    const group = this.#groups.get(step.group) ?? []
    this.#groups.set(step.group, group)
    const submitted = this.#submitAll(step, seats, group)
    if (step.background) this.#submissions.add('background submissions', submitted)
    else await submitted
  }

  /**
   * Submits each job of a group again with the same key.
   */
  async resubmit ({ group, via, times }: StepValue<'resubmit'>): Promise<void> {
    for (let i = 0; i < times; i++) {
      await this.#processJobs(group, via, async (to, member) => {
        observeReply(member, await this.#session.submit(to, member.job))
      })
    }
  }

  /**
   * Cancels each job of a group.
   */
  async cancel ({ group, via }: StepValue<'cancel'>): Promise<void> {
    await this.#processJobs(group, via, async (to, { job }) => { await this.#session.cancel(to, job) })
  }

  /**
   * Fetches each job of a group once.
   */
  async fetch ({ group, via, waitMs }: StepValue<'fetch'>): Promise<void> {
    await this.#processJobs(group, via, async (to, { job }) => { await this.#session.fetch(to, job, waitMs) })
  }

  /**
   * Waits for the background submissions, then follows each job without a final answer until it has one.
   */
  async settle ({ groups, via, timeoutMs }: StepValue<'settle'>): Promise<void> {
    await this.#submissions.wait()
    const until = Date.now() + timeoutMs
    const select = (): Destination | undefined => this.#processes.takeDestination(via)
    const names = groups ?? [...this.#groups.keys()]
    const unanswered = names.flatMap(name => this.#groups.get(name) ?? []).filter(({ answeredAt }) => answeredAt === undefined)
    await runWithConcurrencyLimit(unanswered, maxConcurrentCalls, async member => {
      member.standing = await this.#session.waitForEnd(select, member.job, until)
      if (isAnswered(member.standing)) member.answeredAt = Date.now()
    })
  }

  async #submitAll (step: SubmitStep, seats: readonly string[], group: TrackedJob[]): Promise<void> {
    const plan = createPlan(step)
    const startedAt = Date.now()
    const submissions: Array<Promise<void>> = []
    for (let i = 0; i < step.jobs; i++) {
      if (step.perSecond !== undefined) await delay(Math.max(0, startedAt + i * 1_000 / step.perSecond - Date.now()))
      submissions.push(this.#submitOne(group, seats[i % seats.length]!, plan))
      if (submissions.length % maxConcurrentCalls === 0 && step.perSecond === undefined) await Promise.all(submissions)
    }
    await Promise.all(submissions)
  }

  async #submitOne (group: TrackedJob[], seat: string, plan: JobPlan): Promise<void> {
    const to = this.#processes.takeDestination([seat])
    if (to === undefined) return
    const submittedAt = Date.now()
    const job = await this.#session.createJob(to, plan)
    if (job === undefined) return
    const member: TrackedJob = { job, submittedAt, standing: 'unknown', answeredAt: undefined }
    group.push(member)
    observeReply(member, await this.#session.submit(to, job))
  }

  async #processJobs (group: string, via: readonly string[], act: (to: Destination, member: TrackedJob) => Promise<void>): Promise<void> {
    const members = this.#groups.get(group) ?? []
    await runWithConcurrencyLimit(members, maxConcurrentCalls, async member => {
      const to = this.#processes.takeDestination(via)
      if (to !== undefined) await act(to, member)
    })
  }
}

function isAnswered (standing: JobStanding): boolean {
  return standing === 'complete' || standing === 'failed'
}

/** Updates what the caller knows of a job; a final answer is never replaced. */
function observeReply (member: TrackedJob, reply: HttpCallResult): void {
  if (isAnswered(member.standing)) return
  member.standing = judgeReply(reply)
  if (isAnswered(member.standing)) member.answeredAt = Date.now()
}

function createPlan ({ customer, tasks, workMs, kind, demand, repeatable, timeoutMs }: SubmitStep): JobPlan {
  return {
    customer,
    tasks,
    workMs: divideWork(workMs, tasks),
    kind,
    ...(demand === undefined ? {} : { demand }),
    ...(repeatable === undefined ? {} : { repeatable }),
    ...(timeoutMs === undefined ? {} : { timeoutMs })
  }
}

function divideWork (workMs: SubmitStep['workMs'], tasks: number): readonly number[] {
  const [low, high] = typeof workMs === 'number' ? [workMs, workMs] : workMs
  return Array.from({ length: tasks }, (_, index) => low + Math.round((high - low) * index / Math.max(1, tasks - 1)))
}

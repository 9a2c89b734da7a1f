import { randomUUID } from 'node:crypto'
import { type Demand } from '@sesamereel/state'
import { tokens } from './cluster-model.js'
import { callHttp, type HttpCallResult } from './http-call.js'
import { type CallRecord, type JobRecord } from './history-records.js'

/** Where a call goes: an entry instance, or a balancer under its own name. */
export interface Destination {
  readonly name: string
  readonly callerAddress: string
}

/** What a caller wants to have done. */
export interface JobPlan {
  readonly customer: string
  readonly tasks: number
  /** Work of each task in milliseconds, one value for each task. */
  readonly workMs: readonly number[]
  readonly kind?: string
  readonly demand?: Demand
  /** Left out of the body when absent, so that the default applies. */
  readonly repeatable?: boolean
  readonly timeoutMs?: number
  /** Indexes of tasks that fail. */
  readonly failing?: readonly number[]
}

/** A job that a caller has a key for. */
export interface CallerJob {
  readonly record: JobRecord
  readonly body: Readonly<Record<string, unknown>>
}

/** How a job stands for its caller after a reply. */
export type JobStanding = 'complete' | 'failed' | 'running' | 'rejected' | 'gone' | 'missing' | 'unknown'

const defaultDemand: Demand = { processors: 1_000, memoryMb: 100, accelerators: 0 }

/** Callers and operators that record each call, as the checker needs it. */
export class CallerSession {
  readonly jobs: JobRecord[] = []
  readonly calls: CallRecord[] = []
  #jobNumber = 0
  #editNumber = 0

  /**
   * Asks for a key and makes a job for it; nothing is submitted yet.
   *
   * @returns the job, or undefined when no key was issued
   */
  async createJob (to: Destination, plan: JobPlan): Promise<CallerJob | undefined> {
    const [job] = await this.createJobs(to, plan, 1)
    return job
  }

  /**
   * Asks for keys and makes a job for each.
   *
   * @returns the jobs, none when no keys were issued
   */
  async createJobs (to: Destination, plan: JobPlan, count: number): Promise<readonly CallerJob[]> {
    const reply = await this.#call('keys', to, '/v1/keys', 'POST', undefined, { customer: plan.customer, count }, 10_000)
    if (reply.kind !== 'answered' || reply.status !== 200) return []
    return (reply.body as { keys: readonly string[] }).keys.map(key => this.#buildJob(key, plan))
  }

  async submit (to: Destination, job: CallerJob, waitMs = 0, timeoutMs?: number): Promise<HttpCallResult> {
    return await this.#call('submit', to, `/v1/jobs?waitMs=${waitMs}`, 'POST', job, job.body, timeoutMs ?? waitMs + 5_000)
  }

  async fetch (to: Destination, job: CallerJob, waitMs = 0): Promise<HttpCallResult> {
    return await this.#call('fetch', to, `/v1/jobs/${job.record.key}?waitMs=${waitMs}`, 'GET', job, undefined, waitMs + 5_000)
  }

  async cancel (to: Destination, job: CallerJob): Promise<HttpCallResult> {
    return await this.#call('cancel', to, `/v1/jobs/${job.record.key}`, 'DELETE', job, undefined, 5_000)
  }

  async readLists (to: Destination): Promise<HttpCallResult> {
    return await this.#call('read-lists', to, '/v1/lists', 'GET', undefined, undefined, 5_000)
  }

  /**
   * Edits one list.
   *
   * @param baseVersion - version that the edit is based on
   */
  async editList (to: Destination, list: 'plans' | 'limits', baseVersion: number, content: unknown): Promise<HttpCallResult> {
    const editId = `edit-${++this.#editNumber}-${randomUUID().slice(0, 8)}`
    return await this.#call('edit', to, `/v1/lists/${list}`, 'PUT', undefined, { baseVersion, editId, content, dryRun: false }, 15_000)
  }

  /**
   * Follows a job to its end as a caller does: fetches it, and submits it again when its owner has
   * not seen it or a reply was lost.
   *
   * @param select - chooses where each call goes
   * @param until - time at which to give up, by Date.now()
   */
  async waitForEnd (select: () => Destination | undefined, job: CallerJob, until: number): Promise<JobStanding> {
    let standing: JobStanding = 'unknown'
    while (Date.now() < until) {
      const to = select()
      if (to !== undefined) {
        const waitMs = Math.max(0, Math.min(2_000, until - Date.now()))
        const reply = standing === 'missing' || standing === 'rejected' ? await this.submit(to, job, waitMs) : await this.fetch(to, job, waitMs)
        standing = judgeReply(reply)
        if (standing === 'complete' || standing === 'failed' || standing === 'gone') return standing
      }
      if (standing !== 'running') await new Promise(resolve => setTimeout(resolve, 200))
    }
    return standing
  }

  #buildJob (key: string, plan: JobPlan): CallerJob {
    const job = `j${++this.#jobNumber}`
    const tags = Array.from({ length: plan.tasks }, (_, index) => `${job}#${index}`)
    const record: JobRecord = {
      job, key, customer: plan.customer, repeatable: plan.repeatable ?? false, marked: plan.repeatable === false, tags
    }
    this.jobs.push(record)
    const body = {
      key,
      customer: plan.customer,
      ...(plan.repeatable === undefined ? {} : { repeatable: plan.repeatable }),
      tasks: tags.map((tag, index) => {
        const workMs = plan.workMs[index % plan.workMs.length]!
        return {
          kind: plan.kind ?? 'lookup',
          payload: { workMs, tag, result: tag, ...(plan.failing?.includes(index) === true ? { fail: 'asked to fail' } : {}) },
          demand: plan.demand ?? defaultDemand,
          expectedMs: workMs,
          ...(plan.timeoutMs === undefined ? {} : { timeoutMs: plan.timeoutMs })
        }
      })
    }
    return { record, body }
  }

  async #call (op: CallRecord['op'], to: Destination, path: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', job: CallerJob | undefined, body: unknown, timeoutMs: number): Promise<HttpCallResult> {
    const sentAt = Date.now()
    const token = op === 'read-lists' || op === 'edit' ? tokens.operator : tokens.caller
    const reply = await callHttp(to.callerAddress, path, { method, token, timeoutMs, ...(body === undefined ? {} : { body }) })
    this.calls.push({ op, sentAt, at: Date.now(), via: to.name, reply, ...(job === undefined ? {} : { job: job.record.job }) })
    return reply
  }
}

/**
 * Judges what a reply about a job tells its caller. `missing`: its owner has not seen it;
 * `gone`: the outcome will never be known; `unknown`: ask again.
 */
export function judgeReply (reply: HttpCallResult): JobStanding {
  if (reply.kind === 'refused') return 'rejected'
  if (reply.kind !== 'answered' || typeof reply.body !== 'object' || reply.body === null) return 'unknown'
  const { state, error, name, notRun } = reply.body as { state?: unknown, error?: { name?: unknown, notRun?: unknown }, name?: unknown, notRun?: unknown }
  if (state === 'complete' || state === 'failed' || state === 'running') return state
  const code = error?.name ?? name
  if (code === 'JobUnknown') return 'missing'
  if (code === 'OwnerGone' || code === 'KeyExpired' || code === 'AnswerExpired') return 'gone'
  return (error?.notRun ?? notRun) === true ? 'rejected' : 'unknown'
}

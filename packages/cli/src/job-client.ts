import { type ResultCodeName, type ResultError } from '@sesamereel/state'
import { computeBackoffMs, sleep } from './backoff.js'
import { HttpClient, type HttpRequest, type HttpResult } from './http-client.js'
import { type ClientCounts, type JobOutcome, type JobRequest } from './job-outcome.js'
import { KeyPool, type KeyReply } from './key-pool.js'
import { readIssuedKeys, readResultError } from './reply-schemas.js'
import { isProvenNotRun, classifyJobReply, type ReplyClassification } from './reply-classification.js'
import { ServerSelector } from './server-selector.js'

export interface JobClientOptions {
  /** `IP:PORT` of each server; any of them serves every key. */
  readonly servers: readonly string[]
  readonly token: string
  /** Keys to ask for at once, 1 to 1,000; more save messages when many jobs are submitted. */
  readonly keyBlockSize?: number
  /** Longest wait for an answer in one request, in milliseconds. */
  readonly maxWaitMs?: number
  /** Time in milliseconds that a reply may take beyond its wait. */
  readonly replyTimeoutMs?: number
  /** Largest number of open connections to one server. */
  readonly connections?: number
  /** Index of the server to begin with. */
  readonly startServer?: number
}

export interface JobOptions {
  /** Time in milliseconds after which the client stops asking; the job itself goes on. */
  readonly timeoutMs?: number
  /** W3C trace context header value. */
  readonly traceparent?: string
  /** Stops asking; the job itself goes on. */
  readonly signal?: AbortSignal
  /** Called with the key as soon as the job has one. */
  readonly onKey?: (key: string) => void
  /** Called when a server reports progress. */
  readonly onProgress?: (done: number, total: number) => void
}

/** Longest time in milliseconds to ask about one job by default. */
const defaultTimeoutMs = 600_000

/** Shortest time in milliseconds from one wait for an answer to the next. */
const shortestRoundMs = 50

/** Longest time in milliseconds to ask for keys by default. */
const defaultKeysMs = 30_000

/** Errors after which other keys of the same owner are not used, since new ones cost only a message. */
const ownerProblems: ReadonlySet<ResultCodeName> = new Set(['OwnerGone', 'OutcomeUnknown', 'NotSent', 'Leaving'])

type MutableCounts = { -readonly [K in keyof ClientCounts]: number }

interface PendingJob {
  readonly key: string
  readonly options: JobOptions
  readonly endsAt: number
  /** Path and body of the submission; absent when only the answer is asked for. */
  readonly body?: string
  mode: 'submit' | 'wait'
  submissions: number
  mayHaveRun: boolean
  tries: number
  last: { readonly message: string, readonly error?: ResultError } | undefined
}

/**
 * Submits jobs and gets their answers through any of the given servers. A submission whose
 * reply is lost is repeated with the same key and body, which the key's owner admits only
 * once; a job never gets a second key.
 */
export class JobClient {
  readonly #options: Required<Omit<JobClientOptions, 'startServer' | 'connections'>>
  readonly #caller: HttpClient
  readonly #servers: ServerSelector
  readonly #keys: KeyPool
  readonly #counts: MutableCounts = { askKeys: 0, submit: 0, resubmit: 0, wait: 0, cancel: 0, lost: 0 }

  constructor (options: JobClientOptions) {
    this.#options = { keyBlockSize: 1, maxWaitMs: 10_000, replyTimeoutMs: 3_000, ...options }
    this.#caller = new HttpClient(options.connections === undefined ? {} : { connections: options.connections })
    this.#servers = new ServerSelector(options.servers, { start: options.startServer ?? 0 })
    this.#keys = new KeyPool(customer => this.askKeys(customer, this.#options.keyBlockSize))
  }

  /**
   * Asks for a block of keys. Keys that are never used do no harm, so the request is repeated
   * until a server replies.
   *
   * @param customer - customer that the keys are for
   * @param count - number of keys, 1 to 1,000
   * @param timeoutMs - time in milliseconds after which the client gives up
   * @returns the keys, or why there are none
   */
  async askKeys (customer: string, count: number, timeoutMs = defaultKeysMs, signal?: AbortSignal): Promise<KeyReply> {
    const endsAt = performance.now() + timeoutMs
    const body = JSON.stringify({ customer, count })
    for (let tries = 1; ; tries++) {
      this.#counts.askKeys++
      const result = await this.#call({ method: 'POST', path: '/v1/keys', body, timeoutMs: this.#options.replyTimeoutMs, ...(signal && { signal }) })
      const issued = result.kind === 'reply' ? readIssuedKeys(result.body) : undefined
      if (issued !== undefined) return { kind: 'issued', ...issued }
      const verdict = classifyJobReply(result)
      if (verdict.kind === 'final') return { kind: 'refused', error: verdict.error }
      const message = verdict.kind === 'again' ? verdict.message : 'unexpected reply to a request for keys'
      this.#servers.recordFailure(result.server)
      const pause = computeBackoffMs(tries, Math.random())
      if (signal?.aborted === true || performance.now() + pause > endsAt) return { kind: 'unreachable', message }
      // Each of the other servers is tried at once before the first pause.
      if (tries >= this.#servers.size) await sleep(pause, signal)
    }
  }

  /**
   * Submits a job and waits for its answer.
   *
   * @param request - the job
   * @param options - limits and callbacks
   * @returns the outcome; never rejects because of servers or connections
   */
  async submit (request: JobRequest, options: JobOptions = {}): Promise<JobOutcome> {
    const startedAt = performance.now()
    const taken = await this.#takeKey(request.customer, options)
    if (taken.kind !== 'key') return taken
    const timeoutMs = (options.timeoutMs ?? defaultTimeoutMs) - (performance.now() - startedAt)
    return await this.submitWithKey(taken.key, request, { ...options, timeoutMs })
  }

  /**
   * Submits a job under a given key and waits for its answer; also submits a job again whose
   * outcome was unknown, which must then have exactly the same request.
   *
   * @param key - key that was issued for the customer
   * @param request - the job
   * @param options - limits and callbacks
   * @returns the outcome
   */
  async submitWithKey (key: string, request: JobRequest, options: JobOptions = {}): Promise<JobOutcome> {
    options.onKey?.(key)
    const body = JSON.stringify({ key, customer: request.customer, repeatable: request.repeatable ?? false, tasks: request.tasks })
    const endsAt = performance.now() + (options.timeoutMs ?? defaultTimeoutMs)
    return await this.#askUntilKnown({ key, options, endsAt, body, mode: 'submit', submissions: 0, mayHaveRun: false, tries: 0, last: undefined })
  }

  /**
   * Waits for the answer to a job that was submitted earlier.
   *
   * @param key - key of the job
   * @param options - limits and callbacks; with `timeoutMs` 0 the job is asked for once
   * @returns the outcome
   */
  async fetch (key: string, options: JobOptions = {}): Promise<JobOutcome> {
    const endsAt = performance.now() + (options.timeoutMs ?? defaultTimeoutMs)
    return await this.#askUntilKnown({ key, options, endsAt, mode: 'wait', submissions: 0, mayHaveRun: true, tries: 0, last: undefined })
  }

  /**
   * Cancels a job. Tasks that have started may have run.
   *
   * @param key - key of the job
   * @param options - limits
   * @returns the state of the job after the cancellation
   */
  async cancel (key: string, options: JobOptions = {}): Promise<JobOutcome> {
    const endsAt = performance.now() + (options.timeoutMs ?? 30_000)
    for (let tries = 1; ; tries++) {
      this.#counts.cancel++
      const verdict = await this.#callAboutJob('DELETE', `/v1/jobs/${encodeURIComponent(key)}`, this.#options.replyTimeoutMs, options)
      if (verdict.kind === 'answered') return { kind: 'answered', key, answer: verdict.answer }
      if (verdict.kind === 'running') return { ...verdict, key }
      if (verdict.kind !== 'again') return { kind: verdict.error.notRun ? 'refused' : 'unknown', key, message: verdict.error.message, error: verdict.error }
      const pause = computeBackoffMs(tries, Math.random())
      if (options.signal?.aborted === true || performance.now() + pause > endsAt) {
        return { kind: 'unknown', key, message: verdict.message, ...(verdict.error && { error: verdict.error }) }
      }
      await sleep(pause, options.signal)
    }
  }

  /**
   * Reads the numbers of messages sent so far.
   *
   * @returns a copy of the counts
   */
  readCounts (): ClientCounts {
    return { ...this.#counts }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#caller.close()
  }

  /** Without blocks each job asks for its own key, which its time limit and its signal can end. */
  async #takeKey (customer: string, options: JobOptions): ReturnType<KeyPool['take']> {
    if (this.#options.keyBlockSize > 1) return await this.#keys.take(customer)
    const reply = await this.askKeys(customer, 1, options.timeoutMs, options.signal)
    return reply.kind === 'issued' ? { kind: 'key', key: reply.keys[0]! } : reply
  }

  async #askUntilKnown (asking: PendingJob): Promise<JobOutcome> {
    for (;;) {
      const askedAt = performance.now()
      const verdict = asking.mode === 'submit' ? await this.#submitOnce(asking) : await this.#waitOnce(asking)
      switch (verdict.kind) {
        case 'answered':
          return { kind: 'answered', key: asking.key, answer: verdict.answer }
        case 'running':
          asking.mode = 'wait'
          asking.mayHaveRun = true
          asking.tries = 0
          asking.options.onProgress?.(verdict.done, verdict.total)
          if (isOver(asking, 0)) return { kind: 'running', key: asking.key, done: verdict.done, total: verdict.total }
          // A server that replies at once instead of waiting must not cause a loop without a pause.
          if (performance.now() - askedAt < shortestRoundMs) await sleep(shortestRoundMs, asking.options.signal)
          break
        case 'final':
          return this.#endWithError(asking, verdict.error)
        case 'job-unknown':
          if (asking.body === undefined) return { kind: 'unknown', key: asking.key, message: verdict.error.message, error: verdict.error }
          asking.mode = 'submit'
          if (!await this.#pauseBeforeNext(asking, verdict.error.message, verdict.error)) return endUnknown(asking)
          break
        case 'again':
          asking.mayHaveRun ||= verdict.mayHaveRun
          if (verdict.error !== undefined && ownerProblems.has(verdict.error.name)) this.#keys.removeKeysOfIncarnation(asking.key)
          if (!await this.#pauseBeforeNext(asking, verdict.message, verdict.error)) return endUnknown(asking)
          break
      }
    }
  }

  async #submitOnce (asking: PendingJob): Promise<ReplyClassification> {
    this.#counts[asking.submissions++ === 0 ? 'submit' : 'resubmit']++
    const waitMs = this.#computeWait(asking)
    return await this.#callAboutJob('POST', `/v1/jobs?waitMs=${waitMs}`, waitMs + this.#options.replyTimeoutMs, asking.options, asking.body)
  }

  async #waitOnce (asking: PendingJob): Promise<ReplyClassification> {
    this.#counts.wait++
    const waitMs = this.#computeWait(asking)
    const path = `/v1/jobs/${encodeURIComponent(asking.key)}?waitMs=${waitMs}`
    return await this.#callAboutJob('GET', path, waitMs + this.#options.replyTimeoutMs, asking.options)
  }

  async #callAboutJob (method: HttpRequest['method'], path: string, deadlineMs: number, options: JobOptions, body?: string): Promise<ReplyClassification> {
    const { signal, traceparent } = options
    const result = await this.#call({ method, path, timeoutMs: deadlineMs, ...(body !== undefined && { body }), ...(signal && { signal }), ...(traceparent !== undefined && { traceparent }) })
    const verdict = classifyJobReply(result)
    if (verdict.kind === 'again' && signal?.aborted !== true) this.#servers.recordFailure(result.server)
    return verdict
  }

  async #call (request: HttpRequest): Promise<HttpResult> {
    const result = await this.#caller.send(this.#servers.pick(), { ...request, token: this.#options.token })
    if (result.kind === 'lost') this.#counts.lost++
    else if (readResultError(result.body) === undefined) this.#servers.recordSuccess(result.server)
    return result
  }

  #computeWait (asking: PendingJob): number {
    return Math.max(0, Math.min(this.#options.maxWaitMs, Math.floor(asking.endsAt - performance.now())))
  }

  async #pauseBeforeNext (asking: PendingJob, message: string, error?: ResultError): Promise<boolean> {
    asking.tries++
    asking.last = error === undefined ? { message } : { message, error }
    const pause = asking.tries < this.#servers.size ? 0 : computeBackoffMs(asking.tries - this.#servers.size + 1, Math.random())
    if (isOver(asking, pause)) return false
    if (pause > 0) await sleep(pause, asking.options.signal)
    return true
  }

  #endWithError (asking: PendingJob, error: ResultError): JobOutcome {
    if (ownerProblems.has(error.name)) this.#keys.removeKeysOfIncarnation(asking.key)
    if (isProvenNotRun(error, asking.mayHaveRun)) return { kind: 'refused', key: asking.key, error }
    return { kind: 'unknown', key: asking.key, message: error.message, error }
  }
}

function isOver (asking: PendingJob, pause: number): boolean {
  return asking.options.signal?.aborted === true || performance.now() + pause >= asking.endsAt
}

function endUnknown (asking: PendingJob): JobOutcome {
  const { message, error } = asking.last!
  if (!asking.mayHaveRun) {
    return error === undefined ? { kind: 'unreachable', message } : { kind: 'refused', key: asking.key, error }
  }
  return error === undefined ? { kind: 'unknown', key: asking.key, message } : { kind: 'unknown', key: asking.key, message, error }
}

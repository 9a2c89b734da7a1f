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
  /** Number of keys per request for keys, 1 to 1,000; larger blocks save requests when many jobs are submitted. */
  readonly keyBlockSize?: number
  /** Maximum time in milliseconds that one request asks the server to wait for an answer. */
  readonly maxWaitMs?: number
  /** Time limit in milliseconds for a reply, in addition to the time that the server is asked to wait. */
  readonly replyTimeoutMs?: number
  /** Maximum number of open connections to one server. */
  readonly connections?: number
  /** Index of the first server to use. */
  readonly startServer?: number
}

export interface JobOptions {
  /** Time in milliseconds after which the client stops waiting; the job itself continues. */
  readonly timeoutMs?: number
  /** W3C trace context header value. */
  readonly traceparent?: string
  /** Makes the client stop waiting; the job itself continues. */
  readonly signal?: AbortSignal
  /** Called with the key as soon as the job has one. */
  readonly onKey?: (key: string) => void
  /** Called when a server reports progress. */
  readonly onProgress?: (done: number, total: number) => void
}

/** Default time limit in milliseconds for one job. */
const defaultTimeoutMs = 600_000

/** Pause in milliseconds after a wait that the server ended sooner than this. */
const minWaitIntervalMs = 50

/** Default time limit in milliseconds for a request for keys. */
const defaultKeyTimeoutMs = 30_000

/** Errors after which the remaining keys of the same owner are discarded, since new ones cost only one request. */
const ownerFailureNames: ReadonlySet<ResultCodeName> = new Set(['OwnerGone', 'OutcomeUnknown', 'NotSent', 'Leaving'])

type MutableCounts = { -readonly [K in keyof ClientCounts]: number }

/** State of one job while the client submits it and waits for its answer. */
interface PendingJob {
  readonly key: string
  readonly options: JobOptions
  /** Time on the monotonic clock in milliseconds after which the client stops waiting. */
  readonly endsAt: number
  /** Body of the submission; absent when only the answer is requested. */
  readonly body?: string
  mode: 'submit' | 'wait'
  submissions: number
  mayHaveRun: boolean
  /** Failed tries since a server last replied that the job is running. */
  tries: number
  last: { readonly message: string, readonly error?: ResultError } | undefined
}

/**
 * Submits jobs and gets their answers through any of the given servers. A submission whose
 * reply is lost is repeated with the same key and body, and the key's owner admits them only
 * once; a job never gets a second key.
 */
export class JobClient {
  readonly #options: Required<Omit<JobClientOptions, 'startServer' | 'connections'>>
  readonly #httpClient: HttpClient
  readonly #servers: ServerSelector
  readonly #keyPool: KeyPool
  readonly #counts: MutableCounts = { askKeys: 0, submit: 0, resubmit: 0, wait: 0, cancel: 0, lost: 0 }

  constructor (options: JobClientOptions) {
    this.#options = { keyBlockSize: 1, maxWaitMs: 10_000, replyTimeoutMs: 3_000, ...options }
    this.#httpClient = new HttpClient(options.connections === undefined ? {} : { connections: options.connections })
    this.#servers = new ServerSelector(options.servers, { start: options.startServer ?? 0 })
    this.#keyPool = new KeyPool(customer => this.askKeys(customer, this.#options.keyBlockSize))
  }

  /**
   * Requests a block of keys. Unused keys do no harm, so the request is retried until a server
   * issues keys, refuses for good, or the time is up.
   *
   * @param customer - customer that the keys are for
   * @param count - number of keys, 1 to 1,000
   * @param timeoutMs - time in milliseconds after which the client stops retrying
   * @param signal - stops the retries
   * @returns the keys, or the reason why there are none
   */
  async askKeys (customer: string, count: number, timeoutMs = defaultKeyTimeoutMs, signal?: AbortSignal): Promise<KeyReply> {
    const endsAt = performance.now() + timeoutMs
    const body = JSON.stringify({ customer, count })
    for (let tries = 1; ; tries++) {
      this.#counts.askKeys++
      const result = await this.#call({ method: 'POST', path: '/v1/keys', body, timeoutMs: this.#options.replyTimeoutMs, ...(signal && { signal }) })
      const issued = result.kind === 'reply' ? readIssuedKeys(result.body) : undefined
      if (issued !== undefined) return { kind: 'issued', ...issued }
      const classification = classifyJobReply(result)
      if (classification.kind === 'final') return { kind: 'refused', error: classification.error }
      const message = classification.kind === 'again' ? classification.message : 'unexpected reply to a request for keys'
      this.#servers.recordFailure(result.server)
      const pause = computeBackoffMs(tries, Math.random())
      if (signal?.aborted === true || performance.now() + pause > endsAt) return { kind: 'unreachable', message }
      // The other servers are each tried without a pause first.
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
   * Submits a job under a given key and waits for its answer. To resubmit a job whose outcome
   * was unknown, pass its key and exactly the same request.
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
    return await this.#pollUntilOutcome({ key, options, endsAt, body, mode: 'submit', submissions: 0, mayHaveRun: false, tries: 0, last: undefined })
  }

  /**
   * Waits for the answer to a job that was submitted earlier.
   *
   * @param key - key of the job
   * @param options - limits and callbacks; with `timeoutMs` 0 its state is requested only once
   * @returns the outcome
   */
  async fetch (key: string, options: JobOptions = {}): Promise<JobOutcome> {
    const endsAt = performance.now() + (options.timeoutMs ?? defaultTimeoutMs)
    return await this.#pollUntilOutcome({ key, options, endsAt, mode: 'wait', submissions: 0, mayHaveRun: true, tries: 0, last: undefined })
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
      const classification = await this.#callForJob('DELETE', `/v1/jobs/${encodeURIComponent(key)}`, this.#options.replyTimeoutMs, options)
      if (classification.kind === 'answered') return { kind: 'answered', key, answer: classification.answer }
      if (classification.kind === 'running') return { ...classification, key }
      if (classification.kind !== 'again') return { kind: classification.error.notRun ? 'refused' : 'unknown', key, message: classification.error.message, error: classification.error }
      const pause = computeBackoffMs(tries, Math.random())
      if (options.signal?.aborted === true || performance.now() + pause > endsAt) {
        return { kind: 'unknown', key, message: classification.message, ...(classification.error && { error: classification.error }) }
      }
      await sleep(pause, options.signal)
    }
  }

  /**
   * Returns the number of requests sent so far, by kind.
   *
   * @returns a copy of the counts
   */
  readCounts (): ClientCounts {
    return { ...this.#counts }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#httpClient.close()
  }

  /** Takes a key from the pool. With a block size of 1 it requests a key for this job alone, within the job's time limit and until its signal is aborted. */
  async #takeKey (customer: string, options: JobOptions): ReturnType<KeyPool['take']> {
    if (this.#options.keyBlockSize > 1) return await this.#keyPool.take(customer)
    const reply = await this.askKeys(customer, 1, options.timeoutMs, options.signal)
    return reply.kind === 'issued' ? { kind: 'key', key: reply.keys[0]! } : reply
  }

  async #pollUntilOutcome (job: PendingJob): Promise<JobOutcome> {
    for (;;) {
      const askedAt = performance.now()
      const classification = job.mode === 'submit' ? await this.#submitOnce(job) : await this.#waitOnce(job)
      switch (classification.kind) {
        case 'answered':
          return { kind: 'answered', key: job.key, answer: classification.answer }
        case 'running':
          job.mode = 'wait'
          job.mayHaveRun = true
          job.tries = 0
          job.options.onProgress?.(classification.done, classification.total)
          if (isTimeUp(job, 0)) return { kind: 'running', key: job.key, done: classification.done, total: classification.total }
          // Prevents a busy loop when a server replies at once instead of waiting.
          if (performance.now() - askedAt < minWaitIntervalMs) await sleep(minWaitIntervalMs, job.options.signal)
          break
        case 'final':
          return this.#endWithError(job, classification.error)
        case 'job-unknown':
          if (job.body === undefined) return { kind: 'unknown', key: job.key, message: classification.error.message, error: classification.error }
          job.mode = 'submit'
          if (!await this.#pauseBeforeRetry(job, classification.error.message, classification.error)) return concludeAfterLastTry(job)
          break
        case 'again':
          job.mayHaveRun ||= classification.mayHaveRun
          if (classification.error !== undefined && ownerFailureNames.has(classification.error.name)) this.#keyPool.removeKeysOfIncarnation(job.key)
          if (!await this.#pauseBeforeRetry(job, classification.message, classification.error)) return concludeAfterLastTry(job)
          break
      }
    }
  }

  async #submitOnce (job: PendingJob): Promise<ReplyClassification> {
    this.#counts[job.submissions++ === 0 ? 'submit' : 'resubmit']++
    const waitMs = this.#computeWaitMs(job)
    return await this.#callForJob('POST', `/v1/jobs?waitMs=${waitMs}`, waitMs + this.#options.replyTimeoutMs, job.options, job.body)
  }

  async #waitOnce (job: PendingJob): Promise<ReplyClassification> {
    this.#counts.wait++
    const waitMs = this.#computeWaitMs(job)
    const path = `/v1/jobs/${encodeURIComponent(job.key)}?waitMs=${waitMs}`
    return await this.#callForJob('GET', path, waitMs + this.#options.replyTimeoutMs, job.options)
  }

  async #callForJob (method: HttpRequest['method'], path: string, timeoutMs: number, options: JobOptions, body?: string): Promise<ReplyClassification> {
    const { signal, traceparent } = options
    const result = await this.#call({ method, path, timeoutMs, ...(body !== undefined && { body }), ...(signal && { signal }), ...(traceparent !== undefined && { traceparent }) })
    const classification = classifyJobReply(result)
    if (classification.kind === 'again' && signal?.aborted !== true) this.#servers.recordFailure(result.server)
    return classification
  }

  async #call (request: HttpRequest): Promise<HttpResult> {
    const result = await this.#httpClient.send(this.#servers.pick(), { ...request, token: this.#options.token })
    if (result.kind === 'lost') this.#counts.lost++
    else if (readResultError(result.body) === undefined) this.#servers.recordSuccess(result.server)
    return result
  }

  #computeWaitMs (job: PendingJob): number {
    return Math.max(0, Math.min(this.#options.maxWaitMs, Math.floor(job.endsAt - performance.now())))
  }

  async #pauseBeforeRetry (job: PendingJob, message: string, error?: ResultError): Promise<boolean> {
    job.tries++
    job.last = error === undefined ? { message } : { message, error }
    const pause = job.tries < this.#servers.size ? 0 : computeBackoffMs(job.tries - this.#servers.size + 1, Math.random())
    if (isTimeUp(job, pause)) return false
    if (pause > 0) await sleep(pause, job.options.signal)
    return true
  }

  #endWithError (job: PendingJob, error: ResultError): JobOutcome {
    if (ownerFailureNames.has(error.name)) this.#keyPool.removeKeysOfIncarnation(job.key)
    if (isProvenNotRun(error, job.mayHaveRun)) return { kind: 'refused', key: job.key, error }
    return { kind: 'unknown', key: job.key, message: error.message, error }
  }
}

function isTimeUp (job: PendingJob, pause: number): boolean {
  return job.options.signal?.aborted === true || performance.now() + pause >= job.endsAt
}

function concludeAfterLastTry (job: PendingJob): JobOutcome {
  const { message, error } = job.last!
  if (!job.mayHaveRun) {
    return error === undefined ? { kind: 'unreachable', message } : { kind: 'refused', key: job.key, error }
  }
  return error === undefined ? { kind: 'unknown', key: job.key, message } : { kind: 'unknown', key: job.key, message, error }
}

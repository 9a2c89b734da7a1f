import { createResultError, formatKey, type JobAnswer, type JobKey, type JobSpec, maxKeysPerBlock, parseKey, type ResultError, type SeatId } from '@sesamereel/state'
import { KeyBlocks, keyLifetimeMs } from './key-blocks.js'

/** Time in milliseconds for which the answer of a finished job is kept. */
export const answerLifetimeMs = 600_000

export type IssueResult =
  | { readonly kind: 'issued', readonly keys: readonly string[], readonly expiresInMs: number }
  | { readonly kind: 'refused', readonly error: ResultError }

export type AdmitResult =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'attached' }
  | { readonly kind: 'refused', readonly error: ResultError }

/** Result of looking up a job; `answer` is absent while the job runs. */
export type FindResult =
  | { readonly kind: 'found', readonly answer?: JobAnswer }
  | { readonly kind: 'refused', readonly error: ResultError }

/** An answer with the data that a fetch is checked against, as handed over at a planned stop. */
export interface KeptAnswer {
  readonly key: string
  readonly customer: string
  readonly bodyHash: string
  readonly answer: JobAnswer
}

interface RegisteredJob {
  readonly customer: string
  readonly bodyHash: string
  answer?: JobAnswer
  expiresAt: number
}

/**
 * Issues keys and decides which submissions this incarnation admits: each key that it issued is
 * admitted at most once (docs/design.md, section 4). Times are monotonic milliseconds.
 */
export class JobRegistry {
  private readonly blocks = new KeyBlocks()
  private readonly jobs = new Map<string, RegisteredJob>()

  /** @param identity - seat and incarnation that are part of every issued key */
  constructor (private readonly identity: SeatId & { readonly incarnation: string }) {}

  /**
   * Issues keys to a customer.
   *
   * @param count - number of keys, 1 to `maxKeysPerBlock`
   * @returns the keys, or the error MalformedRequest when `count` is out of range
   */
  issue (customer: string, count: number, now: number): IssueResult {
    if (!Number.isInteger(count) || count < 1 || count > maxKeysPerBlock) {
      return refuse('MalformedRequest', `expected a count from 1 to ${maxKeysPerBlock}, found ${count}`, 'count')
    }
    const { domain, seat, incarnation } = this.identity
    const keys = this.blocks.issue(customer, count, now).map((sequence) => formatKey({ domain, seat, incarnation, sequence }))
    return { kind: 'issued', keys, expiresInMs: keyLifetimeMs }
  }

  /**
   * Admits a submission, or attaches it to the job that was already admitted with the same key.
   *
   * @param bodyHash - hash of the canonical body; a different hash for the same key is refused
   * @returns `admitted` at most once for each key; the errors are KeyMalformed, KeyNotIssued,
   *   KeyReused, KeyExpired, AnswerExpired, and OutcomeUnknown for a key of another incarnation
   */
  admit (spec: Pick<JobSpec, 'key' | 'customer'>, bodyHash: string, now: number): AdmitResult {
    const { key, customer } = spec
    const record = this.findRecord(key, now)
    if (record !== undefined) {
      if (record.customer !== customer) return refuseNotIssued(key, customer)
      if (record.bodyHash !== bodyHash) return refuse('KeyReused', `key ${key} was admitted with a different body`, 'key')
      return { kind: 'attached' }
    }
    const parsed = this.parseOwnKey(key)
    if ('error' in parsed) return parsed
    const status = this.blocks.classify(parsed.sequence, customer, now)
    if (status === 'unused') {
      this.blocks.markAdmitted(parsed.sequence)
      this.jobs.set(key, { customer, bodyHash, expiresAt: Infinity })
      return { kind: 'admitted' }
    }
    if (status === 'not-issued') return refuseNotIssued(key, customer)
    return refuseEnded(key, status)
  }

  /**
   * Finds the job of a key.
   *
   * @returns the job, or one of the errors of `admit`; JobUnknown when the key is still unused
   */
  find (key: string, customer: string, now: number): FindResult {
    const record = this.findRecord(key, now)
    if (record !== undefined) {
      if (record.customer !== customer) return refuseNotIssued(key, customer)
      return record.answer === undefined ? { kind: 'found' } : { kind: 'found', answer: record.answer }
    }
    const parsed = this.parseOwnKey(key)
    if ('error' in parsed) return parsed
    const status = this.blocks.classify(parsed.sequence, customer, now)
    if (status === 'unused') return refuse('JobUnknown', `no job was submitted with key ${key}`, 'key')
    if (status === 'not-issued') return refuseNotIssued(key, customer)
    return refuseEnded(key, status)
  }

  /**
   * Finds the customer to whom a key was issued, for requests that contain only the key.
   *
   * @returns the customer, undefined for a key that this incarnation did not issue or no longer knows
   */
  findCustomer (key: string): string | undefined {
    const record = this.jobs.get(key)
    if (record !== undefined) return record.customer
    const parsed = this.parseOwnKey(key)
    return 'error' in parsed ? undefined : this.blocks.findCustomer(parsed.sequence)
  }

  /** Records the answer of an admitted job; later answers for the same job are ignored. */
  finish (key: string, answer: JobAnswer, now: number): void {
    const record = this.jobs.get(key)
    if (record === undefined || record.answer !== undefined) return
    record.answer = answer
    record.expiresAt = now + answerLifetimeMs
  }

  /** Removes expired answers and keys. */
  sweep (now: number): void {
    for (const [key, record] of this.jobs) if (now >= record.expiresAt) this.jobs.delete(key)
    this.blocks.removeExpired(now)
  }

  /** Lists the answers that have not been removed. */
  listAnswers (): readonly KeptAnswer[] {
    const answers: KeptAnswer[] = []
    for (const [key, { customer, bodyHash, answer }] of this.jobs) {
      if (answer !== undefined) answers.push({ key, customer, bodyHash, answer })
    }
    return answers
  }

  private findRecord (key: string, now: number): RegisteredJob | undefined {
    const record = this.jobs.get(key)
    return record !== undefined && now < record.expiresAt ? record : undefined
  }

  private parseOwnKey (key: string): JobKey | { readonly kind: 'refused', readonly error: ResultError } {
    const parsed = parseKey(key)
    // Only the canonical form is accepted: "007" must not be an alias of "7".
    if (parsed === undefined || formatKey(parsed) !== key) return refuse('KeyMalformed', `"${key.slice(0, 100)}" does not have the form of an issued key`, 'key')
    const { domain, seat, incarnation } = this.identity
    if (parsed.domain !== domain || parsed.seat !== seat || parsed.incarnation !== incarnation) {
      return refuse('OutcomeUnknown', `key ${key} was issued by another instance or incarnation`, 'key')
    }
    return parsed
  }
}

function refuse (name: Parameters<typeof createResultError>[0], message: string, field: string): { readonly kind: 'refused', readonly error: ResultError } {
  return { kind: 'refused', error: createResultError(name, message, field) }
}

function refuseNotIssued (key: string, customer: string): { readonly kind: 'refused', readonly error: ResultError } {
  return refuse('KeyNotIssued', `key ${key} was not issued to customer "${customer}"`, 'key')
}

function refuseEnded (key: string, status: 'admitted' | 'expired'): { readonly kind: 'refused', readonly error: ResultError } {
  return status === 'expired'
    ? refuse('KeyExpired', `key ${key} was issued more than ${keyLifetimeMs / 60_000} minutes ago`, 'key')
    : refuse('AnswerExpired', `the answer for key ${key} has expired and is no longer kept`, 'key')
}

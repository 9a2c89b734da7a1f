import { type JobAnswer, type ResultCodeName, type ResultError } from '@sesamereel/state'
import { type HttpResult } from './http-client.js'
import { readJobState, readResultError } from './reply-schemas.js'

/** What the result of a request about a job means for the client. */
export type ReplyClassification =
  | { readonly kind: 'answered', readonly answer: JobAnswer }
  | { readonly kind: 'running', readonly done: number, readonly total: number }
  /** The request is retried with the same key; `mayHaveRun` is false only when it is certain that this request ran nothing. */
  | { readonly kind: 'again', readonly mayHaveRun: boolean, readonly message: string, readonly error?: ResultError }
  /** The owner knows no job with the key; the job has to be submitted (again). */
  | { readonly kind: 'job-unknown', readonly error: ResultError }
  /** A retry cannot change the result. */
  | { readonly kind: 'final', readonly error: ResultError }

/** Errors after which the request is retried: they are temporary, or another server may not have them. */
const transientErrorNames: ReadonlySet<ResultCodeName> = new Set(['NotReady', 'Leaving', 'NotSent', 'OutcomeUnknown', 'InternalError'])

/** Refusals that depend only on the request, so that they also hold for every earlier copy of it. */
const requestErrorNames: ReadonlySet<ResultCodeName> = new Set(['MalformedRequest', 'KeyMalformed', 'JobTooLarge', 'KeyNotIssued'])

/**
 * Classifies the result of a request about one job.
 *
 * @param result - the reply, or the reason why there is none
 * @returns the classification, which decides what the client does next
 */
export function classifyJobReply (result: HttpResult): ReplyClassification {
  if (result.kind === 'lost') return { kind: 'again', mayHaveRun: result.sent, message: result.message }
  const error = readResultError(result.body)
  if (error !== undefined) return classifyError(error, result.server)
  const state = readJobState(result.body)
  if (state === undefined) {
    return { kind: 'again', mayHaveRun: true, message: `${result.server}: unexpected reply with status ${result.status}` }
  }
  if (state.state === 'running') return { kind: 'running', done: state.done, total: state.total }
  return { kind: 'answered', answer: state }
}

function classifyError (error: ResultError, server: string): ReplyClassification {
  if (error.name === 'JobUnknown') return { kind: 'job-unknown', error }
  if (transientErrorNames.has(error.name)) return { kind: 'again', mayHaveRun: !error.notRun, message: `${server}: ${error.message}`, error }
  return { kind: 'final', error }
}

/**
 * Determines whether a refusal proves that the job was not run. An earlier copy of the request
 * whose reply was lost may still arrive, so after such a loss only refusals that depend only
 * on the request prove it.
 *
 * @param error - the refusal
 * @param mayHaveRun - whether an earlier copy of the request may have run the job
 * @returns true when nothing of the job was or will be run
 */
export function isProvenNotRun (error: ResultError, mayHaveRun: boolean): boolean {
  return error.notRun && (!mayHaveRun || requestErrorNames.has(error.name))
}

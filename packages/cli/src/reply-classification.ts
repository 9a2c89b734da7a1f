import { type JobAnswer, type ResultCodeName, type ResultError } from '@sesamereel/state'
import { type HttpResult } from './http-client.js'
import { readJobState, readResultError } from './reply-schemas.js'

/** What the client does after a reply, or the loss of one. */
export type ReplyClassification =
  | { readonly kind: 'answered', readonly answer: JobAnswer }
  | { readonly kind: 'running', readonly done: number, readonly total: number }
  /** Asks again with the same key; `mayHaveRun` is false only when this request proves to have run nothing. */
  | { readonly kind: 'again', readonly mayHaveRun: boolean, readonly message: string, readonly error?: ResultError }
  /** The owner knows no job with the key; the job has to be submitted (again). */
  | { readonly kind: 'job-unknown', readonly error: ResultError }
  /** Asking again cannot change the reply. */
  | { readonly kind: 'final', readonly error: ResultError }

/** Errors that pass, or that another server may not have. */
const passing: ReadonlySet<ResultCodeName> = new Set(['NotReady', 'Leaving', 'NotSent', 'OutcomeUnknown', 'InternalError'])

/** Refusals that depend on the request alone, so they also hold for every earlier copy of it. */
const decidedByRequest: ReadonlySet<ResultCodeName> = new Set(['MalformedRequest', 'KeyMalformed', 'JobTooLarge', 'KeyNotIssued'])

/**
 * Judges the result of a request about one job.
 *
 * @param result - reply or loss
 * @returns what to do next
 */
export function classifyJobReply (result: HttpResult): ReplyClassification {
  if (result.kind === 'lost') return { kind: 'again', mayHaveRun: result.sent, message: result.message }
  const error = readResultError(result.body)
  if (error !== undefined) return judgeError(error, result.server)
  const state = readJobState(result.body)
  if (state === undefined) {
    return { kind: 'again', mayHaveRun: true, message: `${result.server}: unexpected reply with status ${result.status}` }
  }
  if (state.state === 'running') return { kind: 'running', done: state.done, total: state.total }
  return { kind: 'answered', answer: state }
}

function judgeError (error: ResultError, server: string): ReplyClassification {
  if (error.name === 'JobUnknown') return { kind: 'job-unknown', error }
  if (passing.has(error.name)) return { kind: 'again', mayHaveRun: !error.notRun, message: `${server}: ${error.message}`, error }
  return { kind: 'final', error }
}

/**
 * Tells whether a refusal proves that the job was not run. An earlier copy of the request
 * whose reply was lost may still be on its way, so after such a loss only refusals that
 * depend on the request alone prove it.
 *
 * @param error - the refusal
 * @param mayHaveRun - whether the reply to an earlier copy was lost
 * @returns true when nothing of the job was or will be run
 */
export function isProvenNotRun (error: ResultError, mayHaveRun: boolean): boolean {
  return error.notRun && (!mayHaveRun || decidedByRequest.has(error.name))
}

import { type taskSpecSchema } from '@sesamereel/protocol'
import { type JobAnswer, type ResultError } from '@sesamereel/state'
import { type z } from 'zod'

/** Final result of a client call about a job. */
export type JobOutcome =
  /** The job is complete or failed. */
  | { readonly kind: 'answered', readonly key: string, readonly answer: JobAnswer }
  /** The job was proven not to have run. */
  | { readonly kind: 'refused', readonly key?: string, readonly error: ResultError }
  /** No server could be reached and nothing of the job was sent. */
  | { readonly kind: 'unreachable', readonly message: string }
  /** The job may have run, may be running, or may not have run. */
  | { readonly kind: 'unknown', readonly key: string, readonly message: string, readonly error?: ResultError }
  /** The job was still running when the client stopped waiting. */
  | { readonly kind: 'running', readonly key: string, readonly done: number, readonly total: number }

/** A job to submit, without a key. */
export interface JobRequest {
  readonly customer: string
  readonly repeatable?: boolean
  /** Tasks as in the caller API; the instance supplies defaults for absent fields. */
  readonly tasks: ReadonlyArray<Readonly<z.input<typeof taskSpecSchema>>>
}

/** Number of requests that a client sent, by kind. */
export interface ClientCounts {
  readonly askKeys: number
  /** First submission of a job. */
  readonly submit: number
  /** Submission repeated with the same key and body, after a lost reply or an unknown outcome. */
  readonly resubmit: number
  /** Requests that only wait for the answer to a job. */
  readonly wait: number
  readonly cancel: number
  /** Requests without a complete reply. */
  readonly lost: number
}

import { type taskSpecSchema } from '@sesamereel/protocol'
import { type JobAnswer, type ResultError } from '@sesamereel/state'
import { type z } from 'zod'

/** What the client can say in the end about a job. */
export type JobOutcome =
  /** The job is complete or failed. */
  | { readonly kind: 'answered', readonly key: string, readonly answer: JobAnswer }
  /** Proven not run. */
  | { readonly kind: 'refused', readonly key?: string, readonly error: ResultError }
  /** No server could be reached and nothing of the job was sent. */
  | { readonly kind: 'unreachable', readonly message: string }
  /** The job may have run, may be running, or may not have run. */
  | { readonly kind: 'unknown', readonly key: string, readonly message: string, readonly error?: ResultError }
  /** Still running when the time to wait was over. */
  | { readonly kind: 'running', readonly key: string, readonly done: number, readonly total: number }

/** A job before it has a key. */
export interface JobRequest {
  readonly customer: string
  readonly repeatable?: boolean
  /** Tasks as in the caller API; absent fields get the defaults of the instance. */
  readonly tasks: ReadonlyArray<Readonly<z.input<typeof taskSpecSchema>>>
}

/** Number of messages that a client sent, by kind. */
export interface ClientCounts {
  readonly askKeys: number
  /** First submission of a job. */
  readonly submit: number
  /** The same key and body again, after a lost reply or an unknown outcome. */
  readonly resubmit: number
  /** Waits and fetches of jobs that were accepted. */
  readonly wait: number
  readonly cancel: number
  /** Requests without a whole reply. */
  readonly lost: number
}

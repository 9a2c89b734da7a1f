import { type JobOutcome, type JobSpec, type RejectionReason } from './job-types.js'

/** A submission of a job to a dispatcher. */
export interface Submission {
  readonly job: JobSpec
  /** Time in milliseconds since the owner accepted the job. */
  readonly ageMs: number
  /** Whether the job may have been started under an earlier dispatcher of the domain. */
  readonly resubmitted: boolean
  /** Time in milliseconds after which no run of the job that an earlier dispatcher started exists. */
  readonly quietInMs: number
  /** Tasks that have ended `done`, by index over all steps. */
  readonly done: readonly number[]
}

/** How loaded a dispatcher is, as its owners see it. */
export interface LoadSummary {
  /** Processors in thousandths of a core that are free at usable targets. */
  readonly freeProcessors: number
  /** Processors in thousandths of a core at usable targets. */
  readonly usableProcessors: number
  /** Predicted wait of a new job in milliseconds. */
  readonly waitMs: number
  readonly queuedJobs: number
  /** Largest task, in thousandths of a core, that finds room now. */
  readonly largestFree: number
}

/** Messages of an owner to a dispatcher. */
export type OwnerMessage =
  | { readonly type: 'hello', readonly instance: string, readonly incarnation: string, readonly domain: string }
  | { readonly type: 'ping', readonly configurationVersion: number }
  | ({ readonly type: 'submit' } & Submission)
  | { readonly type: 'withdraw', readonly jobId: string }
  | { readonly type: 'cancel', readonly jobId: string, readonly reason: string }
  /** Cancels a job whoever owns it; the dispatcher tells whether it knew the job. */
  | { readonly type: 'cancel-any', readonly jobId: string }
  | { readonly type: 'configuration', readonly version: number, readonly text: string }

/** Messages of a dispatcher to an owner. */
export type DispatcherMessage =
  | { readonly type: 'welcome', readonly token: number }
  /** The dispatcher gives no more orders and extends no leases. */
  | { readonly type: 'stopped' }
  | { readonly type: 'not-dispatching', readonly incarnation: string }
  | { readonly type: 'pong', readonly load: LoadSummary, readonly lingering?: readonly string[], readonly configurationVersion: number }
  | { readonly type: 'started', readonly jobIds: readonly string[] }
  | { readonly type: 'progress', readonly jobId: string, readonly done: readonly number[] }
  | { readonly type: 'ended', readonly jobId: string, readonly outcome: JobOutcome }
  /** No task of the job was started by this dispatcher. */
  | { readonly type: 'rejected', readonly jobId: string, readonly reason: RejectionReason, readonly retryAfterMs: number }
  | { readonly type: 'withdrawn', readonly jobId: string }
  | { readonly type: 'cancelled-any', readonly jobId: string, readonly found: boolean }
  | { readonly type: 'configuration', readonly version: number, readonly text: string }
  /** The dispatcher stops; a named successor should claim the domain at once. */
  | { readonly type: 'hand-over', readonly successor: string }

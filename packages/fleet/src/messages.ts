import { type CancelledEntry } from './cancelled-jobs.js'
import { type DrainCarrier } from './domain-drains.js'
import { type JobOutcome, type JobSpec, type RejectionReason } from './job-types.js'
import { type TaskLosses } from './target-losses.js'

/** A submission of a job to a dispatcher. */
export interface Submission {
  /**
   * Identifies the submission among all of the owner's process. The dispatcher's replies name it, as the
   * job may have been submitted again meanwhile. Earlier versions omit it here and in all other messages.
   */
  readonly submissionId?: number
  readonly job: JobSpec
  /** Time in milliseconds since the owner accepted the job, by its monotonic clock. */
  readonly ageMs: number
  /** Time in milliseconds for which the owner's machine may have been suspended since then; earlier versions omit it. */
  readonly suspendedMs?: number
  /** Whether an earlier dispatcher of the domain may have started the job. */
  readonly resubmitted: boolean
  /** Time in milliseconds until all runs of the job that an earlier dispatcher started have ended. */
  readonly quietInMs: number
  /** Completed tasks, by their index over all steps. */
  readonly done: readonly number[]
  /** Targets that earlier dispatchers have lost under the job's tasks; absent if there are none. Earlier versions ignore it. */
  readonly losses?: TaskLosses
}

/** A start order that a dispatcher is about to send. */
export interface AnnouncedStart {
  readonly task: string
  readonly attempt: number
  /** Id of the target. */
  readonly target: string
}

/** A start order of a lost dispatcher that may still be carried out. */
export interface EarlierOrder extends AnnouncedStart {
  /** Whether the order is known to have had no answer, so that it may have been sent several times. */
  readonly isUnanswered: boolean
  /** Time in milliseconds after which it can't be carried out any more. */
  readonly remainingMs: number
}

/** Load of a dispatcher, as reported to its owners. */
export interface LoadSummary {
  /** Free processors at usable targets, in thousandths of a core. */
  readonly freeProcessors: number
  /** Processors at usable targets, in thousandths of a core. */
  readonly usableProcessors: number
  /** Predicted wait of a newly submitted job in milliseconds, with the delay that the dispatcher's process adds. */
  readonly waitMs: number
  readonly queuedJobs: number
  /** Processors of the largest task that a target could start now, in thousandths of a core. */
  readonly largestFree: number
  /** Number of runs that exist or may exist at the targets, while the domain is drained. */
  readonly runs?: number
}

/** Messages from an owner to a dispatcher. */
export type OwnerMessage =
  /**
   * `sequence` rises with each connection that the owner opens to the domain; `expectsList` asks for the list of
   * lingering jobs in the welcome; `confirmsStarts` says that the owner confirms announcements of starts,
   * `homeDomain` names the failure domain of its instance; `knownToken` is the token of the dispatcher of the domain to
   * which the owner was connected last, absent if there was none. Earlier versions omit them.
   */
  | ({ readonly type: 'hello', readonly instance: string, readonly incarnation: string, readonly domain: string, readonly sequence?: number, readonly expectsList?: boolean, readonly confirmsStarts?: boolean, readonly homeDomain?: string, readonly knownToken?: number } & DrainCarrier)
  /**
   * Answers a heartbeat, or the welcome; `heardSentAt` is its `sentAt`. `cancelled`, in the answer to a welcome, holds the
   * cancelled jobs that the welcome did not list.
   */
  | ({ readonly type: 'heartbeat-reply', readonly configurationVersion: number, readonly heardSentAt: number, readonly cancelled?: readonly CancelledEntry[] } & DrainCarrier)
  /** Asks a dispatcher that has been silent for a pong. `heardSentAt` is the newest `sentAt` that the owner has received on this connection; earlier versions omit it. */
  | { readonly type: 'ping', readonly configurationVersion: number, readonly heardSentAt?: number }
  | ({ readonly type: 'submit' } & Submission)
  /** Confirms that the sender knows the orders of an announcement. */
  | { readonly type: 'start-confirmation', readonly sequence: number }
  /** Orders of lost dispatchers whose answers the sender does not know; sent before the jobs that they concern. */
  | { readonly type: 'earlier-orders', readonly orders: readonly EarlierOrder[] }
  /**
   * Orders that the sender has reported while their dispatcher was not connected to it, and that were answered: the sender is
   * connected to that dispatcher again. Earlier versions ignore it.
   */
  | { readonly type: 'earlier-orders-settled', readonly orders: readonly AnnouncedStart[] }
  | { readonly type: 'withdraw', readonly jobId: string, readonly submissionId?: number }
  | { readonly type: 'cancel', readonly jobId: string, readonly reason: string, readonly submissionId?: number }
  /**
   * Cancels a job, whichever instance owns it; the reply tells whether the dispatcher knew the job. `known` says that the
   * sender did; earlier versions omit it.
   */
  | { readonly type: 'cancel-any', readonly jobId: string, readonly known?: boolean }
  /** Answers a request for the configuration. Earlier versions also send it unasked, and answer no request. */
  | { readonly type: 'configuration', readonly version: number, readonly text: string }
  | { readonly type: 'configuration-request' }

/** Periodic message of a dispatcher to all its owners, who answer it at once. */
export interface HeartbeatMessage extends DrainCarrier {
  readonly type: 'heartbeat'
  /** The dispatcher's time in milliseconds, by its monotonic clock plus all suspensions of its machine. */
  readonly sentAt: number
  readonly load: LoadSummary
  readonly configurationVersion: number
  /** Ids of all jobs that a resubmission may concern; only on a connection on which the list was not sent yet. */
  readonly lingering?: readonly string[]
  /** Changes of that list since the last heartbeat; absent if there are none. */
  readonly lingeringAdded?: readonly string[]
  readonly lingeringRemoved?: readonly string[]
  /** Jobs that were cancelled, or became known to be, since the last heartbeat; absent if there are none. */
  readonly cancelledAdded?: readonly CancelledEntry[]
  /** Announcements up to this sequence number concern no order whose answer is open, apart from those reported as unanswered; earlier versions omit it. */
  readonly settledSequence?: number
}

/** Messages from a dispatcher to an owner. */
export type DispatcherMessage =
  | HeartbeatMessage
  /**
   * `sentAt` is the dispatcher's time, as in a heartbeat. `lingering` holds the ids of all jobs that a
   * resubmission may concern; the next heartbeat carries the changes. `cancelled` holds
   * the cancelled jobs. Earlier versions omit them.
   */
  | ({ readonly type: 'welcome', readonly token: number, readonly sentAt?: number, readonly lingering?: readonly string[], readonly cancelled?: readonly CancelledEntry[] } & DrainCarrier)
  /** The dispatcher has stopped: it sends no more orders and renews no leases. */
  | { readonly type: 'stopped' }
  | { readonly type: 'not-dispatching', readonly incarnation: string }
  /**
   * Answers a ping. `lingering` holds the ids of jobs that a resubmission may concern.
   * `sentAt` is the dispatcher's time, as in a heartbeat; earlier versions omit it.
   */
  | { readonly type: 'pong', readonly sentAt?: number, readonly load: LoadSummary, readonly lingering?: readonly string[], readonly configurationVersion: number }
  | { readonly type: 'started', readonly jobIds: readonly string[] }
  /** Announces start orders, which are sent once the receiver has confirmed it. The jobs need not be the receiver's. */
  | { readonly type: 'start-announcement', readonly sequence: number, readonly settledSequence: number, readonly starts: readonly AnnouncedStart[] }
  /** Outstanding orders that the receiver is to keep as a witness, as those that knew of them are not connected any more. */
  | { readonly type: 'outstanding-orders', readonly orders: readonly EarlierOrder[] }
  /** An announced order was not answered. */
  | { readonly type: 'order-unanswered', readonly task: string, readonly attempt: number }
  /** An order of a lost dispatcher that the receiver has reported was carried out, so that it is not outstanding any more. */
  | { readonly type: 'order-settled', readonly task: string, readonly attempt: number }
  | { readonly type: 'progress', readonly jobId: string, readonly done: readonly number[], readonly submissionId?: number }
  /** All targets that are known to have been lost under the job's tasks. Owners of earlier versions ignore it. */
  | { readonly type: 'losses', readonly jobId: string, readonly losses: TaskLosses, readonly submissionId?: number }
  | { readonly type: 'ended', readonly jobId: string, readonly outcome: JobOutcome, readonly submissionId?: number }
  /** The dispatcher rejects the job and has started no task of it. */
  | { readonly type: 'rejected', readonly jobId: string, readonly reason: RejectionReason, readonly retryAfterMs: number, readonly submissionId?: number }
  | { readonly type: 'withdrawn', readonly jobId: string, readonly submissionId?: number }
  | { readonly type: 'cancelled-any', readonly jobId: string, readonly found: boolean }
  | { readonly type: 'configuration', readonly version: number, readonly text: string }
  | { readonly type: 'configuration-request' }
  /** The dispatcher is stopping; the named successor should claim the domain at once. */
  | { readonly type: 'hand-over', readonly successor: string }

import { type Demand } from '@sesamereel/state'

/** A target as described by its entry in the platform's list. */
export interface TargetInfo {
  readonly id: string
  /** `IP:PORT`. */
  readonly address: string
  readonly service: string
  readonly domain: string
  /** Whether the target takes no new runs because it is about to leave. */
  readonly draining: boolean
  readonly capacity: Demand
  /** Kind and rack of the target. */
  readonly labels: readonly string[]
  /** Unix time in milliseconds at which this incarnation of the target started, if the list states it. */
  readonly bornMs?: number
  /** Revision of the list entry. */
  readonly revision: number
}

/** An order to start one run of a task. */
export interface StartOrder {
  readonly task: string
  readonly attempt: number
  readonly payload: string
  /** Time on the target's clock, in milliseconds, after which the target refuses the order. */
  readonly deadlineMs: number
  readonly token: number
}

/** An order to stop a run, or to refuse its start if that has not arrived yet. */
export interface StopOrder {
  readonly task: string
  readonly attempt: number
  readonly token: number
}

/** A request for the running and ended runs of a target; it also extends their leases. */
export interface PollRequest {
  readonly token: number
  /** Number of the last end that was processed; the target discards the ends up to it. */
  readonly lastSeenEnd: number
  /** Time in milliseconds that the target may wait for the end of a run before it replies. */
  readonly waitMs: number
  /**
   * Time on the target's clock, in milliseconds, to which the leases of all runs are extended;
   * absent to leave them unchanged.
   */
  readonly leaseUntil?: number
}

/**
 * `not-sent`: the order was not sent; `no-answer`: it may have been carried out, or may be later. `isRefused` is set when
 * the target's host refused the connection.
 */
export type NoReply =
  | { readonly kind: 'not-sent', readonly message: string, readonly isRefused?: boolean }
  | { readonly kind: 'no-answer', readonly message: string }

export type StartRejection = 'superseded' | 'old' | 'late' | 'room' | 'unhealthy' | 'other-incarnation' | 'invalid'

export type StartReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'rejected', readonly reason: StartRejection }
  | NoReply

export type StopReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'rejected', readonly reason: 'superseded' | 'other-incarnation' | 'invalid' }
  | NoReply

export interface RunningEntry {
  readonly task: string
  readonly attempt: number
  /** Progress in whole percent. */
  readonly percent: number
}

export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

export interface EndedEntry {
  /** Sequence number of the end in this incarnation of the target, from 1. */
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly how: EndKind
}

/** What a target reports in reply to a poll. */
export interface TargetView {
  /** The target's clock in milliseconds when it replied. */
  readonly clockMs: number
  /** Unix time in milliseconds at which this incarnation of the target started. */
  readonly bornMs?: number
  readonly running: readonly RunningEntry[]
  readonly ended: readonly EndedEntry[]
}

export type PollReply =
  | { readonly kind: 'view', readonly view: TargetView }
  | { readonly kind: 'rejected', readonly reason: 'superseded' | 'other-incarnation' | 'unhealthy' | 'invalid' }
  | NoReply

/** The connections to one target. Timeouts are in milliseconds; a call without a reply resolves to a `NoReply`. */
export abstract class TargetConnection {
  /**
   * @param onLateReply - receives the reply if it comes after the timeout, when the result was `no-answer`, and the connection
   *   still waits for it
   */
  abstract start (order: StartOrder, timeoutMs: number, onLateReply?: (reply: StartReply) => void): Promise<StartReply>
  abstract stop (order: StopOrder, timeoutMs: number): Promise<StopReply>
  abstract poll (request: PollRequest, timeoutMs: number): Promise<PollReply>
  abstract close (): void
}

/** Opens connections to targets. */
export abstract class TargetConnector {
  abstract connect (target: TargetInfo): TargetConnection
}

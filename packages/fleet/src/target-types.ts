import { type Demand } from '@sesamereel/state'

/** A target as the platform's list names it. */
export interface TargetInfo {
  readonly id: string
  /** `IP:PORT`. */
  readonly address: string
  readonly service: string
  readonly domain: string
  readonly draining: boolean
  readonly capacity: Demand
  /** Kind and rack of the target. */
  readonly labels: readonly string[]
  /** Unix time in milliseconds at which this life of the target began, when the list tells it. */
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

export interface StopOrder {
  readonly task: string
  readonly attempt: number
  readonly token: number
}

/** A request for what runs and what ended at a target; it also extends the leases there. */
export interface PollRequest {
  readonly token: number
  /** Number of the last end that was taken note of; the target forgets the ends up to it. */
  readonly lastSeenEnd: number
  /** Time in milliseconds that the target may wait for an end before it replies. */
  readonly waitMs: number
  /** Time on the target's clock until which everything may run; leases stay as they are when absent. */
  readonly leaseUntil?: number
}

/** No reply: the order was either not sent or may have been carried out, now or later. */
export type NoReply =
  | { readonly kind: 'not-sent', readonly message: string }
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
  /** Number of the end in this life of the target, from 1. */
  readonly number: number
  readonly task: string
  readonly attempt: number
  readonly how: EndKind
}

export interface TargetView {
  /** The target's clock in milliseconds when it replied. */
  readonly clockMs: number
  /** Unix time in milliseconds at which this life of the target began. */
  readonly bornMs?: number
  readonly running: readonly RunningEntry[]
  readonly ended: readonly EndedEntry[]
}

export type PollReply =
  | { readonly kind: 'view', readonly view: TargetView }
  | { readonly kind: 'rejected', readonly reason: 'superseded' | 'other-incarnation' | 'unhealthy' | 'invalid' }
  | NoReply

/** The connections to one target. */
export abstract class TargetConnection {
  abstract start (order: StartOrder, timeoutMs: number): Promise<StartReply>
  abstract stop (order: StopOrder, timeoutMs: number): Promise<StopReply>
  abstract poll (request: PollRequest, timeoutMs: number): Promise<PollReply>
  abstract close (): void
}

/** Opens connections to targets. */
export abstract class TargetConnector {
  abstract connect (target: TargetInfo): TargetConnection
}

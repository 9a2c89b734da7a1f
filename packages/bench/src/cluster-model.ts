import { type LimitList, type PlanList, type TargetDescription } from '@sesamereel/state'

/** What a target is started with. */
export interface TargetSpec {
  /** Speed relative to the declared work of a task; 2 takes half the time. */
  readonly speed: number
  readonly slots: number
  readonly connections?: number
  readonly capacity?: TargetDescription['capacity']
}

/** A failure domain of a cluster: one entry instance for each seat, and its targets. */
export interface DomainSpec {
  readonly name: string
  readonly seats: number
  readonly targets: readonly TargetSpec[]
}

/** What a cluster consists of. */
export interface ClusterSpec {
  readonly domains: readonly DomainSpec[]
  readonly plans: PlanList
  readonly limits: LimitList
  /** One-way delay between domains in milliseconds. */
  readonly delayMs: number
}

/** An entry instance that was started in a cluster. */
export interface EntryProcess {
  /** `DOMAIN.SEAT#NUMBER`; the number distinguishes the successive processes of a seat. */
  readonly name: string
  readonly domain: string
  readonly seat: number
  readonly callerAddress: string
  readonly peerAddress: string
}

/** A target that was started in a cluster. */
export interface TargetProcess {
  readonly id: string
  readonly domain: string
  readonly spec: TargetSpec
  readonly apiAddress: string
  readonly adminAddress: string
}

/** Bearer tokens of the callers, operators and peers of every cluster. */
export const tokens = {
  caller: 'caller-token-of-the-bench',
  operator: 'operator-token-of-the-bench',
  peer: 'peer-token-of-the-bench'
} as const

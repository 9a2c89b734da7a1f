import { type Demand, type LimitList, type PlanList } from '@sesamereel/state'
import { type HttpCallResult } from './http-call.js'

/** Name of an invariant of docs/design.md, section 1.2. */
export type Invariant = 'I1' | 'I2' | 'I3' | 'I4' | 'I5' | 'I6' | 'I7' | 'I8' | 'I9'

/** A job as a caller meant it; its tasks are known by tags that the targets return as results. */
export interface JobRecord {
  readonly job: string
  readonly key: string
  readonly customer: string
  readonly repeatable: boolean
  /** Whether the caller marked the job as non-idempotent explicitly. */
  readonly marked: boolean
  /** One for each task, unique over all jobs. */
  readonly tags: readonly string[]
}

/** One call of a caller or operator, recorded when it ended. */
export interface CallRecord {
  readonly op: 'keys' | 'submit' | 'fetch' | 'cancel' | 'read-lists' | 'edit'
  readonly sentAt: number
  readonly at: number
  /** Process that the call was sent to. */
  readonly via: string
  /** Set for calls about a job. */
  readonly job?: string
  readonly reply: HttpCallResult
}

/** One start of a task, as its target recorded it. */
export interface StartRecord {
  readonly at: number
  readonly target: string
  /** Id that the dispatcher gave the attempt. */
  readonly id: string
  /** Tag that the caller gave the task. */
  readonly tag: string
  readonly customer: string
  readonly demand: Demand
  /** Infinity when it was still running at the end of the history. */
  readonly endedAt: number
  readonly outcome: string
}

/** The moment at which the platform's list first showed a target as leaving. */
export interface LeavingRecord {
  readonly target: string
  readonly visibleAt: number
}

/** Both lists as the table service committed them. */
export interface ConfigurationRecord {
  readonly at: number
  readonly version: number
  readonly editId: string
  readonly plans: PlanList
  readonly limits: LimitList
}

/** A planned stop of an entry instance. */
export interface StopRecord {
  readonly process: string
  readonly begunAt: number
  readonly endedAt: number
  readonly exitCode: number | null
}

/** A fault that the driver caused. */
export interface FaultRecord {
  readonly kind: string
  readonly from: number
  readonly to: number
  /** Whether the instance list could not be read everywhere; delays the bound of I6. */
  readonly hidesList: boolean
  /** Whether an instance could not be reached by the store or its peers; delays the bound of I8. */
  readonly hidesConfiguration: boolean
}

/** Everything that callers, targets, the platform and the driver saw. Times are of one machine's clock. */
export interface History {
  readonly jobs: readonly JobRecord[]
  readonly calls: readonly CallRecord[]
  readonly starts: readonly StartRecord[]
  readonly leaving: readonly LeavingRecord[]
  readonly configurations: readonly ConfigurationRecord[]
  readonly stops: readonly StopRecord[]
  readonly faults: readonly FaultRecord[]
}

export interface Violation {
  readonly invariant: Invariant
  readonly message: string
}

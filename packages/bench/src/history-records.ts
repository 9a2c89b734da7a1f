import { type Demand, type LimitList, type PlanList } from '@sesamereel/state'
import { type HttpCallResult } from './http-call.js'

/** Name of an invariant of docs/design.md, section 1.2. */
export type Invariant = 'I1' | 'I2' | 'I3' | 'I4' | 'I5' | 'I6' | 'I7' | 'I8' | 'I9'

/** A job as its caller submitted it. Its tasks have tags, which the targets record and return as results. */
export interface JobRecord {
  readonly job: string
  readonly key: string
  readonly customer: string
  readonly repeatable: boolean
  /** Whether the caller explicitly set `repeatable` to false. */
  readonly marked: boolean
  /** One tag for each task; unique across all jobs. */
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

/** One start of a task, as recorded by its target. */
export interface StartRecord {
  readonly at: number
  readonly target: string
  /** Attempt id that the dispatcher assigned. */
  readonly id: string
  /** Tag that the caller assigned to the task. */
  readonly tag: string
  readonly customer: string
  readonly demand: Demand
  /** Infinity when the task was still running at the end of the history. */
  readonly endedAt: number
  readonly outcome: string
}

/** Time at which the platform's instance list first showed a target as leaving. */
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
  /** Whether some instance could not read the instance list; extends the bound of I6. */
  readonly hidesList: boolean
  /** Whether some instance could not reach the store or its peers; extends the bound of I8. */
  readonly hidesConfiguration: boolean
}

/** All records of callers, targets, the platform and the driver. Times are in milliseconds of one machine's clock. */
export interface History {
  readonly jobs: readonly JobRecord[]
  readonly calls: readonly CallRecord[]
  readonly starts: readonly StartRecord[]
  readonly leaving: readonly LeavingRecord[]
  readonly configurations: readonly ConfigurationRecord[]
  readonly stops: readonly StopRecord[]
  readonly faults: readonly FaultRecord[]
}

/** A violation of an invariant that a history shows. */
export interface Violation {
  readonly invariant: Invariant
  readonly message: string
}

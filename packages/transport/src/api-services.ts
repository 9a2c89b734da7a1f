import { type AllowedCustomers, type IssueKeysRequest, type IssueReply, type JobReply, type ListName } from '@sesamereel/protocol'
import { type Configuration, type JobSpec, type LimitList, type PlanList, type ResultError } from '@sesamereel/state'

/** Handles the requests of callers. Before a call, the format of keys and the customer in the request body have been checked. */
export abstract class CallerService {
  /**
   * Issues keys at the home of the customer.
   *
   * @returns the keys, or the error of a refusal
   */
  abstract issueKeys (request: IssueKeysRequest, traceparent: string | undefined): Promise<IssueReply>

  /**
   * Submits a job to the owner of its key.
   *
   * @param spec - the job
   * @param waitMs - maximum time in milliseconds to wait for the answer
   * @returns the state of the job, or the error of a refusal
   */
  abstract submitJob (spec: JobSpec, waitMs: number, traceparent: string | undefined): Promise<JobReply>

  /**
   * Reads the state of a job from the owner of its key.
   *
   * @param key - text form of the key
   * @param customers - customers that the token may act for
   * @param waitMs - maximum time in milliseconds to wait for the answer
   * @returns the state of the job, or the error of a refusal
   */
  abstract fetchJob (key: string, customers: AllowedCustomers, waitMs: number, traceparent: string | undefined): Promise<JobReply>

  /**
   * Cancels a job at the owner of its key.
   *
   * @returns the state of the job, or the error of a refusal
   */
  abstract cancelJob (key: string, customers: AllowedCustomers, traceparent: string | undefined): Promise<JobReply>
}

/** A validated edit of one list. */
export type ListEdit = { readonly baseVersion: number, readonly editId: string, readonly dryRun: boolean } & (
  | { readonly list: Extract<ListName, 'plans'>, readonly content: PlanList }
  | { readonly list: Extract<ListName, 'limits'>, readonly content: LimitList }
)

/** Change of one entry of a list by an edit. */
export interface ListChange {
  readonly list: ListName
  readonly name: string
  readonly before?: unknown
  readonly after?: unknown
}

export type EditReply =
  | { readonly kind: 'applied', readonly version: number, readonly changes: readonly ListChange[], readonly dryRun: boolean }
  | { readonly kind: 'refused', readonly error: ResultError, /** On a conflict: the current version and the changes since the base version. */ readonly version?: number, readonly changes?: readonly ListChange[] }

/** Handles the requests of operators. */
export abstract class OperatorService {
  /**
   * Reads both lists: the newest committed version, or the one in force if the table service can't be reached.
   */
  abstract readLists (): Promise<Configuration>

  /**
   * Replaces one list by compare-and-set.
   *
   * @param edit - the validated edit
   * @returns the committed version and the changes, or the error of a refusal
   */
  abstract editList (edit: ListEdit): Promise<EditReply>

  /**
   * Describes the instance, its peers and its targets.
   */
  abstract readStatus (): unknown
}

/** Provides metrics, readiness and traces to monitoring, and records requests. */
export abstract class MonitorService {
  /** Renders the metrics in the text format of Prometheus. */
  abstract renderMetrics (): Promise<string>

  /** Returns the reason why the instance is not ready, or undefined if it is ready. */
  abstract explainNotReady (): string | undefined

  /** Returns the spans of a trace that this instance still holds. */
  abstract findTrace (traceId: string): readonly unknown[]

  /** Records a finished request. */
  abstract observeRequest (route: string, status: number, durationMs: number): void

  /** Records an unexpected error. */
  abstract observeError (route: string, error: unknown): void
}

import { type AllowedCustomers, type IssueKeysRequest, type IssueReply, type JobReply, type ListName } from '@sesamereel/protocol'
import { type Configuration, type JobSpec, type LimitList, type PlanList, type ResultError } from '@sesamereel/state'

/** What an instance does for callers. Keys are parsed and customers are allowed by the token when it is called. */
export abstract class CallerService {
  /**
   * Issues keys at the home of the customer.
   *
   * @returns the keys, or the reason of a refusal
   */
  abstract issueKeys (request: IssueKeysRequest, traceparent: string | undefined): Promise<IssueReply>

  /**
   * Submits a job to the owner of its key.
   *
   * @param spec - the job
   * @param waitMs - how long to wait for the answer in milliseconds
   * @returns the state of the job, or the reason of a refusal
   */
  abstract submitJob (spec: JobSpec, waitMs: number, traceparent: string | undefined): Promise<JobReply>

  /**
   * Reads the state of a job from the owner of its key.
   *
   * @param key - text form of the key
   * @param customers - customers that the token may act for
   * @param waitMs - how long to wait for the answer in milliseconds
   * @returns the state of the job, or the reason of a refusal
   */
  abstract fetchJob (key: string, customers: AllowedCustomers, waitMs: number, traceparent: string | undefined): Promise<JobReply>

  /**
   * Cancels a job at the owner of its key.
   *
   * @returns the state of the job, or the reason of a refusal
   */
  abstract cancelJob (key: string, customers: AllowedCustomers, traceparent: string | undefined): Promise<JobReply>
}

/** A checked edit of one list. */
export type ListEdit = { readonly baseVersion: number, readonly editId: string, readonly dryRun: boolean } & (
  | { readonly list: Extract<ListName, 'plans'>, readonly content: PlanList }
  | { readonly list: Extract<ListName, 'limits'>, readonly content: LimitList }
)

/** One entry of a list that an edit changes. */
export interface ListChange {
  readonly list: ListName
  readonly name: string
  readonly before?: unknown
  readonly after?: unknown
}

export type EditReply =
  | { readonly kind: 'applied', readonly version: number, readonly changes: readonly ListChange[], readonly dryRun: boolean }
  | { readonly kind: 'refused', readonly error: ResultError, /** On a conflict: the current version and what changed since the base. */ readonly version?: number, readonly changes?: readonly ListChange[] }

/** What an instance does for operators. */
export abstract class OperatorService {
  /**
   * Reads both lists: the newest committed version, or the one in force while the table service can't be reached.
   */
  abstract readLists (): Promise<Configuration>

  /**
   * Replaces one list by compare-and-set.
   *
   * @param edit - the checked edit
   * @returns the committed version, or the reason of a refusal
   */
  abstract editList (edit: ListEdit): Promise<EditReply>

  /**
   * Describes the instance, its peers and its targets.
   */
  abstract readStatus (): unknown
}

/** What an instance tells monitoring. */
export abstract class MonitorService {
  /** Renders the metrics in the text format of Prometheus. */
  abstract renderMetrics (): Promise<string>

  /** Tells why the instance is not ready; undefined when it is. */
  abstract explainNotReady (): string | undefined

  /** Finds the spans of a trace that this instance still holds. */
  abstract findTrace (traceId: string): readonly unknown[]

  /** Notes a finished request. */
  abstract observeRequest (route: string, status: number, durationMs: number): void

  /** Notes an unexpected error. */
  abstract observeError (route: string, error: unknown): void
}

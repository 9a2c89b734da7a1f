import { type InstanceListHistory } from './instance-list-history.js'
import { type PlatformFaultSwitches } from './platform-faults.js'
import { type AddressViews } from './platform-settings.js'
import { type RecordLog } from './record-log.js'
import { type RowStore } from './row-store.js'

/** Requests that the API of a platform received. */
export interface PlatformCounts {
  /** Reads of rows and objects. */
  reads: number
  /** Transactions and writes of objects. */
  writes: number
  /** Reads of the instance list. */
  lists: number
}

/** State that the API and the admin routes of a platform share. */
export interface PlatformState {
  readonly records: RecordLog
  readonly rows: RowStore
  readonly objects: Map<string, Buffer>
  readonly lists: InstanceListHistory
  readonly faults: PlatformFaultSwitches
  readonly counts: PlatformCounts
  /** Replaced by the admin route `PUT /views`. */
  views: AddressViews
}

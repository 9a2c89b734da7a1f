import { type Demand } from '@sesamereel/state'

/** Fault switches of a target. */
export interface TargetFaults {
  /** Every task that starts fails at once. */
  readonly failAll: boolean
  /** The target reports that it is leaving and refuses new tasks. */
  readonly leaving: boolean
  /** The target reports that it is leaving but still starts tasks. */
  readonly lingering: boolean
  /** Delay of replies to start requests in milliseconds. */
  readonly replyDelayMs: number
  /** Factor by which a task's declared work time is divided. */
  readonly speed: number
}

/** Identity and size of a target. */
export interface TargetMachineOptions {
  /** Id of the target in its records. */
  readonly id: string
  /** Number of tasks that can run at the same time. */
  readonly slots: number
  /** Resources that the running tasks share. */
  readonly capacity: Demand
  /** Initial value of the fault switch `speed`. */
  readonly speed: number
}

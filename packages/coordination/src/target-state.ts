import { type Demand, type TargetDescription } from '@sesamereel/state'
import { type TaskRef } from './job-record.js'
import { TargetHealth } from './target-health.js'

/** State that a target reports in each of its replies. */
export interface TargetReport {
  readonly boot: string
  readonly freeSlots: number
  readonly leaving: boolean
}

/** An attempt of this instance that is not known to have ended. */
export interface RunningAttempt {
  readonly startedAt: number
  /** Expected run time in milliseconds at this target. */
  readonly expectedMs: number
  readonly demand: Demand
  readonly isProbe: boolean
}

/**
 * Bounds in milliseconds of the back-off after a refused start. The back-off doubles with each
 * further refusal.
 */
const minBackOffMs = 10
const maxBackOffMs = 500

/** State of one target as known to this instance. */
export class TargetState {
  readonly id: string
  readonly health = new TargetHealth()
  readonly running = new Map<string, RunningAttempt>()
  /** Tasks that wait at this target, used by early-binding policies. */
  boundTasks: TaskRef[] = []
  /** Number of slot credits available for starts; updated by `SlotCredits`. */
  freeCredits = 0
  /** Whether the target is leaving and gets no new tasks; updated by `TargetTable`. */
  isLeaving = false
  /** Time since which the target has been missing from the list, undefined while it is listed. */
  unlistedSince: number | undefined
  private bootId: string | undefined
  private backOffUntil = -Infinity
  private backOffMs = 0
  private readonly used = { processors: 0, memoryMb: 0, accelerators: 0 }

  constructor (public description: TargetDescription) {
    this.id = description.id
  }

  applyDescription (description: TargetDescription): void {
    this.description = description
    this.unlistedSince = undefined
  }

  /** Applies the state that a reply of the target reports; a free slot ends the current back-off. */
  applyReport (report: TargetReport): void {
    this.bootId = report.boot
    if (report.freeSlots > 0) this.backOffUntil = -Infinity
  }

  /** @returns the boot id in the latest reply, undefined before the first reply */
  getBoot (): string | undefined {
    return this.bootId
  }

  /**
   * @returns true when the target accepts tasks: it is listed, not leaving, not backing off, and
   *   either not ejected or due for a probe
   */
  isUsable (now: number): boolean {
    return this.unlistedSince === undefined && !this.isLeaving && now >= this.backOffUntil && this.health.isStartAllowed(now)
  }

  /** @returns true when the demand fits the target's total capacity */
  isLargeEnough (demand: Demand): boolean {
    const { capacity } = this.description
    return demand.processors <= capacity.processors && demand.memoryMb <= capacity.memoryMb &&
      demand.accelerators <= capacity.accelerators
  }

  /** @returns true when a slot credit is free and the demand fits beside this instance's running attempts */
  hasFreeCapacity (demand: Demand): boolean {
    const { capacity } = this.description
    return this.freeCredits > 0 &&
      this.used.processors + demand.processors <= capacity.processors &&
      this.used.memoryMb + demand.memoryMb <= capacity.memoryMb &&
      this.used.accelerators + demand.accelerators <= capacity.accelerators
  }

  recordStart (taskId: string, startedAt: number, expectedMs: number, demand: Demand): void {
    this.running.set(taskId, { startedAt, expectedMs, demand, isProbe: this.health.recordStart() })
    this.used.processors += demand.processors
    this.used.memoryMb += demand.memoryMb
    this.used.accelerators += demand.accelerators
  }

  /** @returns the attempt that ended, or undefined when it is unknown */
  recordEnd (taskId: string): RunningAttempt | undefined {
    const attempt = this.running.get(taskId)
    if (attempt === undefined) return undefined
    this.running.delete(taskId)
    this.used.processors -= attempt.demand.processors
    this.used.memoryMb -= attempt.demand.memoryMb
    this.used.accelerators -= attempt.demand.accelerators
    return attempt
  }

  /** Stops starts at this target for a short time after a refusal, so that refusals do not repeat in a tight loop. */
  beginBackOff (now: number): void {
    this.backOffMs = Math.min(maxBackOffMs, Math.max(minBackOffMs, this.backOffMs * 2))
    this.backOffUntil = now + this.backOffMs
  }

  /** Lets the next back-off begin at the minimum again. */
  resetBackOff (): void {
    this.backOffMs = 0
  }
}

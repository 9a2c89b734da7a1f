import { type Demand, type TargetDescription } from '@sesamereel/state'
import { type TaskRef } from './job-record.js'
import { TargetHealth } from './target-health.js'

/** What a target tells in each of its replies. */
export interface TargetReport {
  readonly boot: string
  readonly freeSlots: number
  readonly leaving: boolean
}

/** An attempt of this instance that has not ended, as far as is known. */
export interface RunningAttempt {
  readonly startedAt: number
  /** Expected run time at this target in milliseconds. */
  readonly expectedMs: number
  readonly demand: Demand
  readonly isProbe: boolean
}

/** Refusals for lack of slots or resources make a target wait this long in milliseconds, doubled each time. */
const shortestBackOffMs = 10
const longestBackOffMs = 500

/** All that is known of one target. */
export class TargetState {
  readonly id: string
  readonly health = new TargetHealth()
  readonly running = new Map<string, RunningAttempt>()
  /** Tasks that wait for this target, used by policies that choose early. */
  boundTasks: TaskRef[] = []
  /** Credits that are free for a start; kept current by `SlotCredits`. */
  freeCredits = 0
  /** Whether the target gets no new work; kept current by `TargetTable`. */
  isLeaving = false
  /** Time since which the target is missing from the list. */
  unlistedSince: number | undefined
  private boot: string | undefined
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

  /** Applies what a reply of the target tells. */
  applyReport (report: TargetReport): void {
    this.boot = report.boot
    if (report.freeSlots > 0) this.backOffUntil = -Infinity
  }

  /** @returns the boot id in the latest reply, undefined before the first */
  getBoot (): string | undefined {
    return this.boot
  }

  /** @returns true when a task may be started, as far as the state of the target decides */
  isUsable (now: number): boolean {
    return this.unlistedSince === undefined && !this.isLeaving && now >= this.backOffUntil && this.health.isStartAllowed(now)
  }

  /** @returns true when the target could run the demand while nothing else runs there */
  isLargeEnough (demand: Demand): boolean {
    const { capacity } = this.description
    return demand.processors <= capacity.processors && demand.memoryMb <= capacity.memoryMb &&
      demand.accelerators <= capacity.accelerators
  }

  /** @returns true when a credit is free and the demand fits beside the own attempts */
  hasRoom (demand: Demand): boolean {
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

  /** @returns the attempt that ended, or undefined when it is not known */
  recordEnd (taskId: string): RunningAttempt | undefined {
    const attempt = this.running.get(taskId)
    if (attempt === undefined) return undefined
    this.running.delete(taskId)
    this.used.processors -= attempt.demand.processors
    this.used.memoryMb -= attempt.demand.memoryMb
    this.used.accelerators -= attempt.demand.accelerators
    return attempt
  }

  /** Starts nothing here for a short time after a refusal, so that refusals do not repeat in a loop. */
  beginBackOff (now: number): void {
    this.backOffMs = Math.min(longestBackOffMs, Math.max(shortestBackOffMs, this.backOffMs * 2))
    this.backOffUntil = now + this.backOffMs
  }

  resetBackOff (): void {
    this.backOffMs = 0
  }
}

import { type EmulatedFleet, emulatedTargetTable } from './emulated-fleet.js'
import { FaultSchedule } from './fault-schedule.js'
import { DependencyFaults, dependencyFaultNames } from './dependency-faults.js'
import { joinTarget } from './joining-target.js'
import { EmulatedCaller, type JobShape } from './emulated-caller.js'
import { furtherInstanceFaultNames, InstanceFaults, instanceFaultNames, unnoticedFaultNames } from './instance-faults.js'
import { furtherNetworkFaultNames, NetworkFaults, networkFaultNames } from './network-faults.js'
import { OperatorFaults, operatorFaultNames } from './operator-faults.js'

/** The jobs of a scenario. */
export interface ScenarioLoad {
  /** Interval in milliseconds at which jobs are submitted. */
  readonly submitIntervalMs: number
  /** Probability that a job consists of one long task, from 0 to 1. */
  readonly longJobProbability: number
  /** How often a caller sends its job again. */
  readonly maxResends: number
}

/** Load of a scenario that is given none. */
export const defaultLoad: ScenarioLoad = { submitIntervalMs: 40, longJobProbability: 0.1, maxResends: 2 }

/** Time in milliseconds after the end of all faults in which the fleet must recover and all jobs must end. */
const recoveryPeriodMs = 12_000

/** Time in milliseconds by which that period is longer for each time that callers send a job again more often than by default. */
const recoveryPerResendMs = 9_500

/**
 * Longest time in milliseconds after the recovery in which a run may still end: a repeat may start a task of 4 s as late as
 * that. A reservation that leaked stays for good.
 */
const lastRunMs = 6_000
const lastRunStepMs = 100

/** Names of the faults that a random scenario injects by default. */
export const scenarioFaultNames = [...instanceFaultNames, ...networkFaultNames, ...dependencyFaultNames, 'join'] as const

/** Names of all faults that a random scenario can inject. */
export const allFaultNames = [...scenarioFaultNames, ...furtherInstanceFaultNames, ...furtherNetworkFaultNames, ...unnoticedFaultNames] as const

export type FaultName = (typeof allFaultNames)[number] | (typeof operatorFaultNames)[number]

/** Outcome of a random fault scenario. */
export interface ScenarioResult {
  readonly violations: readonly string[]
  /** Fraction of submitted jobs that were completed. */
  readonly completedFraction: number
  /** A line for each injected fault. */
  readonly faults: readonly string[]
  /** Number of runs for which capacity is still reserved after the recovery. */
  readonly reservedRuns: number
  /** Whether jobs submitted after the recovery were all completed. */
  readonly isRecovered: boolean
}

/** Submits jobs to a fleet while random faults overlap and repeat; the fleet's seed determines all choices. */
export class RandomFaultScenario {
  readonly #fleet: EmulatedFleet
  readonly #instanceFaults: InstanceFaults
  readonly #networkFaults: NetworkFaults
  readonly #dependencyFaults: DependencyFaults
  readonly #operatorFaults: OperatorFaults
  readonly #schedule: FaultSchedule<FaultName>
  readonly #load: ScenarioLoad

  /** @param faultNames - the faults to choose from */
  constructor (fleet: EmulatedFleet, faultNames: readonly FaultName[] = scenarioFaultNames, load = defaultLoad) {
    this.#fleet = fleet
    this.#load = load
    this.#instanceFaults = new InstanceFaults(fleet)
    this.#networkFaults = new NetworkFaults(fleet)
    const { store, targets, lateOrders, random } = fleet
    this.#dependencyFaults = new DependencyFaults({
      store, targets, lateOrders, random, writeTargetEntry: (target, draining) => { store.put(emulatedTargetTable, target.info.id, JSON.stringify({ ...target.info, draining })) }
    })
    this.#operatorFaults = new OperatorFaults({ clock: fleet.clock, random, store, history: fleet.drainHistory, domains: fleet.domains, writeRequest: (domain, isDrained) => { fleet.writeDrainRequest(domain, isDrained) } })
    this.#schedule = new FaultSchedule(random, faultNames, name => this.#inject(name), fleet.clock.now())
  }

  /**
   * Runs the scenario, ends all faults and checks that the fleet recovers.
   *
   * @param lengthMs - time in milliseconds in which faults are injected and jobs are submitted
   */
  async run (lengthMs: number): Promise<ScenarioResult> {
    const fleet = this.#fleet
    const until = fleet.clock.now() + lengthMs
    while (fleet.clock.now() < until) {
      this.#schedule.update(fleet.clock.now())
      this.#submitJob()
      await fleet.advance(this.#load.submitIntervalMs)
    }
    this.#schedule.endExpiredFaults(Infinity)
    await fleet.advance(recoveryPeriodMs + recoveryPerResendMs * Math.max(0, this.#load.maxResends - defaultLoad.maxResends))
    const isRecovered = await this.#checkRecovery()
    await this.#awaitLastRuns()
    return { violations: fleet.listViolations(), completedFraction: fleet.history.computeCompletedFraction(), faults: this.#schedule.faults, reservedRuns: this.#countReservedRuns(), isRecovered }
  }

  #submitJob (): void {
    const { random, instances } = this.#fleet
    const instance = random.pick([...instances.keys()])
    if (instance === undefined) return
    const caller = new EmulatedCaller(this.#fleet, this.#pickShape(), this.#load.maxResends)
    const abandon = caller.send(instance)
    if (random.drawBoolean(0.05)) this.#fleet.clock.startTimer(random.pickInteger(20, 500), abandon)
  }

  /** Picks the size of a job; a few run so long that a repeat may meet their first run. */
  #pickShape (): JobShape {
    const { random } = this.#fleet
    if (random.drawBoolean(this.#load.longJobProbability)) return { tasks: 1, workMs: random.pickInteger(1_000, 4_000) }
    return { tasks: random.pickInteger(1, 4), workMs: random.pickInteger(40, 700) }
  }

  /** @returns a function that ends the fault, or undefined when it has no duration or could not be injected */
  #inject (name: FaultName): (() => void) | undefined {
    if (isFault([...instanceFaultNames, ...furtherInstanceFaultNames, ...unnoticedFaultNames], name)) return this.#instanceFaults.inject(name)
    if (name === 'join') return joinTarget(this.#fleet)
    if (isFault([...networkFaultNames, ...furtherNetworkFaultNames], name)) return this.#networkFaults.inject(name)
    if (name === 'drain-domain') return this.#operatorFaults.drainDomain()
    return this.#dependencyFaults.inject(name)
  }

  /** Counts the runs that the dispatchers' sessions still hold. */
  /** Waits until no run is left, or the last run of a repeated job must have ended. */
  async #awaitLastRuns (): Promise<void> {
    const until = this.#fleet.clock.now() + lastRunMs
    while (this.#countReservedRuns() > 0 && this.#fleet.clock.now() < until) await this.#fleet.advance(lastRunStepMs)
  }

  #countReservedRuns (): number {
    let count = 0
    for (const parts of this.#fleet.instances.values()) {
      for (const dispatcher of parts.server.listDispatchers()) {
        for (const session of dispatcher.listSessions()) count += session.runs.size
      }
    }
    return count
  }

  /** Submits a job through every instance. @returns whether all of them are completed within 2 s */
  async #checkRecovery (): Promise<boolean> {
    const { instances } = this.#fleet
    const jobs = [...instances.keys()].map(instance => this.#fleet.submit(instance, 2, 100))
    await this.#fleet.advance(2_000)
    const completed = new Set(this.#fleet.history.answers.filter(entry => entry.answer.kind === 'completed').map(entry => entry.jobId))
    return jobs.every(job => completed.has(job.jobId))
  }
}

function isFault<N extends string> (names: readonly N[], name: string): name is N {
  return names.includes(name as N)
}

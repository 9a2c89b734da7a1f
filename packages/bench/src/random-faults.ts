import { type RandomSource } from '@sesamereel/emulator'
import { describeError } from './errors.js'
import { type BurstKind, submitBurst } from './random-bursts.js'
import { disturbEntry, type EntryFaultKind } from './random-entry-faults.js'
import { FaultContext, type FaultEnvironment } from './random-fault-context.js'
import { type CutKind, cutNetwork, disturbPlatform, type PlatformFaultKind, silenceConnections } from './random-network-faults.js'
import { disturbTarget, type TargetFaultKind } from './random-target-faults.js'

type FaultKind = EntryFaultKind | TargetFaultKind | CutKind | PlatformFaultKind | BurstKind | 'silent-connections'

/** Relative frequency of each kind of fault. The order is part of what a seed selects. */
const weights: Readonly<Record<FaultKind, number>> = {
  'kill-entry': 4,
  'pause-entry': 3,
  'pause-entry-with-successor': 2,
  'planned-stop': 3,
  'cut-domains': 4,
  'cut-platform': 3,
  'platform-down': 2,
  'platform-slow': 2,
  'platform-lost-replies': 2,
  'platform-stale-reads': 2,
  'list-lag': 2,
  'silent-connections': 3,
  'kill-target': 3,
  'pause-target': 3,
  'target-fails': 2,
  'target-slow': 2,
  'target-leaves': 3,
  'cancellation-wave': 2,
  burst: 2
}

/** Causes random faults one after the other; several loops may run side by side. */
export class RandomFaults {
  readonly #context: FaultContext

  /**
   * @param environment - shared by all fault loops
   * @param random - random choices of this loop
   * @param busy - names of the processes and parts that one of the fault loops is using now
   */
  constructor (environment: FaultEnvironment, random: RandomSource, busy: Set<string>) {
    this.#context = new FaultContext(environment, random, busy)
  }

  /** Causes faults until the run is over; returns when the last one has ended. */
  async run (): Promise<void> {
    const { random, environment } = this.#context
    while (!environment.isOver()) {
      await this.#context.waitBetween(300, 2_500)
      if (environment.isOver()) return
      const kind = random.pickWeighted(weights)
      try {
        await causeFault(this.#context, kind)
      } catch (error) {
        environment.problems.push(`${kind}: ${describeError(error)}`)
      }
    }
  }
}

async function causeFault (context: FaultContext, kind: FaultKind): Promise<void> {
  switch (kind) {
    case 'kill-entry':
    case 'pause-entry':
    case 'pause-entry-with-successor':
    case 'planned-stop':
      return await disturbEntry(context, kind)
    case 'cut-domains':
    case 'cut-platform':
      return await cutNetwork(context, kind)
    case 'silent-connections':
      return await silenceConnections(context)
    case 'cancellation-wave':
    case 'burst':
      return await submitBurst(context, kind)
    case 'kill-target':
    case 'pause-target':
    case 'target-fails':
    case 'target-slow':
    case 'target-leaves':
      return await disturbTarget(context, kind)
    default:
      return await disturbPlatform(context, kind)
  }
}

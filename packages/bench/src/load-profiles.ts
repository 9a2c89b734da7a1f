import { type Demand, type LimitList, type PlanList } from '@sesamereel/state'

/** A kind of task. */
export interface TaskKind {
  readonly name: string
  /** Median run time in milliseconds on a target of speed 1. */
  readonly medianMs: number
}

/** A kind of job. */
export interface JobKind {
  readonly name: string
  /** Relative frequency of this kind among all jobs. */
  readonly weight: number
  readonly taskKind: TaskKind
  readonly minTasks: number
  readonly maxTasks: number
  readonly repeatable: boolean
}

/** A customer that submits jobs. */
export interface LoadCustomer {
  readonly name: string
  readonly plan: string
  /** Relative frequency of this customer's jobs. */
  readonly weight: number
}

/** A workload and the cluster that runs it. */
export interface LoadProfile {
  readonly name: 'kalibra' | 'guild'
  readonly domains: readonly string[]
  readonly seatsPerDomain: number
  /** One-way delay between domains in milliseconds. */
  readonly domainDelayMs: number
  /** One-way delay between clients and instances in milliseconds. */
  readonly clientDelayMs: number
  readonly targetCount: number
  /** Slots of each target. */
  readonly slots: number
  /** Connections of each target. */
  readonly connections: number
  /** Resources of each target. */
  readonly capacity: Demand
  readonly customers: readonly LoadCustomer[]
  readonly limits: LimitList
  readonly jobs: readonly JobKind[]
}

/** Standard deviation of the natural logarithm of the actual run times of one task kind. */
export const taskTimeSigma = 0.5

/** Range to which run times outside the long tail are clamped, in milliseconds at speed 1. */
export const bodyRangeMs = { min: 50, max: 1_000 } as const

/** Fraction of the tasks that take seconds, and the range of their run times at speed 1. */
export const longTail = { fraction: 0.02, minMs: 1_500, maxMs: 2_200 } as const

/**
 * Declared ÷ actual run time has a log-normal distribution with median 1 and this sigma, clamped to
 * 0.1 to 10: a third of the declarations are wrong by more than a factor of 3.5.
 */
export const declaredTimeSigma = 1.25

/**
 * Declared ÷ used memory has a log-normal distribution with median 2 and this sigma, clamped to 1 to
 * 10. Declarations below the used memory would only test that targets stop such tasks.
 */
export const declaredMemorySigma = 0.8

const customers: readonly LoadCustomer[] = [
  ...['north', 'south'].map(name => ({ name, plan: 'large', weight: 2.5 })),
  ...['east', 'west', 'coast', 'hills', 'river', 'delta'].map(name => ({ name, plan: 'standard', weight: 1 }))
]

/**
 * When all 240 slots are busy, a standard customer uses 22 on average and a large one 55. So customers
 * rarely reach their limits in the steady state, yet all limits together exceed twice the number of slots.
 */
const limits: LimitList = {
  standard: { processors: 60_000, memoryMb: 240_000, accelerators: 0, parallel: 60 },
  large: { processors: 150_000, memoryMb: 600_000, accelerators: 0, parallel: 150 }
}

const sharedSettings = { seatsPerDomain: 3, clientDelayMs: 1, targetCount: 30, slots: 8, connections: 60, customers, limits } as const

const lookup: TaskKind = { name: 'lookup', medianMs: 150 }
const triage: TaskKind = { name: 'triage', medianMs: 180 }

/** The two workloads of docs/design.md, section 1.4. */
export const profiles: Readonly<Record<LoadProfile['name'], LoadProfile>> = {
  kalibra: {
    ...sharedSettings,
    name: 'kalibra',
    domains: ['gent-1', 'gent-2', 'brugge'],
    domainDelayMs: 1,
    capacity: { processors: 30_000, memoryMb: 130_000, accelerators: 0 },
    jobs: [
      { name: 'lookup', weight: 0.8, taskKind: lookup, minTasks: 1, maxTasks: 1, repeatable: true },
      { name: 'reissue', weight: 0.1, taskKind: { name: 'reissue', medianMs: 350 }, minTasks: 1, maxTasks: 1, repeatable: false },
      { name: 'audit', weight: 0.1, taskKind: { name: 'audit', medianMs: 200 }, minTasks: 5, maxTasks: 25, repeatable: true }
    ]
  },
  guild: {
    ...sharedSettings,
    name: 'guild',
    domains: ['hobart', 'derwent', 'midlands'],
    domainDelayMs: 0.5,
    capacity: { processors: 16_000, memoryMb: 30_000, accelerators: 0 },
    jobs: [
      { name: 'triage', weight: 0.5, taskKind: triage, minTasks: 1, maxTasks: 1, repeatable: true },
      { name: 'quote', weight: 0.35, taskKind: { name: 'quote', medianMs: 300 }, minTasks: 1, maxTasks: 1, repeatable: true },
      { name: 'booking', weight: 0.1, taskKind: { name: 'booking', medianMs: 120 }, minTasks: 1, maxTasks: 1, repeatable: false },
      { name: 'survey', weight: 0.05, taskKind: triage, minTasks: 3, maxTasks: 12, repeatable: true }
    ]
  }
}

/**
 * Lists the plan of each customer in the form of the operators' configuration.
 */
export function listPlans (profile: LoadProfile): PlanList {
  return Object.fromEntries(profile.customers.map(({ name, plan }) => [name, plan]))
}

/** Target speed in each rack of 8 targets: two new racks, an older one and an old one. */
const rackSpeeds = [1, 1, 0.85, 0.5] as const

/** Speed of the one target in each domain that is always slow. */
const stragglerSpeed = 0.25

/**
 * Computes the speed of each target: the speed of its rack, varied by up to 3% in either direction, or
 * that of a straggler, one in each domain. Targets are assigned to the domains round-robin.
 *
 * @param profile - profile with the number of domains and targets
 * @param jitter - returns a random number from 0 to 1; called once for each target
 * @returns target speeds for each domain, in the order of the profile's domains
 */
export function computeTargetSpeeds (profile: LoadProfile, jitter: () => number): ReadonlyArray<readonly number[]> {
  const speeds: number[][] = profile.domains.map(() => [])
  for (let index = 0; index < profile.targetCount; index++) {
    const rackSpeed = rackSpeeds[Math.floor(index / 8) % rackSpeeds.length]!
    const isStraggler = index >= profile.targetCount - profile.domains.length
    const speed = (isStraggler ? stragglerSpeed : rackSpeed) * (0.97 + 0.06 * jitter())
    speeds[index % profile.domains.length]!.push(Math.round(speed * 1_000) / 1_000)
  }
  return speeds
}

import { type Demand, type LimitList, type PlanList } from '@sesamereel/state'

/** One kind of task. Times are of a target with speed 1. */
export interface TaskKind {
  readonly name: string
  readonly medianMs: number
}

/** One kind of job. */
export interface JobKind {
  readonly name: string
  /** Share of all jobs. */
  readonly weight: number
  readonly taskKind: TaskKind
  readonly minTasks: number
  readonly maxTasks: number
  readonly repeatable: boolean
}

export interface LoadCustomer {
  readonly name: string
  readonly plan: string
  /** Share of all jobs. */
  readonly weight: number
}

export interface LoadProfile {
  readonly name: 'kalibra' | 'guild'
  readonly domains: readonly string[]
  readonly seatsPerDomain: number
  /** One-way delay between domains in milliseconds. */
  readonly domainDelayMs: number
  /** One-way delay between clients and instances in milliseconds. */
  readonly clientDelayMs: number
  readonly targetCount: number
  readonly slots: number
  readonly connections: number
  readonly capacity: Demand
  readonly customers: readonly LoadCustomer[]
  readonly limits: LimitList
  readonly jobs: readonly JobKind[]
}

/** Spread of the real times of one kind: standard deviation of the natural logarithm. */
export const taskTimeSigma = 0.5

/** Real times of the body of the distribution are cut to this range, in milliseconds at speed 1. */
export const bodyRangeMs = { least: 50, most: 1_000 } as const

/** Part of the tasks that take seconds, and the range of their times at speed 1. */
export const longTail = { part: 0.02, leastMs: 1_500, mostMs: 2_200 } as const

/**
 * Declared time ÷ real time is log-normal with median 1 and this sigma, cut to 1/10 to 10: a
 * third of the declarations are wrong by more than a factor of 3.5.
 */
export const declaredTimeSigma = 1.25

/**
 * Declared memory ÷ used memory is log-normal with median 2 and this sigma, cut to 1 to 10.
 * Declarations below the use would only test that targets stop such tasks.
 */
export const declaredMemorySigma = 0.8

const customers: readonly LoadCustomer[] = [
  ...['north', 'south'].map(name => ({ name, plan: 'large', weight: 2.5 })),
  ...['east', 'west', 'coast', 'hills', 'river', 'delta'].map(name => ({ name, plan: 'standard', weight: 1 }))
]

/**
 * With all 240 slots busy a standard customer uses 22 on average and a large one 55, so plans
 * rarely bind in the steady state, but all plans together allow more than twice what the targets have.
 */
const limits: LimitList = {
  standard: { processors: 60_000, memoryMb: 240_000, accelerators: 0, parallel: 60 },
  large: { processors: 150_000, memoryMb: 600_000, accelerators: 0, parallel: 150 }
}

const shared = { seatsPerDomain: 3, clientDelayMs: 1, targetCount: 30, slots: 8, connections: 60, customers, limits } as const

const lookup: TaskKind = { name: 'lookup', medianMs: 150 }
const triage: TaskKind = { name: 'triage', medianMs: 180 }

/** Both workloads of docs/design.md, section 1.4. */
export const profiles: Readonly<Record<LoadProfile['name'], LoadProfile>> = {
  kalibra: {
    ...shared,
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
    ...shared,
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
 * Lists the plan of each customer, as the operators' list has it.
 *
 * @returns the plans list
 */
export function listPlans (profile: LoadProfile): PlanList {
  return Object.fromEntries(profile.customers.map(({ name, plan }) => [name, plan]))
}

/** Speeds of the racks of 8 targets: two new ones, an older and an old one. */
const rackSpeeds = [1, 1, 0.85, 0.5] as const

/** One target in each domain is a lasting straggler. */
const stragglerSpeed = 0.25

/**
 * Computes the speed of each target: the speed of its rack, up to 3% lower or higher, and one
 * straggler in each domain. Targets of a rack are spread over the domains in turn.
 *
 * @param profile - number of domains and targets
 * @param jitter - a number from 0 to 1 for each target
 * @returns the speeds of the targets of each domain, in the order of the domains
 */
export function computeTargetSpeeds (profile: LoadProfile, jitter: () => number): ReadonlyArray<readonly number[]> {
  const speeds: number[][] = profile.domains.map(() => [])
  for (let index = 0; index < profile.targetCount; index++) {
    const rack = rackSpeeds[Math.floor(index / 8) % rackSpeeds.length]!
    const isStraggler = index >= profile.targetCount - profile.domains.length
    const speed = (isStraggler ? stragglerSpeed : rack) * (0.97 + 0.06 * jitter())
    speeds[index % profile.domains.length]!.push(Math.round(speed * 1_000) / 1_000)
  }
  return speeds
}

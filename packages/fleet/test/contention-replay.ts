import { type Candidate, classifyUrgency, compareInOverload, compareJobs, decideAdmission, pickTarget, type QueuedJob, selectJobsToShed, sortQueue, type StepSpec, TargetHealth } from '../src/index.js'
import { DispatchEfficiency } from '../src/dispatch-efficiency.js'
import { type FairShares, moveFirst } from '../src/fair-shares.js'
import { computeUsualSlowness } from '../src/load-estimates.js'
import { predictEndAt, RackForecast, shouldWait } from '../src/locality-wait.js'
import { type RunTimeModel } from '../src/run-time-model.js'
import { type UrgentHeadroom } from '../src/urgent-headroom.js'

/** One queue of the load. */
interface ReplayQueue {
  readonly width: number
  readonly runMs: number
  /** Share of the work that is offered outside bursts. */
  readonly share: number
}

/** The load of the requirements: short wide jobs, medium and long ones, by priority. */
const queues: readonly ReplayQueue[] = [
  { width: 8, runMs: 60, share: 0.3 },
  { width: 2, runMs: 200, share: 0.3 },
  { width: 4, runMs: 900, share: 0.4 }
]

/** The decisions that the replay plays with; absent ones are the present decisions. */
export interface ReplayPolicy {
  readonly model?: RunTimeModel
  readonly shares?: FairShares
  readonly headroom?: UrgentHeadroom
  /** Whether tasks wait for a place near their data. */
  readonly waitsForLocality?: boolean
}

export interface ReplayLoad {
  readonly targets: number
  /** Duration of the arrivals; those from 4 to 9 s of every ten are a burst. */
  readonly seconds: number
  /** Factor of the long jobs during a burst. */
  readonly burstFactor: number
  /** Offered work relative to the capacity during a burst; outside, the other queues continue unchanged. */
  readonly burstLoad: number
  /** Amplitude of a wave over 8 s that all queues follow. */
  readonly wave: number
  /** Slowness of the targets, used in turn. */
  readonly speeds: readonly number[]
  /** Shares of the offered work by queue, in place of the usual ones. */
  readonly shares?: readonly number[]
  /** Racks of the data; no step names one if absent. */
  readonly racks?: ReplayRacks
}

export interface ReplayRacks {
  /** Number of racks, to which the targets belong in turn. */
  readonly count: number
  /** Share of the jobs whose steps name a rack, and the share of these that name the first one. */
  readonly share: number
  readonly hotShare: number
  readonly remoteFactor: number
  /** Objective relative to the estimate, before 60 ms are added; 1.6 if absent. */
  readonly slack?: number
}

/** Bursts of long jobs at targets of one speed. */
export const bursts: ReplayLoad = { targets: 32, seconds: 20, burstFactor: 2.5, burstLoad: 1.1, wave: 0, speeds: [1] }

/** Waves at targets of two speeds. */
export const waves: ReplayLoad = { targets: 32, seconds: 20, burstFactor: 1, burstLoad: 0.85, wave: 0.55, speeds: [1, 1.7] }

/** More urgent queues that alone offer more work than the targets can do. */
export const flood: ReplayLoad = { targets: 16, seconds: 20, burstFactor: 1, burstLoad: 2, wave: 0, speeds: [1], shares: [0.5, 0.4, 0.1] }

/** Answers of one queue, and the sum of the errors of the predicted waits. */
export interface Tally { onTime: number, late: number, useless: number, rejected: number, waitErrorMs: number, near: number, remote: number, waitsNear: number, waitsRemote: number }

const targetProcessors = 32_000
/** Part of the processors that tasks of half a target get in practice. */
const packing = 0.85
/** Latency added on the path: order to the target, and until its end is seen. */
const orderMs = 6
const endMs = 12
const stragglerShare = 0.03
const stragglerFactor = 7

class ReplayJob implements QueuedJob {
  readonly id: string
  readonly priority: number
  readonly objectiveAt: number
  readonly usefulUntil: number
  readonly acceptedAt: number
  readonly remainingMs: number
  readonly taskMs: readonly number[]
  readonly latencyMs: readonly number[]
  readonly step: StepSpec
  started = false
  predictedWaitMs = 0
  readonly waitingTasks: Set<number>
  left: number

  /** Times at which its tasks were first kept waiting for a near place. */
  readonly waitingSince = new Map<number, number>()

  constructor (id: string, priority: number, now: number, random: () => number, racks?: ReplayRacks) {
    const { width, runMs } = queues[priority]!
    this.id = id
    this.priority = priority
    this.acceptedAt = now
    this.remainingMs = runMs * (0.6 + 0.8 * random())
    this.objectiveAt = now + (racks?.slack ?? 1.6) * this.remainingMs + 60
    this.usefulUntil = now + 3 * (this.objectiveAt - now)
    this.taskMs = Array.from({ length: width }, () => runMs * (0.95 + 0.1 * random()) * (random() < stragglerShare ? stragglerFactor : 1))
    this.latencyMs = this.taskMs.map(() => orderMs + endMs * 2 * random())
    const processors = Math.min(24_000, Math.round(16_000 * (0.8 + 0.4 * random())))
    this.step = { count: width, demand: { processors, memoryMb: 0, accelerators: 0 }, estimateMs: this.remainingMs, after: [], ...(racks === undefined ? {} : pickRack(racks, random)) }
    // The last task starts first.
    this.waitingTasks = new Set(Array.from({ length: width }, (_, index) => width - 1 - index))
    this.left = width
  }

  get queue (): string { return `s ${this.priority}` }
  get waiting (): number { return this.waitingTasks.size }
  get waitingFraction (): number { return this.waiting / this.taskMs.length }
  get waitingWork (): number { return this.waiting * this.remainingMs * this.step.demand.processors }
}

class ReplayTarget implements Candidate {
  readonly info: Candidate['info']
  readonly health = new TargetHealth()
  readonly speed: number
  freeCapacity = { processors: targetProcessors, memoryMb: 1, accelerators: 0 }

  constructor (index: number, speed: number, rackCount = 1) {
    this.info = { id: `t${index}`, address: '', service: 's', domain: 'a', draining: false, capacity: this.freeCapacity, labels: [`rack-${index % rackCount}`], revision: 1 }
    this.speed = speed
  }

  get slowness (): number { return this.health.slowness }

  occupy (processors: number): void {
    this.freeCapacity = { ...this.freeCapacity, processors: this.freeCapacity.processors - processors }
  }
}

interface ReplayRun { readonly job: ReplayJob, readonly target: ReplayTarget, readonly sentAt: number, readonly isRemote: boolean, readonly endAt: number }

function pickRack ({ count, share, hotShare }: ReplayRacks, random: () => number): Pick<StepSpec, 'dataRack'> {
  if (random() >= share) return {}
  return { dataRack: `rack-${random() < hotShare ? 0 : 1 + Math.floor(random() * (count - 1))}` }
}

/** Plays one load with one set of decisions in steps of 1 ms; bounded by its seconds. */
class Replay {
  readonly tallies: readonly Tally[] = queues.map(() => ({ onTime: 0, late: 0, useless: 0, rejected: 0, waitErrorMs: 0, near: 0, remote: 0, waitsNear: 0, waitsRemote: 0 }))
  readonly #policy: ReplayPolicy
  readonly #load: ReplayLoad
  readonly #random: () => number
  readonly #targets: readonly ReplayTarget[]
  readonly #queue = new Set<ReplayJob>()
  readonly #running = new Set<ReplayRun>()
  readonly #ends = new Map<number, ReplayRun[]>()
  readonly #efficiency = new DispatchEfficiency()
  #usualSlowness = 1
  #nextId = 0

  constructor (policy: ReplayPolicy, load: ReplayLoad, seed: number) {
    this.#policy = policy
    this.#load = load
    this.#random = createRandom(seed)
    this.#targets = Array.from({ length: load.targets }, (_, index) => new ReplayTarget(index, load.speeds[index % load.speeds.length]!, load.racks?.count))
  }

  play (): readonly Tally[] {
    const endsAt = this.#load.seconds * 1_000
    // The last jobs are given the time to end.
    for (let now = 0; now < endsAt + 12_000; now++) {
      let changed = false
      for (const run of this.#ends.get(now) ?? []) {
        this.#endRun(run, now)
        changed = true
      }
      this.#ends.delete(now)
      if (now < endsAt) changed = this.#createArrivals(now) || changed
      if (now % 50 === 0) this.#maintain(now)
      if (changed || (this.#policy.waitsForLocality === true && now % 50 === 0)) this.#startTasks(now)
    }
    return this.tallies
  }

  #createArrivals (now: number): boolean {
    const { burstFactor, burstLoad, wave, speeds } = this.#load
    const size = queues.length
    const meanFactor = 1 + stragglerShare * (stragglerFactor - 1)
    const speed = speeds.reduce((sum, slowness) => sum + 1 / slowness, 0) / speeds.length
    const capacity = this.#load.targets * targetProcessors * packing * speed / meanFactor
    const burstShare = queues.reduce((sum, { share }, index) => sum + share * (index === size - 1 ? burstFactor : 1), 0)
    const isBurst = now % 10_000 >= 4_000 && now % 10_000 < 9_000
    let changed = false
    for (const [priority, { share: ownShare, width, runMs }] of queues.entries()) {
      const share = this.#load.shares?.[priority] ?? ownShare
      const factor = (isBurst && priority === size - 1 ? burstFactor : 1) * (1 + wave * Math.sin(now / 8_000 * 2 * Math.PI))
      const perMs = capacity * burstLoad / burstShare * share * factor / (width * runMs * 16_000)
      // At most two arrivals of a queue in a millisecond; the rates are far below one.
      for (let chance = perMs; chance > 0; chance--) {
        if (this.#random() >= chance) continue
        this.#admit(new ReplayJob(`j${this.#nextId++}`, priority, now, this.#random, this.#load.racks), now)
        changed = true
      }
    }
    return changed
  }

  readonly #predictMs = (job: ReplayJob): number => {
    const { model } = this.#policy
    return model === undefined ? job.remainingMs : job.remainingMs * model.getMedian(job.queue) * this.#usualSlowness
  }

  #estimateThroughput (): number {
    return this.#targets.reduce((sum, target) => sum + targetProcessors / target.slowness, 0)
  }

  #admit (job: ReplayJob, now: number): void {
    const throughput = this.#estimateThroughput() * this.#efficiency.efficiency
    const compare = this.#policy.model === undefined ? compareJobs : (a: ReplayJob, b: ReplayJob) => compareInOverload(a, b, now, this.#predictMs)
    this.#policy.shares?.recordOffered(job.queue, job.waitingWork, now)
    if (job.priority === 0) this.#policy.headroom?.record({ processors: job.waiting * job.step.demand.processors, runMs: this.#predictMs(job), objectiveMs: job.objectiveAt - now }, now)
    let workAhead = 0
    for (const other of this.#queue) if (compare(other, job) <= 0) workAhead += other.waitingWork
    const ownWorkMs = workAhead > 0 ? job.waitingWork / throughput : 0
    const decision = decideAdmission({ workAhead, throughput }, this.#predictMs(job) + ownWorkMs, job.usefulUntil - now)
    if (decision.kind === 'reject') {
      this.tallies[job.priority]!.rejected++
      return
    }
    job.predictedWaitMs = decision.waitMs
    this.#queue.add(job)
  }

  #sort (now: number): ReplayJob[] {
    const sorted = sortQueue([...this.#queue], now, this.#predictMs)
    const below = this.#policy.shares?.listBelowFloor(now)
    if (below === undefined || below.size === 0) return sorted
    // A job that is of no use in any case takes nothing from the other queues.
    return moveFirst(sorted, job => below.has(job.queue) && classifyUrgency(job, now, this.#predictMs(job)) !== 'useless')
  }

  #maintain (now: number): void {
    const throughput = this.#estimateThroughput()
    const freeProcessors = this.#targets.reduce((sum, target) => sum + target.freeCapacity.processors, 0)
    this.#efficiency.update(now, { queuedJobs: this.#queue.size, freeProcessors, usableProcessors: this.#load.targets * targetProcessors, nominalThroughput: throughput })
    this.#usualSlowness = computeUsualSlowness(this.#targets.map(target => target.slowness))
    this.#policy.model?.expire(now)
    for (const { job } of selectJobsToShed(this.#sort(now), other => other.waitingWork, throughput * this.#efficiency.efficiency, now, this.#predictMs)) {
      this.#queue.delete(job)
      this.tallies[job.priority]!.rejected++
    }
  }

  #startTasks (now: number): void {
    const limit = this.#policy.headroom?.computeLimit({ usableProcessors: this.#load.targets * targetProcessors, nextEndMs: this.#measureNextEndMs() }, now)
    const sorted = this.#sort(now)
    const isLoaded = sorted.length > 1
    const forecasts = new Map<string, RackForecast>()
    for (const job of sorted) {
      const isLong = limit !== undefined && this.#predictMs(job) > limit.longMs
      for (const task of [...job.waitingTasks]) {
        if (isLong && this.#sumLong(limit.longMs) + job.step.demand.processors > limit.maxLongProcessors) break
        const target = pickTarget(this.#targets, 's', job.step, () => 0, this.#load.racks?.remoteFactor ?? 1)
        if (target === undefined) break
        if (this.#policy.waitsForLocality === true && this.#waits(job, task, target, isLoaded, forecasts, now)) continue
        this.#startTask(job, task, target, now)
      }
      if (job.waiting === 0) this.#queue.delete(job)
    }
  }

  #waits (job: ReplayJob, task: number, target: ReplayTarget, isLoaded: boolean, forecasts: Map<string, RackForecast>, now: number): boolean {
    const { dataRack, demand } = job.step
    if (dataRack === undefined || !isRemoteFor(job, target)) return false
    const forecast = forecasts.get(dataRack) ?? this.#forecastRack(dataRack, now)
    forecasts.set(dataRack, forecast)
    const place = forecast.findPlace(demand)
    if (place === undefined) return false
    const nearMs = this.#predictRunMs(job, place.slowness)
    const remoteMs = this.#predictRunMs(job, target.slowness) * this.#load.racks!.remoteFactor
    const since = job.waitingSince.get(task) ?? now
    if (!shouldWait({ now, since, nearAt: place.at, nearMs, remoteMs, restMs: 0, objectiveAt: job.objectiveAt, usefulUntil: job.usefulUntil, isLoaded })) return false
    job.waitingSince.set(task, since)
    place.claim(nearMs)
    return true
  }

  #forecastRack (rack: string, now: number): RackForecast {
    const near = this.#targets.filter(({ info }) => info.labels.includes(rack))
    const runs = [...this.#running]
    return new RackForecast(near.map(target => ({
      id: target.info.id,
      labels: target.info.labels,
      free: target.freeCapacity,
      slowness: target.slowness,
      ends: runs.filter(run => run.target === target).map(run => {
        const progressAt = Math.max(run.sentAt, now - now % 50)
        const percent = Math.floor(100 * (progressAt - run.sentAt) / (run.endAt - run.sentAt))
        const predictedMs = this.#predictRunMs(run.job, target.slowness) * (run.isRemote ? this.#load.racks!.remoteFactor : 1)
        return { at: predictEndAt({ sentAt: run.sentAt, percent, progressAt }, predictedMs, now), demand: run.job.step.demand }
      })
    })))
  }

  /** Predicts the run time of a task near its data. */
  #predictRunMs (job: ReplayJob, slowness: number): number {
    return job.remainingMs * (this.#policy.model?.getMedian(job.queue) ?? 1) * slowness
  }

  #measureNextEndMs (): number {
    let perMs = 0
    for (const { job } of this.#running) perMs += 1 / this.#predictMs(job)
    return 1 / perMs
  }

  #sumLong (longMs: number): number {
    let sum = 0
    for (const { job } of this.#running) if (this.#predictMs(job) > longMs) sum += job.step.demand.processors
    return sum
  }

  #startTask (job: ReplayJob, task: number, target: ReplayTarget, now: number): void {
    if (!job.started) this.tallies[job.priority]!.waitErrorMs += Math.abs(now - job.acceptedAt - job.predictedWaitMs)
    job.waitingTasks.delete(task)
    this.#policy.shares?.recordStarted(job.queue, job.remainingMs * job.step.demand.processors, now)
    job.started = true
    target.occupy(job.step.demand.processors)
    const isRemote = isRemoteFor(job, target)
    if (job.step.dataRack !== undefined) {
      const tally = this.tallies[job.priority]!
      tally[isRemote ? 'remote' : 'near']++
      if (job.waitingSince.has(task)) tally[isRemote ? 'waitsRemote' : 'waitsNear']++
    }
    const factor = isRemote ? this.#load.racks!.remoteFactor : 1
    const endAt = now + Math.round(job.taskMs[task]! * target.speed * factor + job.latencyMs[task]!)
    const runs = this.#ends.get(endAt) ?? []
    const run = { job, target, sentAt: now, isRemote, endAt }
    this.#running.add(run)
    runs.push(run)
    this.#ends.set(endAt, runs)
  }

  #endRun (run: ReplayRun, now: number): void {
    const { job, target, sentAt } = run
    this.#running.delete(run)
    target.occupy(-job.step.demand.processors)
    const { model } = this.#policy
    const ratio = (now - sentAt) / job.remainingMs
    model?.record(job.queue, target.info.id, ratio, target.slowness, this.#usualSlowness, now)
    target.health.recordSuccess(ratio)
    this.#efficiency.recordFinished(job.remainingMs * job.step.demand.processors)
    if (--job.left > 0) return
    const tally = this.tallies[job.priority]!
    if (now <= job.objectiveAt) tally.onTime++
    else if (now <= job.usefulUntil) tally.late++
    else tally.useless++
  }
}

function isRemoteFor (job: ReplayJob, target: ReplayTarget): boolean {
  return job.step.dataRack !== undefined && !target.info.labels.includes(job.step.dataRack)
}

/** Plays one load and returns the answers by queue. */
export function playReplay (policy: ReplayPolicy, load: ReplayLoad, seed: number): readonly Tally[] {
  return new Replay(policy, load, seed).play()
}

/** Creates a generator of numbers from 0 to 1 by the mulberry32 method. */
function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

import { setTimeout as delay } from 'node:timers/promises'
import { type CallerSession } from './caller-session.js'
import { type Cluster } from './cluster.js'
import { type EntryProcess, type TargetProcess } from './cluster-model.js'
import { type ActiveFault, type CutDirection, type FaultInjector } from './fault-injector.js'
import { type RandomSource } from '@sesamereel/emulator'
import { runWithConcurrencyLimit } from './concurrency-limit.js'

/** Kinds of faults with their weights. */
const weights = {
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
} as const

type FaultKind = keyof typeof weights

/** What a lingering target does after its mark appeared in the list, in milliseconds. */
const lingerMs = 6_000

export interface FaultEnvironment {
  readonly cluster: Cluster
  readonly injector: FaultInjector
  readonly session: CallerSession
  readonly customers: readonly string[]
  readonly isOver: () => boolean
  /** Superseded processes that were resumed; they must end by themselves. */
  readonly superseded: EntryProcess[]
  /** What went wrong in the run itself, such as an instance that did not become ready. */
  readonly problems: string[]
}

/** Causes random faults one after the other; several may run side by side. */
export class RandomFaults {
  readonly #environment: FaultEnvironment
  readonly #random: RandomSource
  /** Processes and parts that one of the fault loops is using now. */
  readonly #busy: Set<string>

  constructor (environment: FaultEnvironment, random: RandomSource, busy: Set<string>) {
    this.#environment = environment
    this.#random = random
    this.#busy = busy
  }

  /** Causes faults until the run is over, then ends the last one. */
  async run (): Promise<void> {
    while (!this.#environment.isOver()) {
      await this.#wait(this.#random.pickInteger(300, 2_500))
      if (this.#environment.isOver()) return
      const kind = this.#random.pickWeighted(weights)
      try {
        await this.#cause(kind)
      } catch (error) {
        this.#environment.problems.push(`${kind}: ${error instanceof Error ? error.message : String(error)}`)
      }
    }
  }

  async #cause (kind: FaultKind): Promise<void> {
    const { injector } = this.#environment
    if (kind === 'kill-entry' || kind === 'pause-entry' || kind === 'pause-entry-with-successor' || kind === 'planned-stop') await this.#disturbEntry(kind)
    else if (kind === 'cut-domains' || kind === 'cut-platform') await this.#cut(kind)
    else if (kind.startsWith('platform-') || kind === 'list-lag') await this.#disturbPlatform(kind)
    else if (kind === 'silent-connections') {
      const part = this.#random.pick(['peer:', 'target:', 'platform@', ''])!
      await injector.silenceLinks(name => name.startsWith(part))
    } else if (kind === 'cancellation-wave' || kind === 'burst') await this.#submitBurst(kind)
    else await this.#disturbTarget(kind)
  }

  async #disturbEntry (kind: 'kill-entry' | 'pause-entry' | 'pause-entry-with-successor' | 'planned-stop'): Promise<void> {
    const { cluster, injector, superseded } = this.#environment
    const entry = this.#takeFree(cluster.entries, ({ domain, seat }) => `${domain}.${seat}`)
    if (entry === undefined) return
    const seat = `${entry.domain}.${entry.seat}`
    try {
      if (kind === 'planned-stop') {
        injector.note(kind)
        await cluster.stopEntry(entry.name)
        await this.#wait(this.#random.pickInteger(0, 2_000))
        await cluster.startEntry(entry.domain, entry.seat)
      } else if (kind === 'kill-entry') {
        injector.note(kind)
        cluster.killProcess(entry.name)
        await this.#wait(this.#random.pickInteger(0, 4_000))
        await cluster.startEntry(entry.domain, entry.seat)
      } else {
        const pause = injector.pauseProcess(entry.name)
        await this.#wait(this.#random.pickInteger(500, 18_000))
        if (kind === 'pause-entry-with-successor') {
          await cluster.startEntry(entry.domain, entry.seat)
          superseded.push(entry)
          await this.#wait(this.#random.pickInteger(0, 3_000))
        }
        await pause.end()
      }
    } finally {
      this.#busy.delete(seat)
    }
  }

  async #cut (kind: 'cut-domains' | 'cut-platform'): Promise<void> {
    const { cluster, injector } = this.#environment
    const direction: CutDirection = this.#random.pick(['both', 'both', 'forward', 'backward'] as const)!
    const domains = cluster.spec.domains.map(({ name }) => name)
    const first = this.#random.pick(domains)!
    const part = kind === 'cut-platform' ? `platform@${first}` : kind
    if (!this.#take(part)) return
    const second = this.#random.pick(domains.filter(name => name !== first))!
    await this.#hold(part, kind === 'cut-platform' ? await injector.cutPlatform(first, direction) : await injector.cutDomains(first, second, direction), 18_000)
  }

  async #disturbPlatform (kind: FaultKind): Promise<void> {
    if (!this.#take('platform')) return
    const { injector } = this.#environment
    const faults = {
      'platform-down': { down: this.#random.pick(['refuse', 'error', 'hang'] as const)! },
      'platform-slow': { slowMs: this.#random.pickInteger(200, 4_000) },
      'platform-lost-replies': { loseReplies: true },
      'platform-stale-reads': { staleReadMs: this.#random.pickInteger(500, 15_000) },
      'list-lag': { listLagMs: this.#random.pickInteger(1_000, 8_000) }
    }[kind as 'platform-down']
    await this.#hold('platform', await injector.disturbPlatform(kind, faults), 18_000)
  }

  async #disturbTarget (kind: FaultKind): Promise<void> {
    const { cluster, injector } = this.#environment
    const target = this.#takeFree(cluster.targets.filter(({ id }) => !cluster.leavingProcesses.has(id)), ({ id }) => id)
    if (target === undefined) return
    try {
      if (kind === 'kill-target') {
        injector.note(kind)
        cluster.killProcess(target.id)
        await this.#wait(this.#random.pickInteger(500, 6_000))
        await this.#replaceTarget(target)
      } else if (kind === 'target-leaves') {
        injector.note(kind)
        const announces = this.#random.pick(['leaving', 'lingering', 'nothing'] as const)!
        if (announces !== 'nothing') await cluster.setTargetFaults(target.id, { [announces]: true })
        await cluster.markLeaving(target.id)
        await this.#wait(lingerMs)
        // Tasks that still run there must end before the process does.
        await delay(10_000)
        cluster.killProcess(target.id)
        await this.#replaceTarget(target)
      } else if (kind === 'pause-target') {
        await this.#waitAndEnd(injector.pauseProcess(target.id), 13_000)
      } else {
        const faults = kind === 'target-fails' ? { failAll: true } : { speed: target.spec.speed / this.#random.pickInteger(2, 20) }
        await this.#waitAndEnd(await injector.disturbTarget(kind, target.id, faults), 10_000)
      }
    } finally {
      this.#busy.delete(target.id)
    }
  }

  async #replaceTarget (target: TargetProcess): Promise<void> {
    const { cluster } = this.#environment
    await cluster.startTarget(target.domain, target.spec)
    await cluster.removeFromList(target.id)
  }

  /** Submits far more than a plan allows, and for a wave cancels all of it. */
  async #submitBurst (kind: 'cancellation-wave' | 'burst'): Promise<void> {
    const { cluster, injector, session, customers } = this.#environment
    const to = this.#random.pick(cluster.entries)
    if (to === undefined) return
    injector.note(kind)
    const tasks = kind === 'burst' ? 8 : 20
    const jobs = await session.createJobs(to, { customer: this.#random.pick(customers)!, tasks, workMs: [100], kind: 'lookup' }, kind === 'burst' ? 25 : 40)
    await runWithConcurrencyLimit(jobs, 16, async job => { await session.submit(to, job) })
    if (kind !== 'cancellation-wave') return
    await this.#wait(this.#random.pickInteger(0, 1_000))
    await runWithConcurrencyLimit(jobs, 16, async job => { await session.cancel(this.#random.pick(cluster.entries) ?? to, job) })
  }

  async #hold (part: string, fault: ActiveFault, longestMs: number): Promise<void> {
    try {
      await this.#waitAndEnd(fault, longestMs)
    } finally {
      this.#busy.delete(part)
    }
  }

  async #waitAndEnd (fault: ActiveFault, longestMs: number): Promise<void> {
    // Short faults are as likely as long ones that outlast a loan or a lease.
    await this.#wait(this.#random.drawBoolean(0.5) ? this.#random.pickInteger(300, 3_000) : this.#random.pickInteger(3_000, longestMs))
    await fault.end()
  }

  #take (part: string): boolean {
    if (this.#busy.has(part)) return false
    this.#busy.add(part)
    return true
  }

  #takeFree<T> (items: readonly T[], readName: (item: T) => string): T | undefined {
    const item = this.#random.pick(items.filter(candidate => !this.#busy.has(readName(candidate))))
    if (item !== undefined) this.#busy.add(readName(item))
    return item
  }

  /** Waits, but not beyond the end of the run. */
  async #wait (ms: number): Promise<void> {
    const until = Date.now() + ms
    while (Date.now() < until && !this.#environment.isOver()) await delay(Math.min(100, Math.max(1, until - Date.now())))
  }
}

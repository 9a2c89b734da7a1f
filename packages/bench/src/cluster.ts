import { setTimeout as delay } from 'node:timers/promises'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { type Settings } from '@sesamereel/protocol'
import { type InstanceDescription, type LimitList, type PlanList, type TargetDescription } from '@sesamereel/state'
import { type LinkMode, type PlatformFaults, type TargetFaults } from '@sesamereel/stand-ins'
import { callHttpOrThrow, callHttp } from './http-call.js'
import { type LaunchedProcess, ProcessLauncher, programs, reserveAddresses } from './launcher.js'

export interface TargetSpec {
  readonly speed: number
  readonly slots: number
  readonly connections?: number
  readonly capacity?: TargetDescription['capacity']
}

export interface DomainSpec {
  readonly name: string
  readonly seats: number
  readonly targets: readonly TargetSpec[]
}

export interface ClusterSpec {
  readonly domains: readonly DomainSpec[]
  readonly plans: PlanList
  readonly limits: LimitList
  /** One-way delay between domains in milliseconds. */
  readonly delayMs: number
}

/** Something that happened to a process because the driver did it. */
export interface ProcessRecord {
  readonly at: number
  readonly process: string
  readonly event: 'started' | 'ready' | 'killed' | 'paused' | 'resumed' | 'stop-begun' | 'stopped'
  /** Exit code of a planned stop; null when it had to be killed. */
  readonly exitCode?: number | null
}

/** An entry instance as the cluster knows it. */
export interface EntryProcess {
  /** `DOMAIN.SEAT#NUMBER`, where the number tells successors in a seat apart. */
  readonly name: string
  readonly domain: string
  readonly seat: number
  readonly callerAddress: string
  readonly peerAddress: string
}

export interface TargetProcess {
  readonly id: string
  readonly domain: string
  readonly spec: TargetSpec
  readonly apiAddress: string
  readonly adminAddress: string
}

export const tokens = {
  caller: 'caller-token-of-the-bench',
  operator: 'operator-token-of-the-bench',
  peer: 'peer-token-of-the-bench'
} as const

/** Longest time in milliseconds that a planned stop may take: the longest task, and the hand-over of answers. */
const plannedStopMs = 45_000

const readyPollMs = 25

const defaultCapacity = { processors: 64_000, memoryMb: 128_000, accelerators: 8 }

/**
 * A whole system on the loopback interface: platform, network, targets and entry instances, each in
 * a process of its own. All traffic between domains, to the platform and to targets goes through
 * links that can be cut: `platform@DOMAIN`, `peer:INSTANCE@DOMAIN` and `target:ID`.
 */
export class Cluster {
  readonly launcher = new ProcessLauncher()
  readonly spec: ClusterSpec
  readonly records: ProcessRecord[] = []
  readonly #entries = new Map<string, EntryProcess>()
  readonly #targets = new Map<string, TargetProcess>()
  readonly #leaving = new Set<string>()
  readonly #linkAddresses = new Map<string, string>()
  /** Real address to the name of the link that leads to it, by the domain that asks. */
  readonly #views = new Map<string, Map<string, string>>()
  #platform: LaunchedProcess | undefined
  #network: LaunchedProcess | undefined
  #starts = 0
  #targetNumber = 0

  constructor (spec: ClusterSpec) {
    this.spec = spec
    for (const { name } of spec.domains) this.#views.set(name, new Map())
  }

  /**
   * Starts platform, network, targets and one entry instance for each seat, then sets both lists
   * through the operators' API.
   */
  async start (): Promise<void> {
    this.#platform = await this.launcher.startStandIn('platform', 'platform', { recordFile: join(this.launcher.folder, 'platform.records') })
    this.#network = await this.launcher.startStandIn('network', 'network', { recordFile: join(this.launcher.folder, 'network.records') })
    await this.#addLinks(this.spec.domains.map(({ name }) => ({ name: `platform@${name}`, connect: this.platformAddress, delayMs: 0 })))
    await Promise.all(this.spec.domains.flatMap(domain => domain.targets.map(target => this.startTarget(domain.name, target))))
    await Promise.all(this.spec.domains.flatMap(domain => Array.from({ length: domain.seats }, (_, seat) => this.startEntry(domain.name, seat))))
    await this.#setLists()
  }

  get platformAddress (): string { return this.#platform!.addresses['api']! }

  get entries (): readonly EntryProcess[] { return [...this.#entries.values()] }

  get targets (): readonly TargetProcess[] { return [...this.#targets.values()] }

  /** Ids of targets that are marked leaving. */
  get leavingTargets (): ReadonlySet<string> { return this.#leaving }

  /**
   * Finds the newest entry instance in a seat.
   *
   * @param seat - `DOMAIN.SEAT`
   */
  findEntry (seat: string): EntryProcess | undefined {
    return this.entries.findLast(({ domain, seat: index }) => `${domain}.${index}` === seat)
  }

  /**
   * Starts an entry instance in a seat, in place of the one that was there, and puts it on the list.
   *
   * @returns when the instance is ready
   */
  async startEntry (domain: string, seat: number): Promise<EntryProcess> {
    const name = `${domain}.${seat}#${++this.#starts}`
    const [callerAddress, peerAddress] = await reserveAddresses(2) as [string, string]
    const settings: Settings = {
      domain,
      seat,
      topology: { domains: this.spec.domains.map(({ name, seats }) => ({ name, seats })) },
      callerAddress,
      peerAddress,
      platform: { address: this.#linkAddresses.get(`platform@${domain}`)! },
      seedPeers: [],
      callers: [{ token: tokens.caller, customers: '*' }],
      operatorToken: tokens.operator,
      peerToken: tokens.peer,
      logLevel: 'info'
    }
    await this.#addLinks(this.spec.domains.map(({ name: from }) => ({
      name: `peer:${name}@${from}`, connect: peerAddress, delayMs: from === domain ? 0 : this.spec.delayMs
    })))
    for (const { name: from } of this.spec.domains) this.#views.get(from)!.set(peerAddress, `peer:${name}@${from}`)
    const entry = { name, domain, seat, callerAddress, peerAddress }
    for (const old of this.entries) if (old.domain === domain && old.seat === seat) this.#entries.delete(old.name)
    this.#entries.set(name, entry)
    this.launcher.startProgram(name, [programs.entry, '--settings', this.launcher.writeSettings(name, settings)])
    this.#record(name, 'started')
    await this.publishList()
    await this.#waitUntilReady(entry)
    return entry
  }

  /**
   * Starts a target and puts it on the list.
   *
   * @returns the target; its id is new for each start
   */
  async startTarget (domain: string, spec: TargetSpec): Promise<TargetProcess> {
    const id = `${domain}-t${++this.#targetNumber}`
    const capacity = spec.capacity ?? defaultCapacity
    const launched = await this.launcher.startStandIn(id, 'target', {
      id, ...spec, capacity, recordFile: join(this.launcher.folder, `${id}.records`)
    })
    const target = { id, domain, spec: { ...spec, capacity }, apiAddress: launched.addresses['api']!, adminAddress: launched.addresses['admin']! }
    await this.#addLinks([{ name: `target:${id}`, connect: target.apiAddress, delayMs: 0 }])
    for (const view of this.#views.values()) view.set(target.apiAddress, `target:${id}`)
    this.#targets.set(id, target)
    this.#record(id, 'started')
    await this.publishList()
    return target
  }

  /**
   * Takes a process off the list, as a platform does when it has noticed that it is gone.
   */
  async removeFromList (name: string): Promise<void> {
    this.#entries.delete(name)
    this.#targets.delete(name)
    await this.publishList()
  }

  /**
   * Marks a target or an entry instance as leaving in the list.
   */
  async markLeaving (name: string): Promise<void> {
    this.#leaving.add(name)
    await this.publishList()
  }

  /** Sends the present list to the platform. */
  async publishList (): Promise<void> {
    const instances: InstanceDescription[] = this.entries.map(({ name, domain, seat, callerAddress, peerAddress }) => ({
      domain, seat, callerAddress, peerAddress, state: this.#leaving.has(name) ? 'leaving' : 'live'
    }))
    const targets: TargetDescription[] = this.targets.map(({ id, domain, apiAddress, spec }) => ({
      id, address: apiAddress, domain, state: this.#leaving.has(id) ? 'leaving' : 'live', slots: spec.slots, connections: spec.connections ?? 60, capacity: spec.capacity!
    }))
    const views = Object.fromEntries([...this.#views].map(([from, view]) => [
      from, Object.fromEntries([...view].map(([real, link]) => [real, this.#linkAddresses.get(link)]))
    ]))
    await this.askPlatform('PUT', '/views', views)
    await this.askPlatform('PUT', '/list', { instances, targets })
  }

  killProcess (name: string): void {
    // The time before the signal: nothing that the process did can be later than its end.
    this.#record(name, 'killed')
    this.launcher.sendSignal(name, 'SIGKILL')
  }

  pauseProcess (name: string): void {
    this.#record(name, 'paused')
    this.launcher.sendSignal(name, 'SIGSTOP')
  }

  resumeProcess (name: string): void {
    this.launcher.sendSignal(name, 'SIGCONT')
    this.#record(name, 'resumed')
  }

  /**
   * Stops an entry instance as planned: marks it leaving, sends SIGTERM and waits for its end.
   *
   * @returns the exit code, or null when it did not end in time and was killed
   */
  async stopEntry (name: string): Promise<number | null> {
    this.#record(name, 'stop-begun')
    await this.markLeaving(name)
    this.launcher.sendSignal(name, 'SIGTERM')
    const { code } = await this.launcher.waitForEnd(name, plannedStopMs)
    this.records.push({ at: Date.now(), process: name, event: 'stopped', exitCode: code })
    await this.removeFromList(name)
    return code
  }

  async setPlatformFaults (faults: Partial<PlatformFaults>): Promise<void> {
    await this.askPlatform('PUT', '/faults', faults)
  }

  async setTargetFaults (id: string, faults: Partial<TargetFaults>): Promise<void> {
    const target = this.#targets.get(id)
    if (target === undefined) throw new Error(`no target ${JSON.stringify(id)}`)
    await callHttpOrThrow(target.adminAddress, '/faults', { method: 'PUT', body: faults })
  }

  /**
   * Lists the names of the links that a predicate selects.
   */
  listLinks (select: (name: string) => boolean): readonly string[] {
    return [...this.#linkAddresses.keys()].filter(select)
  }

  /**
   * Lists the links that carry traffic between two domains, in the direction in which connections are opened.
   */
  listLinksBetween (from: string, to: string): readonly string[] {
    return this.listLinks(name => name.startsWith(`peer:${to}.`) && name.endsWith(`@${from}`))
  }

  async setLinks (names: readonly string[], change: { mode?: LinkMode, delayMs?: number, silence?: boolean }): Promise<void> {
    if (names.length > 0) await callHttpOrThrow(this.#network!.addresses['admin']!, '/links', { method: 'PUT', body: { names, ...change } })
  }

  async askPlatform (method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown): Promise<unknown> {
    return await callHttpOrThrow(this.#platform!.addresses['admin']!, path, { method, ...(body === undefined ? {} : { body }) })
  }

  /**
   * Reads the records of the platform and of all targets that ever ran, also killed ones.
   */
  readRecords (): ReadonlyArray<Readonly<Record<string, unknown>>> {
    const names = ['platform', ...Array.from({ length: this.#targetNumber }, (_, i) => i + 1).flatMap(number => this.spec.domains.map(({ name }) => `${name}-t${number}`))]
    return names.flatMap(name => {
      const text = this.#readFileIfAny(join(this.launcher.folder, `${name}.records`))
      return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Record<string, unknown>)
    })
  }

  async close (keepFolder = false): Promise<void> {
    await this.launcher.close(keepFolder)
  }

  async #waitUntilReady (entry: EntryProcess): Promise<void> {
    const deadline = Date.now() + 40_000
    while (Date.now() < deadline) {
      if (!this.launcher.has(entry.name)) {
        // A process that the driver killed before it was ready is no failure of the process.
        if (this.records.some(({ process, event }) => process === entry.name && event === 'killed')) return
        throw new Error(`${entry.name} ended before it was ready:\n${this.launcher.readLog(entry.name).slice(-3_000)}`)
      }
      const reply = await callHttp(entry.callerAddress, '/ready', { timeoutMs: 1_000 })
      if (reply.kind === 'answered' && reply.status === 200) {
        this.#record(entry.name, 'ready')
        return
      }
      await delay(readyPollMs)
    }
    throw new Error(`${entry.name} is not ready after 40 s:\n${this.launcher.readLog(entry.name).slice(-3_000)}`)
  }

  async #setLists (): Promise<void> {
    const address = this.entries[0]!.callerAddress
    const put = async (list: string, content: unknown): Promise<void> => {
      const { version } = await callHttpOrThrow(address, '/v1/lists', { token: tokens.operator }) as { version: number }
      await callHttpOrThrow(address, `/v1/lists/${list}`, {
        method: 'PUT', token: tokens.operator, body: { baseVersion: version, editId: `setup-${list}`, content, dryRun: false }
      })
    }
    // Limits first: a plan that has no limit yet could be refused.
    await put('limits', this.spec.limits)
    await put('plans', this.spec.plans)
    const { version } = await callHttpOrThrow(address, '/v1/lists', { token: tokens.operator }) as { version: number }
    for (const entry of this.entries) {
      for (let i = 0; i < 200; i++) {
        const seen = await callHttpOrThrow(entry.callerAddress, '/v1/lists', { token: tokens.operator }) as { version: number }
        if (seen.version >= version) break
        await delay(50)
      }
    }
  }

  async #addLinks (links: ReadonlyArray<{ name: string, connect: string, delayMs: number }>): Promise<void> {
    const added = await callHttpOrThrow(this.#network!.addresses['admin']!, '/links', { method: 'POST', body: links }) as Record<string, string>
    for (const [name, address] of Object.entries(added)) this.#linkAddresses.set(name, address)
  }

  #record (name: string, event: ProcessRecord['event']): void {
    this.records.push({ at: Date.now(), process: name, event })
  }

  #readFileIfAny (path: string): string {
    try {
      return readFileSync(path, 'utf8')
    } catch {
      return ''
    }
  }
}

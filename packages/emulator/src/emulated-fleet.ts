import { ManualClock } from '@sesamereel/coordination'
import { CancelledJobs, ConfigurationRelay, defaultFleetLimits, Directory, DispatcherElection, DispatcherConnection, DomainProbe, type EventLog, type InstanceEntry, type JobAnswer, JobOwner, type JobSpec, OwnerServer, NoopLog, NoopMetrics, type StoreRow, type TargetInfo, TargetList } from '@sesamereel/fleet'
import { DrainHistory } from './drain-history.js'
import { EmulatedConnector, type LateOrders } from './emulated-connector.js'
import { createEmulatedDrains, emulatedDrainTable } from './emulated-drains.js'
import { EmulatedNetwork } from './emulated-network.js'
import { EmulatedPeerNetwork } from './emulated-peer-network.js'
import { EmulatedProcess } from './emulated-process.js'
import { EmulatedStore } from './emulated-store.js'
import { EmulatedTarget } from './emulated-target.js'
import { emulatedMaxAttempts, FleetHistory } from './fleet-history.js'
import { RandomSource } from './random-source.js'

/** Table of the emulated store that lists the targets. */
export const emulatedTargetTable = 'targets'

/** Processors of each target in thousandths of a core. */
const processorsPerTarget = 32_000

/** Interval in milliseconds at which a target tries again to write its entry. */
const announceRetryMs = 1_500

export interface EmulatedFleetOptions {
  /** Names of the failure domains. */
  readonly domains: readonly string[]
  readonly instancesPerDomain: number
  readonly targetsPerDomain: number
  readonly seed: number
  /** Time in milliseconds after the request of a domain's drain from which no task may start there; without it domains can't be drained. */
  readonly drainBoundMs?: number
  /** Creates the log of an instance; by default nothing is logged. */
  readonly createLog?: (instance: string, clock: ManualClock) => EventLog
}

/** Treats a domain as reachable when the network delivers messages to one of its targets that is up. */
class EmulatedDomainProbe extends DomainProbe {
  readonly #network: EmulatedNetwork
  readonly #endpoint: string
  readonly #targets: ReadonlyMap<string, EmulatedTarget>

  constructor (network: EmulatedNetwork, endpoint: string, targets: ReadonlyMap<string, EmulatedTarget>) {
    super()
    this.#network = network
    this.#endpoint = endpoint
    this.#targets = targets
  }

  override async canReachTargets (domain: string): Promise<boolean> {
    return [...this.#targets.values()].some(target => target.info.domain === domain && target.isUp && this.#network.isOpen(this.#endpoint, target.info.id))
  }
}

/** One process of the emulated fleet, with the parts of the product that it runs. */
export interface EmulatedInstance {
  readonly entry: InstanceEntry
  readonly process: EmulatedProcess
  readonly owner: JobOwner
  readonly election: DispatcherElection
  readonly server: OwnerServer
  readonly stop: () => void
}

/** A fleet of instances and targets, with their store and network, in one process and on a manual clock. */
export class EmulatedFleet {
  readonly clock = new ManualClock()
  readonly network = new EmulatedNetwork(this.clock)
  readonly store = new EmulatedStore(this.clock, this.network)
  readonly history = new FleetHistory(this.clock)
  readonly drainHistory: DrainHistory
  readonly random: RandomSource
  readonly lateOrders: LateOrders = { probability: 0 }
  readonly targets = new Map<string, EmulatedTarget>()
  readonly #drainingTargets = new Set<string>()
  readonly instances = new Map<string, EmulatedInstance>()
  readonly peers = new EmulatedPeerNetwork(this.network)
  /** Ids of the jobs whose tasks crash each target that starts them. */
  readonly crashingJobs = new Set<string>()
  readonly #options: EmulatedFleetOptions
  #jobCount = 0

  constructor (options: EmulatedFleetOptions) {
    this.#options = options
    this.drainHistory = new DrainHistory(this.clock, options.drainBoundMs ?? Infinity)
    this.random = new RandomSource(options.seed)
    for (const domain of options.domains) this.#addTargets(domain)
    for (const domain of options.domains) {
      for (let index = 0; index < options.instancesPerDomain; index++) this.startInstance(`${domain}-${index}`, domain)
    }
  }

  /** Advances the clock by `ms` milliseconds. */
  async advance (ms: number): Promise<void> {
    await this.clock.advance(ms)
  }

  /** Starts an instance under a name; an earlier one of the same name must have ended. */
  startInstance (instance: string, domain: string): void {
    const entry: InstanceEntry = { instance, incarnation: `${instance}@${this.clock.now()}`, domain, address: instance, power: 1, startedMs: Math.round(this.clock.now()) }
    this.instances.set(instance, this.#createInstance(entry))
  }

  /** Ends an instance at once, without a handover; its connections close at their remote ends. */
  killInstance (instance: string): void {
    this.peers.removeServer(instance)
    this.#endInstance(instance, true)
  }

  /** Ends an instance as a power loss does: its connections only fall silent. */
  powerOffInstance (instance: string): void {
    this.peers.powerOff(instance)
    this.#endInstance(instance, false)
  }

  /** Resets the connections between an instance, which goes on, and the others. */
  resetStreams (instance: string): void {
    this.peers.resetStreams(instance)
  }

  /** Lets the open connections between an instance and the others fall silent for good; new ones work. */
  silenceStreams (instance: string): void {
    this.peers.silenceStreams(instance)
  }

  /** @returns the instance whose dispatcher of a domain has the highest token, or undefined when there is none */
  findDispatchingInstance (domain: string): string | undefined {
    let latest: { readonly instance: string, readonly token: number } | undefined
    for (const [instance, parts] of this.instances) {
      const dispatcher = parts.server.findDispatcher(domain)
      if (dispatcher !== undefined && dispatcher.token > (latest?.token ?? -1)) latest = { instance, token: dispatcher.token }
    }
    return latest?.instance
  }

  /** @returns the names of the live instances of a domain */
  listInstances (domain: string): readonly string[] {
    return [...this.instances.values()].filter(parts => parts.entry.domain === domain).map(parts => parts.entry.instance)
  }

  /** @returns the targets of a domain */
  listTargets (domain: string): readonly EmulatedTarget[] {
    return [...this.targets.values()].filter(target => target.info.domain === domain)
  }

  /** Starts one more target in a domain and announces it in the store. */
  addTarget (domain: string): void {
    const id = `target-${domain}-${this.listTargets(domain).length}`
    const info: TargetInfo = { id, address: id, service: 'lab', domain, draining: false, capacity: { processors: processorsPerTarget, memoryMb: 1_024, accelerators: 0 }, labels: [], revision: 0 }
    this.targets.set(id, new EmulatedTarget(info, this.clock, this.history, entry => { this.#announceTarget(entry) }))
  }

  /** Announces in the store that a target leaves. */
  drainTarget (target: EmulatedTarget): void {
    this.history.recordDraining(target.info.id)
    this.store.put(emulatedTargetTable, target.info.id, JSON.stringify({ ...target.entry, draining: true }))
    this.#drainingTargets.add(target.info.id)
  }

  /** Writes the entry of a target, again after a while if the store is unavailable. */
  #announceTarget (entry: TargetInfo): void {
    const { id, bornMs } = entry
    const known = this.targets.get(id)
    // The entry of an incarnation that has ended meanwhile is of no use.
    if (known !== undefined && known.entry.bornMs !== bornMs) return
    if (this.store.fault === 'none') this.store.put(emulatedTargetTable, id, JSON.stringify({ ...entry, draining: this.#drainingTargets.has(id) }))
    else this.clock.startTimer(announceRetryMs, () => { this.#announceTarget(entry) })
  }

  get domains (): readonly string[] { return this.#options.domains }

  /** Requests the drain of a domain in the store, or withdraws it. */
  writeDrainRequest (domain: string, isDrained: boolean): void {
    if (isDrained) this.store.put(emulatedDrainTable, domain, '{}')
    else this.store.remove(emulatedDrainTable, domain)
  }

  /** @returns a line for each violation of an invariant */
  listViolations (): readonly string[] {
    return [...this.history.listViolations(), ...this.drainHistory.listViolations(this.history.runs, id => this.targets.get(id)?.info.domain)]
  }

  /**
   * Submits a job through an instance and records its answer in the history.
   *
   * @param tasks - number of tasks
   * @param workMs - run time of each task in milliseconds
   * @returns the job's id, its answer, and a function that abandons it as a caller that disconnects does
   */
  submit (instance: string, tasks: number, workMs: number, jobId = this.#createJobId()): { readonly jobId: string, readonly answer: Promise<JobAnswer>, readonly abandon: () => void } {
    const parts = this.instances.get(instance)!
    const spec = createJob(jobId, tasks, workMs, this.crashingJobs.has(jobId))
    this.history.recordSubmission(jobId)
    let abandon = (): void => {}
    const answer = new Promise<JobAnswer>(resolve => {
      parts.process.receive(() => {
        const handle = parts.owner.submit(spec, 8_000)
        abandon = () => { handle.abandon('the caller has left') }
        handle.answer.then(result => {
          // An instance that has ended answers no callers.
          if (this.instances.get(instance) === parts) this.history.recordAnswer(jobId, result)
          resolve(result)
        }).catch(() => {})
      })
    })
    return { jobId, answer, abandon: () => { parts.process.receive(() => { abandon() }) } }
  }

  #endInstance (instance: string, areConnectionsClosed: boolean): void {
    const parts = this.instances.get(instance)
    if (parts === undefined) return
    this.instances.delete(instance)
    parts.process.end(areConnectionsClosed)
    parts.stop()
  }

  #createJobId (): string {
    this.#jobCount++
    return formatEmulatedJobId(this.#jobCount)
  }

  #addTargets (domain: string): void {
    for (let index = 0; index < this.#options.targetsPerDomain; index++) this.addTarget(domain)
  }

  #createInstance (self: InstanceEntry): EmulatedInstance {
    const { network } = this
    const clock = new EmulatedProcess(this.clock, this.random)
    network.attachProcess(self.instance, clock)
    const log = this.#options.createLog?.(self.instance, this.clock) ?? new NoopLog()
    const metrics = new NoopMetrics()
    const limits = defaultFleetLimits
    const store = this.store.connect(self.instance)
    const random = (): number => this.random.pickInteger(0, 999_999) / 1_000_000
    const directory = new Directory(store, clock, log, random)
    const targets = new TargetList(store, emulatedTargetTable, decodeTarget, clock, log, random)
    const relay = new ConfigurationRelay(() => true)
    const cancelled = new CancelledJobs()
    const { drainBoundMs, domains } = this.#options
    const drains = drainBoundMs === undefined ? undefined : createEmulatedDrains(self.instance, domains, drainBoundMs, store, clock, log)
    const drainState = drains === undefined ? {} : { drains: drains.state }
    const server = new OwnerServer(self.incarnation, clock, relay, drains?.state)
    const owner: JobOwner = new JobOwner({ homeDomain: self.domain, clock, limits, log, metrics, cancelled, ...drainState }, domain => { election.takeOver(domain) })
    const election: DispatcherElection = new DispatcherElection({
      self,
      store,
      directory,
      targets,
      server,
      clock,
      log,
      metrics,
      probe: new EmulatedDomainProbe(network, self.instance, this.targets),
      owner,
      createDispatcherOptions: (domain, token, onSuperseded) => ({
        domain,
        token,
        clock,
        limits,
        connector: new EmulatedConnector(self.instance, this.targets, network, this.clock, this.random, this.lateOrders),
        log,
        metrics,
        remoteFactor: 1,
        isListComplete: () => targets.isComplete(domain),
        measureListAgeMs: () => targets.measureAgeMs(),
        cancelled,
        ...(drains === undefined ? {} : { drains }),
        requestList: () => { targets.readSoon() },
        store,
        onSuperseded
      })
    })
    const connections = domains.map(domain => new DispatcherConnection({ domain, self, directory, connector: this.peers.connect(self.instance), local: server, relay, ...drainState, clock, log, observer: owner, cancelled }))
    for (const connection of connections) {
      owner.addConnection(connection)
      election.addConnection(connection)
    }
    directory.addObserver({ onDirectoryChanged: () => { election.onDirectoryChanged() } })
    this.peers.addServer(self.instance, server)
    directory.start()
    targets.start()
    drains?.start()
    for (const connection of connections) connection.start()
    election.start()
    const stop = (): void => {
      election.close()
      for (const connection of connections) connection.close()
      owner.close()
      server.close()
      directory.close()
      targets.close()
      drains?.close()
    }
    return { entry: self, process: clock, owner, election, server, stop }
  }
}

/** @returns the id of the job that a fleet creates as its `number`th, counted from 1 */
export function formatEmulatedJobId (number: number): string {
  return number.toString(16).padStart(16, '0')
}

function decodeTarget (row: StoreRow): TargetInfo | undefined {
  return row.value === undefined ? undefined : { ...JSON.parse(row.value) as TargetInfo, revision: row.revision }
}

function createJob (id: string, tasks: number, workMs: number, crashesTarget: boolean): JobSpec {
  const processors = 14_000
  return {
    id,
    service: 'lab',
    payload: JSON.stringify({ workMs, processors, ...(crashesTarget ? { crashesTarget } : {}) }),
    steps: [{ count: tasks, demand: { processors, memoryMb: 1, accelerators: 0 }, estimateMs: workMs, after: [] }],
    priority: 0,
    maxAttempts: emulatedMaxAttempts,
    objectiveMs: 1.6 * workMs + 60,
    usefulMs: Math.max(6_000, 5 * workMs)
  }
}

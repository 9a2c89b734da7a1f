import { type PlatformFaults, type TargetFaults } from '@sesamereel/stand-ins'
import { reserveAddresses } from './address-reservation.js'
import { setLists } from './cluster-lists.js'
import { ClusterMembers } from './cluster-members.js'
import { type ClusterSpec, type EntryProcess, type TargetProcess, type TargetSpec } from './cluster-model.js'
import { ClusterNetwork, type LinkChange } from './cluster-network.js'
import { createEntrySettings } from './cluster-settings.js'
import { waitUntilReady } from './entry-readiness.js'
import { callHttpOrThrow } from './http-call.js'
import { type LaunchedProcess, ProcessLauncher } from './launcher.js'
import { ProcessLog, type ProcessRecord } from './process-log.js'
import { programs } from './programs.js'
import { buildRecordPath, type RawRecord, readRecordFiles } from './record-files.js'

/** Longest duration of a planned stop in milliseconds; covers the longest task and the hand-over of answers. */
const plannedStopMs = 45_000

const defaultCapacity = { processors: 64_000, memoryMb: 128_000, accelerators: 8 }

/**
 * A whole system on the loopback interface: platform, network, targets and entry instances, each in
 * a process of its own. All traffic between domains, to the platform and to targets goes through the
 * links of the network.
 */
export class Cluster {
  readonly launcher = new ProcessLauncher()
  readonly spec: ClusterSpec
  readonly #log = new ProcessLog()
  readonly #network: ClusterNetwork
  readonly #members = new ClusterMembers()
  #platform: LaunchedProcess | undefined
  #entryNumber = 0
  #targetNumber = 0

  /**
   * @param spec - what the cluster consists of; nothing is started yet
   */
  constructor (spec: ClusterSpec) {
    this.spec = spec
    this.#network = new ClusterNetwork(this.launcher, spec.domains.map(({ name }) => name), spec.delayMs)
  }

  /**
   * Starts platform, network, targets and one entry instance for each seat, then sets both lists
   * through the operators' API.
   */
  async start (): Promise<void> {
    this.#platform = await this.launcher.startStandIn('platform', 'platform', { recordFile: buildRecordPath(this.launcher.folder, 'platform') })
    await this.#network.start(this.platformAddress)
    await Promise.all(this.spec.domains.flatMap(({ name, targets }) => targets.map(target => this.startTarget(name, target))))
    await Promise.all(this.spec.domains.flatMap(({ name, seats }) => Array.from({ length: seats }, (_, seat) => this.startEntry(name, seat))))
    await setLists(this.entries, this.spec.plans, this.spec.limits)
  }

  /** Address of the platform's services, not through a link. */
  get platformAddress (): string { return this.#platform!.addresses['api']! }

  /** Entry instances on the list, in the order of their starts. */
  get entries (): readonly EntryProcess[] { return this.#members.entries }

  /** Targets on the list, in the order of their starts. */
  get targets (): readonly TargetProcess[] { return this.#members.targets }

  /** Names of all processes that were ever marked leaving. */
  get leavingProcesses (): ReadonlySet<string> { return this.#members.leaving }

  /** What happened to the processes, in the order of time. */
  get records (): readonly ProcessRecord[] { return this.#log.records }

  /**
   * Finds the newest entry instance in a seat.
   *
   * @param seat - `DOMAIN.SEAT`
   */
  findEntry (seat: string): EntryProcess | undefined {
    return this.#members.findEntry(seat)
  }

  /**
   * Starts an entry instance in a seat and lists it in place of the previous one.
   *
   * @returns when the instance is ready
   * @throws Error when the instance ends or is not ready in time, unless the driver killed it
   */
  async startEntry (domain: string, seat: number): Promise<EntryProcess> {
    const name = `${domain}.${seat}#${++this.#entryNumber}`
    const [callerAddress, peerAddress] = await reserveAddresses(2) as [string, string]
    const entry: EntryProcess = { name, domain, seat, callerAddress, peerAddress }
    const settings = createEntrySettings(entry, this.spec.domains, this.#network.getPlatformAddress(domain))
    await this.#network.connectEntry(name, domain, peerAddress)
    this.#members.addEntry(entry)
    this.launcher.startProgram(name, [programs.entry, '--settings', this.launcher.writeSettings(name, settings)])
    this.#log.record(name, 'started')
    await this.#publishList()
    await waitUntilReady(entry, this.launcher, this.#log)
    return entry
  }

  /**
   * Starts a target and lists it.
   *
   * @returns the target; its id is new for each start
   */
  async startTarget (domain: string, spec: TargetSpec): Promise<TargetProcess> {
    const id = `${domain}-t${++this.#targetNumber}`
    const capacity = spec.capacity ?? defaultCapacity
    const [address] = await reserveAddresses(1)
    const { addresses } = await this.launcher.startStandIn(id, 'target', {
      id, ...spec, capacity, address, recordFile: buildRecordPath(this.launcher.folder, id)
    })
    const target = { id, domain, spec: { ...spec, capacity }, apiAddress: addresses['api']!, adminAddress: addresses['admin']! }
    await this.#network.connectTarget(target)
    this.#members.addTarget(target)
    this.#log.record(id, 'started')
    await this.#publishList()
    return target
  }

  /**
   * Removes a process from the instance list, as the platform does when it has noticed its end.
   */
  async removeFromList (name: string): Promise<void> {
    this.#members.remove(name)
    await this.#publishList()
  }

  /**
   * Marks a target or an entry instance as leaving in the instance list.
   */
  async markLeaving (name: string): Promise<void> {
    this.#members.markLeaving(name)
    await this.#publishList()
  }

  /** Kills a process with SIGKILL. */
  killProcess (name: string): void {
    // Recorded before the signal: with a time after the real end, the tasks of the process would
    // appear to overlap starts that came after it.
    this.#log.record(name, 'killed')
    this.launcher.sendSignal(name, 'SIGKILL')
  }

  /** Suspends a process with SIGSTOP. */
  pauseProcess (name: string): void {
    this.#log.record(name, 'paused')
    this.launcher.sendSignal(name, 'SIGSTOP')
  }

  /** Resumes a suspended process. */
  resumeProcess (name: string): void {
    this.launcher.sendSignal(name, 'SIGCONT')
    this.#log.record(name, 'resumed')
  }

  /**
   * Stops an entry instance gracefully: marks it leaving, sends SIGTERM and waits for its end.
   *
   * @returns the exit code, or null when it did not end in time and was killed
   */
  async stopEntry (name: string): Promise<number | null> {
    this.#log.record(name, 'stop-begun')
    await this.markLeaving(name)
    this.launcher.sendSignal(name, 'SIGTERM')
    const { code } = await this.launcher.waitForEnd(name, plannedStopMs)
    this.#log.recordStop(name, code)
    await this.removeFromList(name)
    return code
  }

  /** Sets faults of the platform; those that are not given stay as they are. */
  async setPlatformFaults (faults: Partial<PlatformFaults>): Promise<void> {
    await this.#putPlatform('/faults', faults)
  }

  /**
   * Sets faults of a target; those that are not given stay as they are.
   *
   * @throws Error when no such target is listed
   */
  async setTargetFaults (id: string, faults: Partial<TargetFaults>): Promise<void> {
    const { adminAddress } = this.#members.getTarget(id)
    await callHttpOrThrow(adminAddress, '/faults', { method: 'PUT', body: faults })
  }

  /** Lists the names of the links that a predicate selects. */
  listLinks (select: (name: string) => boolean): readonly string[] {
    return this.#network.listLinks(select)
  }

  /**
   * Lists the links for connections that one domain opens to another.
   */
  listLinksBetween (from: string, to: string): readonly string[] {
    return this.listLinks(name => name.startsWith(`peer:${to}.`) && name.endsWith(`@${from}`))
  }

  /** Changes some links. */
  async setLinks (names: readonly string[], change: LinkChange): Promise<void> {
    await this.#network.setLinks(names, change)
  }

  /**
   * Reads the records of the platform and of all targets that were ever started.
   */
  readRecords (): readonly RawRecord[] {
    const targetIds = Array.from({ length: this.#targetNumber }, (_, i) => i + 1)
      .flatMap(number => this.spec.domains.map(({ name }) => `${name}-t${number}`))
    return readRecordFiles(this.launcher.folder, ['platform', ...targetIds])
  }

  /**
   * Ends all processes.
   *
   * @param keepFolder - keeps settings, logs and records
   */
  async close (keepFolder = false): Promise<void> {
    await this.launcher.close(keepFolder)
  }

  async #publishList (): Promise<void> {
    await this.#putPlatform('/views', this.#network.buildViews())
    await this.#putPlatform('/list', this.#members.describeAll())
  }

  async #putPlatform (path: string, body: object): Promise<void> {
    await callHttpOrThrow(this.#platform!.addresses['admin']!, path, { method: 'PUT', body })
  }
}

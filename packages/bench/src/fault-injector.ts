import { type LinkMode, type PlatformFaults } from '@sesamereel/stand-ins'
import { type Cluster } from './cluster.js'
import { type FaultRecord } from './history-records.js'

/** Direction in which a partition loses traffic: `forward` is from the first side to the second. */
export type CutDirection = 'both' | 'forward' | 'backward'

/** A fault that lasts until it is ended. Ending it again has no effect. */
export interface ActiveFault {
  readonly kind: string
  readonly end: () => Promise<void>
}

/** Which published data a fault hides from instances; extends the bounds of I6 and I8. */
interface FaultEffects {
  readonly hidesList: boolean
  readonly hidesConfiguration: boolean
}

const harmless: FaultEffects = { hidesList: false, hidesConfiguration: false }

/** Modes of the links whose connections the first side opens. */
const cutModes: Readonly<Record<CutDirection, LinkMode>> = { both: 'cut', forward: 'cut-to-server', backward: 'cut-to-client' }

/** Modes of the links whose connections the second side opens. */
const reverseModes: Readonly<Record<CutDirection, LinkMode>> = { both: 'cut', forward: 'cut-to-client', backward: 'cut-to-server' }

/** Time in milliseconds within which instances detect unresponsive connections and open new ones. */
const silenceDetectionMs = 5_000

const healthyPlatform: PlatformFaults = {
  down: 'off', slowMs: 0, parts: ['tables', 'objects', 'instances'], loseReplies: false, listLagMs: 0, staleReadMs: 0
}

/** Causes faults in a cluster and records when each began and ended. */
export class FaultInjector {
  readonly #cluster: Cluster
  readonly #records: Array<{ -readonly [K in keyof FaultRecord]: FaultRecord[K] }> = []

  constructor (cluster: Cluster) {
    this.#cluster = cluster
  }

  /** All faults so far; the end of one that still lasts is Infinity. */
  get records (): readonly FaultRecord[] { return this.#records }

  /**
   * Partitions two domains from each other.
   *
   * @param direction - `forward` loses only what the first domain sends to the second
   * @returns the fault; ending it opens the links
   */
  async cutDomains (first: string, second: string, direction: CutDirection): Promise<ActiveFault> {
    const opened = this.#cluster.listLinksBetween(first, second)
    const reverse = this.#cluster.listLinksBetween(second, first)
    await this.#cluster.setLinks(opened, { mode: cutModes[direction] })
    await this.#cluster.setLinks(reverse, { mode: reverseModes[direction] })
    return this.#begin(`cut-domains-${direction}`, { hidesList: false, hidesConfiguration: true }, async () => {
      await this.#cluster.setLinks([...opened, ...reverse], { mode: 'open' })
    })
  }

  /**
   * Partitions a domain from the platform.
   *
   * @param direction - `forward` loses only what the domain sends to the platform
   * @returns the fault; ending it opens the link
   */
  async cutPlatform (domain: string, direction: CutDirection): Promise<ActiveFault> {
    const links = [`platform@${domain}`]
    await this.#cluster.setLinks(links, { mode: cutModes[direction] })
    return this.#begin(`cut-platform-${direction}`, { hidesList: true, hidesConfiguration: true }, async () => {
      await this.#cluster.setLinks(links, { mode: 'open' })
    })
  }

  /**
   * Makes the existing connections of some links permanently unresponsive; new ones work.
   *
   * @param select - chooses links by name
   */
  async silenceLinks (select: (name: string) => boolean): Promise<void> {
    await this.#cluster.setLinks(this.#cluster.listLinks(select), { silence: true })
    // Lists and heartbeats on these connections are lost until the silence is detected.
    const now = Date.now()
    this.#records.push({ kind: 'silent-connections', from: now, to: now + silenceDetectionMs, hidesList: true, hidesConfiguration: true })
  }

  /**
   * Causes faults of the platform.
   *
   * @param kind - name of the fault in the history
   * @returns the fault; ending it ends all faults of the platform
   */
  async disturbPlatform (kind: string, faults: Partial<PlatformFaults>): Promise<ActiveFault> {
    await this.#cluster.setPlatformFaults(faults)
    const hides = faults.down !== undefined || faults.slowMs !== undefined || faults.loseReplies !== undefined || faults.staleReadMs !== undefined
    return this.#begin(kind, { hidesList: hides, hidesConfiguration: hides }, async () => {
      await this.#cluster.setPlatformFaults(healthyPlatform)
    })
  }

  /**
   * Suspends a whole process.
   *
   * @returns the fault; ending it resumes the process
   */
  pauseProcess (name: string): ActiveFault {
    this.#cluster.pauseProcess(name)
    return this.#begin('pause', { hidesList: false, hidesConfiguration: true }, async () => { this.#cluster.resumeProcess(name) })
  }

  /**
   * Makes a target fail every task, run slowly or reply late.
   *
   * @param kind - name of the fault in the history
   * @returns the fault; ending it restores the target if that still runs
   */
  async disturbTarget (kind: string, id: string, faults: { failAll?: boolean, speed?: number, replyDelayMs?: number }): Promise<ActiveFault> {
    const target = this.#cluster.targets.find(candidate => candidate.id === id)
    await this.#cluster.setTargetFaults(id, faults)
    return this.#begin(kind, harmless, async () => {
      const isRunning = this.#cluster.targets.some(candidate => candidate.id === id) && this.#cluster.launcher.has(id)
      if (isRunning) await this.#cluster.setTargetFaults(id, { failAll: false, speed: target?.spec.speed ?? 1, replyDelayMs: 0 })
    })
  }

  /**
   * Records a fault without a duration, such as a kill.
   */
  note (kind: string): void {
    const now = Date.now()
    this.#records.push({ kind, from: now, to: now, ...harmless })
  }

  #begin (kind: string, effects: FaultEffects, end: () => Promise<void>): ActiveFault {
    const record = { kind, from: Date.now(), to: Infinity, ...effects }
    this.#records.push(record)
    return {
      kind,
      end: async () => {
        if (record.to !== Infinity) return
        await end()
        record.to = Date.now()
      }
    }
  }
}

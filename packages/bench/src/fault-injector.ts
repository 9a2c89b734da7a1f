import { type LinkMode, type PlatformFaults } from '@sesamereel/stand-ins'
import { type Cluster } from './cluster.js'
import { type FaultRecord } from './history-records.js'

/** Direction of a cut: `both`, or only what the first side sends to the second or the reverse. */
export type CutDirection = 'both' | 'forward' | 'backward'

/** A fault that lasts until it is ended. */
export interface ActiveFault {
  readonly kind: string
  readonly end: () => Promise<void>
}

interface FaultEffects {
  readonly hidesList: boolean
  readonly hidesConfiguration: boolean
}

const harmless: FaultEffects = { hidesList: false, hidesConfiguration: false }

const cutModes: Readonly<Record<CutDirection, LinkMode>> = { both: 'cut', forward: 'cut-to-server', backward: 'cut-to-client' }

const reverseModes: Readonly<Record<CutDirection, LinkMode>> = { both: 'cut', forward: 'cut-to-client', backward: 'cut-to-server' }

/** Causes faults in a cluster and records when each began and ended. */
export class FaultInjector {
  readonly #cluster: Cluster
  readonly #records: Array<{ -readonly [K in keyof FaultRecord]: FaultRecord[K] }> = []

  constructor (cluster: Cluster) {
    this.#cluster = cluster
  }

  /** All faults so far; one that still lasts has no end. */
  get records (): readonly FaultRecord[] { return this.#records }

  /**
   * Cuts the network between two domains.
   *
   * @param direction - `forward` loses only what the first domain sends to the second
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
   * Cuts a domain off from the platform.
   */
  async cutPlatform (domain: string, direction: CutDirection): Promise<ActiveFault> {
    const links = [`platform@${domain}`]
    await this.#cluster.setLinks(links, { mode: cutModes[direction] })
    return this.#begin(`cut-platform-${direction}`, { hidesList: true, hidesConfiguration: true }, async () => {
      await this.#cluster.setLinks(links, { mode: 'open' })
    })
  }

  /**
   * Makes the present connections of some links silent for good; new ones work.
   *
   * @param select - chooses links by name
   */
  async silenceLinks (select: (name: string) => boolean): Promise<void> {
    await this.#cluster.setLinks(this.#cluster.listLinks(select), { silence: true })
    // Until the silence is noticed, lists and heartbeats on these connections are lost.
    const now = Date.now()
    this.#records.push({ kind: 'silent-connections', from: now, to: now + 5_000, hidesList: true, hidesConfiguration: true })
  }

  /**
   * Sets faults of the platform; ending them restores the healthy state.
   */
  async disturbPlatform (kind: string, faults: Partial<PlatformFaults>): Promise<ActiveFault> {
    await this.#cluster.setPlatformFaults(faults)
    const hides = faults.down !== undefined || faults.slowMs !== undefined || faults.loseReplies !== undefined || faults.staleReadMs !== undefined
    return this.#begin(kind, { hidesList: hides, hidesConfiguration: hides }, async () => {
      await this.#cluster.setPlatformFaults({ down: 'off', slowMs: 0, parts: ['tables', 'objects', 'instances'], loseReplies: false, listLagMs: 0, staleReadMs: 0 })
    })
  }

  /**
   * Pauses a process as a whole; ending the fault resumes it.
   */
  pauseProcess (name: string): ActiveFault {
    this.#cluster.pauseProcess(name)
    return this.#begin('pause', { hidesList: false, hidesConfiguration: true }, async () => { this.#cluster.resumeProcess(name) })
  }

  /**
   * Makes a target fail everything, or run slowly.
   */
  async disturbTarget (kind: string, id: string, faults: { failAll?: boolean, speed?: number, replyDelayMs?: number }): Promise<ActiveFault> {
    const target = this.#cluster.targets.find(candidate => candidate.id === id)
    await this.#cluster.setTargetFaults(id, faults)
    return this.#begin(kind, harmless, async () => {
      const isThere = this.#cluster.targets.some(candidate => candidate.id === id) && this.#cluster.launcher.has(id)
      if (isThere) await this.#cluster.setTargetFaults(id, { failAll: false, speed: target?.spec.speed ?? 1, replyDelayMs: 0 })
    })
  }

  /**
   * Notes a fault that happens at one moment.
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

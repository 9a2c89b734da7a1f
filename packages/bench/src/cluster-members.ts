import { type InstanceDescription, type TargetDescription } from '@sesamereel/state'
import { type EntryProcess, type TargetProcess } from './cluster-model.js'

const defaultConnections = 60

/** The entry instances and targets of a cluster that the platform's instance list shows. */
export class ClusterMembers {
  readonly #entries = new Map<string, EntryProcess>()
  readonly #targets = new Map<string, TargetProcess>()
  readonly #leaving = new Set<string>()

  /** Entry instances in the order of their starts. */
  get entries (): readonly EntryProcess[] { return [...this.#entries.values()] }

  /** Targets in the order of their starts. */
  get targets (): readonly TargetProcess[] { return [...this.#targets.values()] }

  /** Names of all processes that were ever marked leaving. */
  get leaving (): ReadonlySet<string> { return this.#leaving }

  /**
   * Finds the newest entry instance in a seat.
   *
   * @param seat - `DOMAIN.SEAT`
   */
  findEntry (seat: string): EntryProcess | undefined {
    return this.entries.findLast(({ domain, seat: index }) => `${domain}.${index}` === seat)
  }

  /**
   * Finds a target.
   *
   * @throws Error when no such target is listed
   */
  getTarget (id: string): TargetProcess {
    const target = this.#targets.get(id)
    if (target === undefined) throw new Error(`no target ${JSON.stringify(id)}`)
    return target
  }

  /** Adds an entry instance in place of the previous one in its seat. */
  addEntry (entry: EntryProcess): void {
    for (const { name, domain, seat } of this.entries) {
      if (domain === entry.domain && seat === entry.seat) this.#entries.delete(name)
    }
    this.#entries.set(entry.name, entry)
  }

  /** Adds a target. */
  addTarget (target: TargetProcess): void {
    this.#targets.set(target.id, target)
  }

  /** Removes a process. */
  remove (name: string): void {
    this.#entries.delete(name)
    this.#targets.delete(name)
  }

  /** Marks a process as leaving for good. */
  markLeaving (name: string): void {
    this.#leaving.add(name)
  }

  /** Describes all members as the platform lists them. */
  describeAll (): { readonly instances: readonly InstanceDescription[], readonly targets: readonly TargetDescription[] } {
    return {
      instances: this.entries.map(({ name, domain, seat, callerAddress, peerAddress }) => ({
        domain, seat, callerAddress, peerAddress, state: this.#readState(name)
      })),
      targets: this.targets.map(({ id, domain, apiAddress, spec }) => ({
        id, address: apiAddress, domain, state: this.#readState(id), slots: spec.slots, connections: spec.connections ?? defaultConnections, capacity: spec.capacity!
      }))
    }
  }

  #readState (name: string): 'leaving' | 'live' {
    return this.#leaving.has(name) ? 'leaving' : 'live'
  }
}

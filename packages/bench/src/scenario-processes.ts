import { type Destination } from './caller-session.js'
import { type Cluster } from './cluster.js'
import { type EntryProcess } from './cluster-model.js'

const ownerPrefix = 'owner:'

/** Finds the processes that the steps of a scenario name. */
export class ScenarioProcesses {
  readonly #cluster: Cluster
  readonly #findFirstKey: (group: string) => string | undefined
  #nextDestination = 0

  /**
   * @param cluster - system under test
   * @param findFirstKey - finds the first key that was issued for a group of jobs
   */
  constructor (cluster: Cluster, findFirstKey: (group: string) => string | undefined) {
    this.#cluster = cluster
    this.#findFirstKey = findFirstKey
  }

  /**
   * Resolves `owner:GROUP` to the seat that issued the first key of the group.
   *
   * @param name - `DOMAIN.SEAT` or `owner:GROUP`
   * @returns the seat as `DOMAIN.SEAT`
   * @throws Error when no key was issued for the group
   */
  resolveSeat (name: string): string {
    if (!name.startsWith(ownerPrefix)) return name
    const key = this.#findFirstKey(name.slice(ownerPrefix.length))
    if (key === undefined) throw new Error(`no key was issued for ${name}`)
    return key.split('.').slice(0, 2).join('.')
  }

  /**
   * Finds the newest instance in a seat, whether it runs or not.
   *
   * @param seat - `DOMAIN.SEAT` or `owner:GROUP`
   * @throws Error when the seat has no instance
   */
  findEntry (seat: string): EntryProcess {
    const entry = this.#cluster.findEntry(this.resolveSeat(seat))
    if (entry === undefined) throw new Error(`no entry instance is in seat ${JSON.stringify(seat)}`)
    return entry
  }

  /**
   * Finds the name of a process.
   *
   * @param name - a seat, which contains a dot or a colon, or the id of a target
   */
  findProcess (name: string): string {
    return /[.:]/.test(name) ? this.findEntry(name).name : name
  }

  /**
   * Takes the next of the given seats in turn, skipping seats without an instance. The turn is
   * shared by all callers.
   *
   * @returns the instance, which may have ended; undefined when no seat has one
   */
  takeDestination (via: readonly string[]): Destination | undefined {
    const entries = via.map(seat => this.#cluster.findEntry(this.resolveSeat(seat))).filter(entry => entry !== undefined)
    return entries[this.#nextDestination++ % Math.max(1, entries.length)]
  }

  /** Lists the seats that have an instance as `DOMAIN.SEAT`. */
  listSeats (): readonly string[] {
    return this.#cluster.entries.map(({ domain, seat }) => `${domain}.${seat}`)
  }
}

import { type Clock } from '@sesamereel/coordination'
import { type OwnerConnection, type OwnerRegistry } from './owner-registry.js'

/** Time in milliseconds since the witness that was heard of last within which another one counts as reachable; a few heartbeats. */
const reachableMs = 250

/** Time in milliseconds for which a list of candidates is used. */
const listLifetimeMs = 50

/**
 * Chooses witnesses of start orders among the connected owners: reachable ones, and those of other failure domains before those of the
 * dispatcher's own. They take turns, so that each has a part of the announcements.
 */
export class WitnessChoice {
  readonly #owners: OwnerRegistry
  readonly #domain: string
  readonly #clock: Pick<Clock, 'now'>
  /** Candidates, the preferred ones first. */
  #candidates: ReadonlyArray<readonly OwnerConnection[]> = []
  #listedAt = -Infinity
  #turn = 0

  /** @param domain - failure domain of the dispatcher */
  constructor (owners: OwnerRegistry, domain: string, clock: Pick<Clock, 'now'>) {
    this.#owners = owners
    this.#domain = domain
    this.#clock = clock
  }

  /**
   * @param isAllowed - whether a connection may be chosen
   * @returns undefined if there is none
   */
  choose (isAllowed: (connection: OwnerConnection) => boolean): OwnerConnection | undefined {
    const now = this.#clock.now()
    if (now - this.#listedAt > listLifetimeMs || this.#candidates.every(candidates => candidates.length === 0)) this.#listCandidates(now)
    this.#turn++
    for (const candidates of this.#candidates) {
      for (let offset = 0; offset < candidates.length; offset++) {
        const candidate = candidates[(this.#turn + offset) % candidates.length]!
        if (this.#owners.isOpen(candidate) && isAllowed(candidate)) return candidate
      }
    }
    return undefined
  }

  #listCandidates (now: number): void {
    const witnesses = this.#owners.listWitnesses()
    const latest = witnesses.reduce((newest, connection) => Math.max(newest, this.#owners.getConfirmedAt(connection)), -Infinity)
    const reachable = witnesses.filter(connection => this.#owners.getConfirmedAt(connection) >= latest - reachableMs)
    const isDistant = ({ homeDomain }: OwnerConnection): boolean => homeDomain !== undefined && homeDomain !== this.#domain
    this.#candidates = [reachable.filter(isDistant), reachable.filter(connection => !isDistant(connection))]
    this.#listedAt = now
  }
}

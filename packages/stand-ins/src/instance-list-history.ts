import { type InstanceList } from '@sesamereel/state'
import { type AddressViews } from './platform-settings.js'
import { type RecordLog } from './record-log.js'

interface ListVersion {
  readonly setAt: number
  readonly list: InstanceList
  /** Wall-clock time in milliseconds at which this version was first served. */
  servedAt?: number
}

/** Keeps all versions of the instance list, so that an earlier one can be served. */
export class InstanceListHistory {
  readonly #records: RecordLog
  readonly #versions: [ListVersion, ...ListVersion[]]

  /**
   * @param list - the first version, as old as any lag
   * @param records - receives `list-set` and, when a version is first served, `list-served`
   */
  constructor (list: InstanceList, records: RecordLog) {
    this.#versions = [{ setAt: 0, list }]
    this.#records = records
  }

  /** The newest version. */
  get newest (): InstanceList { return this.#versions.at(-1)!.list }

  /**
   * Adds a version.
   *
   * @param list - the new list
   */
  add (list: InstanceList): void {
    this.#versions.push({ setAt: Date.now(), list })
    this.#records.append({ kind: 'list-set', leaving: listLeaving(list) })
  }

  /**
   * Takes the version that is visible under a lag and records when it is first served.
   *
   * @param lagMs - age in milliseconds of the version
   */
  serve (lagMs: number): InstanceList {
    const now = Date.now()
    const version = this.#versions.findLast(({ setAt }) => setAt <= now - lagMs) ?? this.#versions[0]
    if (version.servedAt === undefined) {
      version.servedAt = now
      this.#records.append({ kind: 'list-served', visibleAt: version.setAt + lagMs, leaving: listLeaving(version.list), targets: version.list.targets.map(({ id }) => id) })
    }
    return version.list
  }
}

/**
 * Selects what one domain sees of an instance list: all instances and its own targets, at the
 * addresses of its view.
 *
 * @param list - the whole list
 * @param domain - the domain that asks; the whole list with real addresses when absent
 * @param views - addresses that each domain sees
 */
export function selectListForDomain (list: InstanceList, domain: string | undefined, views: AddressViews): InstanceList {
  const view = (domain === undefined ? undefined : views[domain]) ?? {}
  const convert = (address: string): string => view[address] ?? address
  return {
    instances: list.instances.map(instance => ({ ...instance, peerAddress: convert(instance.peerAddress), callerAddress: convert(instance.callerAddress) })),
    targets: list.targets.filter(target => domain === undefined || target.domain === domain).map(target => ({ ...target, address: convert(target.address) }))
  }
}

function listLeaving (list: InstanceList): readonly string[] {
  return list.targets.filter(({ state }) => state === 'leaving').map(({ id }) => id)
}

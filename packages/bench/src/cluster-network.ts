import { type LinkMode } from '@sesamereel/stand-ins'
import { reserveAddresses } from './address-reservation.js'
import { type TargetProcess } from './cluster-model.js'
import { callHttpOrThrow } from './http-call.js'
import { type ProcessLauncher } from './launcher.js'
import { buildRecordPath } from './record-files.js'

/** Changes to a link; `silence` makes the existing connections unresponsive. */
export interface LinkChange {
  readonly mode?: LinkMode
  readonly delayMs?: number
  readonly silence?: boolean
}

interface LinkSpec {
  readonly name: string
  /** Address that the link forwards to. */
  readonly connect: string
  readonly delayMs: number
}

/**
 * The network of a cluster: a stand-in whose links can be cut, delayed and silenced. Links are named
 * `platform@DOMAIN`, `peer:INSTANCE@DOMAIN` and `target:ID`.
 */
export class ClusterNetwork {
  readonly #launcher: ProcessLauncher
  readonly #domains: readonly string[]
  readonly #delayMs: number
  /** Address of each link by its name. */
  readonly #linkAddresses = new Map<string, string>()
  /** For each domain, the name of the link that leads to a real address. */
  readonly #linksByDomain: ReadonlyMap<string, Map<string, string>>
  #adminAddress = ''

  /**
   * @param launcher - starts the stand-in
   * @param domains - names of the failure domains
   * @param delayMs - one-way delay between domains
   */
  constructor (launcher: ProcessLauncher, domains: readonly string[], delayMs: number) {
    this.#launcher = launcher
    this.#domains = domains
    this.#delayMs = delayMs
    this.#linksByDomain = new Map(domains.map(name => [name, new Map<string, string>()]))
  }

  /**
   * Starts the stand-in and links each domain to the platform.
   */
  async start (platformAddress: string): Promise<void> {
    const { addresses } = await this.#launcher.startStandIn('network', 'network', { recordFile: buildRecordPath(this.#launcher.folder, 'network') })
    this.#adminAddress = addresses['admin']!
    await this.#addLinks(this.#domains.map(name => ({ name: `platform@${name}`, connect: platformAddress, delayMs: 0 })))
  }

  /** Returns the address at which a domain reaches the platform. */
  getPlatformAddress (domain: string): string {
    return this.#linkAddresses.get(`platform@${domain}`)!
  }

  /** Links each domain to an entry instance. */
  async connectEntry (name: string, domain: string, peerAddress: string): Promise<void> {
    await this.#addLinks(this.#domains.map(from => ({
      name: `peer:${name}@${from}`, connect: peerAddress, delayMs: from === domain ? 0 : this.#delayMs
    })))
    for (const [from, links] of this.#linksByDomain) links.set(peerAddress, `peer:${name}@${from}`)
  }

  /** Links all domains to a target. */
  async connectTarget ({ id, apiAddress }: TargetProcess): Promise<void> {
    await this.#addLinks([{ name: `target:${id}`, connect: apiAddress, delayMs: 0 }])
    for (const links of this.#linksByDomain.values()) links.set(apiAddress, `target:${id}`)
  }

  /**
   * Builds the views of the instance list: for each domain, the link address that stands for each real address.
   */
  buildViews (): Readonly<Record<string, Readonly<Record<string, string | undefined>>>> {
    return Object.fromEntries([...this.#linksByDomain].map(([domain, links]) => [
      domain, Object.fromEntries([...links].map(([address, link]) => [address, this.#linkAddresses.get(link)]))
    ]))
  }

  /** Lists the names of the links that a predicate selects. */
  listLinks (select: (name: string) => boolean): readonly string[] {
    return [...this.#linkAddresses.keys()].filter(select)
  }

  /** Changes some links. */
  async setLinks (names: readonly string[], change: LinkChange): Promise<void> {
    if (names.length > 0) await callHttpOrThrow(this.#adminAddress, '/links', { method: 'PUT', body: { names, ...change } })
  }

  async #addLinks (links: readonly LinkSpec[]): Promise<void> {
    const addresses = await reserveAddresses(links.length)
    const body = links.map((link, index) => ({ ...link, listen: addresses[index] }))
    const added = await callHttpOrThrow(this.#adminAddress, '/links', { method: 'POST', body }) as Record<string, string>
    for (const [name, address] of Object.entries(added)) this.#linkAddresses.set(name, address)
  }
}

import Router from '@koa/router'
import { z } from 'zod'
import { formatAddress } from './addresses.js'
import { addRecordsRoute, closeServer, type RunningStandIn, serveRoutes } from './http-server.js'
import { type LinkSettings, NetworkLink } from './network-link.js'
import { type LinkChange, linkChangeSchema, linkSettingsSchema, type NetworkSettings, networkSettingsSchema } from './network-settings.js'
import { RecordLog } from './record-log.js'
import { readJson } from './request-body.js'

/** The links of a network by name. */
class LinkTable {
  readonly #links = new Map<string, NetworkLink>()

  get links (): readonly NetworkLink[] { return [...this.#links.values()] }

  find (name: string): NetworkLink | undefined { return this.#links.get(name) }

  /** Starts links one after the other and returns their addresses by name. */
  async add (added: readonly LinkSettings[]): Promise<Readonly<Record<string, string>>> {
    const addresses: Record<string, string> = {}
    for (const settings of added) addresses[settings.name] = await this.#addLink(settings)
    return addresses
  }

  async close (): Promise<void> {
    await Promise.all(this.links.map(async link => { await link.close() }))
  }

  async #addLink (settings: LinkSettings): Promise<string> {
    if (this.#links.has(settings.name)) throw new Error(`a link named ${JSON.stringify(settings.name)} exists already`)
    const link = new NetworkLink(settings)
    this.#links.set(settings.name, link)
    return await link.listen(settings.listen)
  }
}

function applyChange (link: NetworkLink, { delayMs, mode, silence }: LinkChange): void {
  if (delayMs !== undefined) link.setDelay(delayMs)
  if (silence) link.setSilent()
  if (mode !== undefined) link.setMode(mode)
}

function createAdmin (links: LinkTable, records: RecordLog): Router {
  const admin = new Router()
  addRecordsRoute(admin, records)
  admin.get('/links', ctx => {
    ctx.body = links.links.map(link => ({ name: link.name, address: link.address, mode: link.mode, connections: link.countConnections() }))
  })
  admin.post('/links', async ctx => {
    ctx.body = await links.add(z.array(linkSettingsSchema).parse(await readJson(ctx.req)))
  })
  admin.put('/links', async ctx => {
    const change = linkChangeSchema.parse(await readJson(ctx.req))
    for (const name of change.names) {
      const link = links.find(name)
      if (link === undefined) ctx.throw(404, `there is no link ${JSON.stringify(name)}`)
      else applyChange(link, change)
    }
    records.append({ kind: 'links', ...change })
    ctx.body = {}
  })
  return admin
}

/**
 * Starts a network: any number of links, with switches and records on an admin address.
 *
 * @param input - settings; absent ones get their defaults
 * @returns the running network with the address `admin`, and one address for each link of the settings under its name
 * @throws an error for invalid settings
 */
export async function startNetwork (input: NetworkSettings): Promise<RunningStandIn> {
  const settings = networkSettingsSchema.parse(input)
  const records = new RecordLog(settings.recordFile)
  const links = new LinkTable()
  const addresses = await links.add(settings.links)
  const adminServer = await serveRoutes(createAdmin(links, records), settings.adminAddress)
  return {
    addresses: { ...addresses, admin: formatAddress(adminServer.address()) },
    close: async () => {
      await Promise.all([closeServer(adminServer), links.close()])
      records.close()
    }
  }
}

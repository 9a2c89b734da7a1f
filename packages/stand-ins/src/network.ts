import Router from '@koa/router'
import { z } from 'zod'
import { addressSchema } from '@sesamereel/protocol'
import { closeServer, formatAddress, readJson, type RunningStandIn, serveRoutes } from './http-server.js'
import { NetworkLink } from './network-link.js'
import { RecordLog } from './record-log.js'

const linkSettingsSchema = z.strictObject({
  name: z.string(),
  listen: addressSchema.default('127.0.0.1:0'),
  connect: addressSchema,
  delayMs: z.number().min(0).default(0)
})

export const networkSettingsSchema = z.strictObject({
  adminAddress: addressSchema.default('127.0.0.1:0'),
  links: z.array(linkSettingsSchema).default([]),
  recordFile: z.string().optional()
})

export type NetworkSettings = z.input<typeof networkSettingsSchema>

/** Body of `PUT /links`: what to change at the named links. */
export const linkChangeSchema = z.strictObject({
  names: z.array(z.string()),
  mode: z.enum(['open', 'cut', 'cut-to-server', 'cut-to-client', 'refuse']).optional(),
  delayMs: z.number().min(0).optional(),
  /** Existing connections go silent for good. */
  silence: z.boolean().default(false)
})

/**
 * Starts a network: any number of links, with switches and records on an admin address.
 *
 * @returns address `admin`, and one address for each link of the settings under its name
 */
export async function startNetwork (input: NetworkSettings): Promise<RunningStandIn> {
  const settings = networkSettingsSchema.parse(input)
  const records = new RecordLog(settings.recordFile)
  const links = new Map<string, NetworkLink>()

  const addLink = async (link: z.output<typeof linkSettingsSchema>): Promise<string> => {
    if (links.has(link.name)) throw new Error(`a link named ${JSON.stringify(link.name)} exists already`)
    const started = new NetworkLink(link)
    links.set(link.name, started)
    return await started.listen(link.listen)
  }

  const admin = new Router()
  admin.get('/records', ctx => { ctx.type = 'application/x-ndjson'; ctx.body = records.render() })
  admin.get('/links', ctx => {
    ctx.body = [...links.values()].map(link => ({ name: link.name, address: link.address, mode: link.mode, connections: link.countConnections() }))
  })
  admin.post('/links', async ctx => {
    const added = z.array(linkSettingsSchema).parse(await readJson(ctx.req))
    const addresses: Record<string, string> = {}
    for (const link of added) addresses[link.name] = await addLink(link)
    ctx.body = addresses
  })
  admin.put('/links', async ctx => {
    const change = linkChangeSchema.parse(await readJson(ctx.req))
    for (const name of change.names) {
      const link = links.get(name)
      if (link === undefined) ctx.throw(404, `there is no link ${JSON.stringify(name)}`)
      else {
        if (change.delayMs !== undefined) link.setDelay(change.delayMs)
        if (change.silence) link.setSilent()
        if (change.mode !== undefined) link.setMode(change.mode)
      }
    }
    records.append({ kind: 'links', ...change })
    ctx.body = {}
  })

  const addresses: Record<string, string> = {}
  for (const link of settings.links) addresses[link.name] = await addLink(link)
  const adminServer = await serveRoutes(admin, settings.adminAddress)
  return {
    addresses: { ...addresses, admin: formatAddress(adminServer.address()) },
    close: async () => {
      await Promise.all([closeServer(adminServer), ...[...links.values()].map(link => link.close())])
      records.close()
    }
  }
}

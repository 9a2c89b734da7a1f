import { createHash } from 'node:crypto'
import Router from '@koa/router'
import { type Context, type Next } from 'koa'
import { z } from 'zod'
import { addressSchema, instanceListSchema, readRowsRequestSchema, rowKeySchema, transactRequestSchema } from '@sesamereel/protocol'
import { type InstanceList } from '@sesamereel/state'
import { closeServer, formatAddress, readBody, readJson, type RunningStandIn, serveRoutes } from './http-server.js'
import { RecordLog } from './record-log.js'
import { RowStore } from './row-store.js'

export const platformSettingsSchema = z.strictObject({
  address: addressSchema.default('127.0.0.1:0'),
  adminAddress: addressSchema.default('127.0.0.1:0'),
  /** Time in milliseconds that a synced write takes. */
  writeMs: z.number().min(0).default(3),
  /** Writes that the table service and the object store take in a second; more wait their turn. */
  writesPerSecond: z.number().positive().default(400),
  /** Reads that they answer in a second; more wait their turn. */
  readsPerSecond: z.number().positive().default(2_000),
  list: instanceListSchema.default({ instances: [], targets: [] }),
  rows: z.array(rowKeySchema.extend({ value: z.unknown() })).default([]),
  recordFile: z.string().optional()
})

export type PlatformSettings = z.input<typeof platformSettingsSchema>

const partSchema = z.enum(['tables', 'objects', 'instances'])

type Part = z.output<typeof partSchema>

export const platformFaultsSchema = z.strictObject({
  /** `refuse` closes the connection, `error` answers 503, `hang` never answers. */
  down: z.enum(['off', 'refuse', 'error', 'hang']),
  /** Each request waits for this time in milliseconds first. */
  slowMs: z.number().min(0),
  /** Parts that `down` and `slowMs` concern. */
  parts: z.array(partSchema),
  /** Writes take effect but their replies are lost. */
  loseReplies: z.boolean(),
  /** The instance list is as old as this many milliseconds. */
  listLagMs: z.number().min(0),
  /** Reads of rows are as old as this many milliseconds; checks of transactions never are. */
  staleReadMs: z.number().min(0)
}).partial()

export type PlatformFaults = Required<z.output<typeof platformFaultsSchema>>

/**
 * What the instances of each domain see in place of a real address: the address of a network link.
 * The first key is the domain that asks, the second the real address.
 */
const viewsSchema = z.record(z.string(), z.record(z.string(), z.string()))

interface ListVersion {
  readonly setAt: number
  readonly list: InstanceList
  /** Moment at which this version was first served. */
  servedAt?: number
}

/** Gives requests their turn when they come faster than a service takes them. */
class Pace {
  readonly #gapMs: number
  #freeAt = 0

  constructor (perSecond: number) { this.#gapMs = 1_000 / perSecond }

  async wait (extraMs: number): Promise<void> {
    const now = performance.now()
    const turn = Math.max(now, this.#freeAt)
    this.#freeAt = turn + this.#gapMs
    const delay = turn - now + extraMs
    if (delay >= 1) await new Promise(resolve => setTimeout(resolve, delay))
  }
}

/**
 * Starts a platform: table service, object store and instance list on one address, switches and
 * records on another.
 *
 * @returns addresses `api` and `admin`
 */
export async function startPlatform (input: PlatformSettings): Promise<RunningStandIn> {
  const settings = platformSettingsSchema.parse(input)
  const records = new RecordLog(settings.recordFile)
  const rows = new RowStore()
  if (settings.rows.length > 0) rows.transact({ attemptId: 'settings', checks: [], writes: settings.rows }, 0)
  const objects = new Map<string, Buffer>()
  const writes = new Pace(settings.writesPerSecond)
  const reads = new Pace(settings.readsPerSecond)
  const lists: ListVersion[] = [{ setAt: 0, list: settings.list }]
  let views: z.output<typeof viewsSchema> = {}
  let faults: PlatformFaults = { down: 'off', slowMs: 0, parts: ['tables', 'objects', 'instances'], loseReplies: false, listLagMs: 0, staleReadMs: 0 }
  const counts = { reads: 0, writes: 0, lists: 0 }

  const createFaultStep = (part: Part) => async (ctx: Context, next: Next): Promise<void> => {
    if (faults.parts.includes(part)) {
      if (faults.slowMs > 0) await new Promise(resolve => setTimeout(resolve, faults.slowMs))
      if (faults.down === 'refuse') {
        ctx.respond = false
        ctx.req.socket.destroy()
        return
      }
      if (faults.down === 'hang') {
        ctx.respond = false
        return
      }
      if (faults.down === 'error') {
        ctx.status = 503
        ctx.body = { error: 'the service is down' }
        return
      }
    }
    await next()
  }

  /** Answers a write that took effect, unless its reply is to be lost. */
  const respondToWrite = (ctx: Context, status: number, body: unknown): void => {
    if (faults.loseReplies) {
      ctx.respond = false
      ctx.req.socket.destroy()
    } else {
      ctx.status = status
      ctx.body = body
    }
  }

  const selectList = (): ListVersion => {
    const now = Date.now()
    const asOf = now - faults.listLagMs
    const version = lists.findLast(({ setAt }) => setAt <= asOf) ?? lists[0]!
    if (version.servedAt === undefined) {
      version.servedAt = now
      const leaving = version.list.targets.filter(({ state }) => state === 'leaving').map(({ id }) => id)
      records.append({ kind: 'list-served', visibleAt: version.setAt + faults.listLagMs, leaving, targets: version.list.targets.map(({ id }) => id) })
    }
    return version
  }

  const router = new Router()
  router.use('/tables', createFaultStep('tables'))
  router.use('/objects', createFaultStep('objects'))
  router.use('/instances', createFaultStep('instances'))
  router.post('/tables/transact', async ctx => {
    counts.writes++
    const request = transactRequestSchema.parse(await readJson(ctx.req))
    await writes.wait(settings.writeMs)
    const reply = rows.transact(request, Date.now())
    if (reply.committed) records.append({ kind: 'write', attemptId: request.attemptId, rows: reply.rows })
    respondToWrite(ctx, reply.committed ? 200 : 409, reply)
  })
  router.post('/tables/read', async ctx => {
    counts.reads++
    const request = readRowsRequestSchema.parse(await readJson(ctx.req))
    await reads.wait(0)
    const asOf = Date.now() - faults.staleReadMs
    ctx.body = { rows: request.rows.map(key => rows.read(key, faults.staleReadMs > 0 ? asOf : undefined)) }
  })
  router.get('/instances', async ctx => {
    counts.lists++
    await reads.wait(0)
    const domain = typeof ctx.query['domain'] === 'string' ? ctx.query['domain'] : undefined
    const { list } = selectList()
    const view = (domain === undefined ? undefined : views[domain]) ?? {}
    const translate = (address: string): string => view[address] ?? address
    const text = JSON.stringify({
      instances: list.instances.map(instance => ({ ...instance, peerAddress: translate(instance.peerAddress), callerAddress: translate(instance.callerAddress) })),
      targets: list.targets.filter(target => domain === undefined || target.domain === domain).map(target => ({ ...target, address: translate(target.address) }))
    })
    ctx.etag = createHash('sha256').update(text).digest('hex').slice(0, 20)
    ctx.status = 200
    if (ctx.fresh) {
      ctx.status = 304
      return
    }
    ctx.type = 'application/json'
    ctx.body = text
  })
  router.put('/objects/:name', async ctx => {
    counts.writes++
    const body = await readBody(ctx.req)
    await writes.wait(settings.writeMs)
    objects.set(ctx.params['name']!, body)
    records.append({ kind: 'object', name: ctx.params['name'], bytes: body.length })
    respondToWrite(ctx, 200, { stored: body.length })
  })
  router.get('/objects/:name', async ctx => {
    counts.reads++
    await reads.wait(0)
    const body = objects.get(ctx.params['name']!)
    ctx.status = body === undefined ? 404 : 200
    ctx.type = 'application/octet-stream'
    ctx.body = body ?? Buffer.alloc(0)
  })

  const admin = new Router()
  admin.get('/records', ctx => { ctx.type = 'application/x-ndjson'; ctx.body = records.render() })
  admin.get('/counts', ctx => { ctx.body = counts })
  admin.get('/list', ctx => { ctx.body = lists.at(-1)!.list })
  admin.put('/list', async ctx => {
    const list = instanceListSchema.parse(await readJson(ctx.req))
    lists.push({ setAt: Date.now(), list })
    records.append({ kind: 'list-set', leaving: list.targets.filter(({ state }) => state === 'leaving').map(({ id }) => id) })
    ctx.body = {}
  })
  admin.put('/views', async ctx => {
    views = viewsSchema.parse(await readJson(ctx.req))
    ctx.body = {}
  })
  admin.put('/faults', async ctx => {
    faults = { ...faults, ...platformFaultsSchema.parse(await readJson(ctx.req)) }
    records.append({ kind: 'faults', faults })
    ctx.body = faults
  })
  admin.post('/read', async ctx => {
    const request = readRowsRequestSchema.parse(await readJson(ctx.req))
    ctx.body = { rows: request.rows.map(key => rows.read(key)) }
  })

  const api = await serveRoutes(router, settings.address)
  const adminServer = await serveRoutes(admin, settings.adminAddress)
  return {
    addresses: { api: formatAddress(api.address()), admin: formatAddress(adminServer.address()) },
    close: async () => {
      await Promise.all([closeServer(api), closeServer(adminServer)])
      records.close()
    }
  }
}

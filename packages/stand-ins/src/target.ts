import Router from '@koa/router'
import { z } from 'zod'
import { addressSchema, cancellationsSchema, demandSchema, startTaskSchema, type TargetReply, type TaskEnd } from '@sesamereel/protocol'
import { closeServer, formatAddress, readJson, type RunningStandIn, serveRoutes } from './http-server.js'
import { RecordLog } from './record-log.js'
import { TargetMachine } from './target-machine.js'

export const targetSettingsSchema = z.strictObject({
  id: z.string(),
  address: addressSchema.default('127.0.0.1:0'),
  adminAddress: addressSchema.default('127.0.0.1:0'),
  slots: z.int().min(1).default(8),
  /** Connections beyond this number are dropped. */
  connections: z.int().min(1).default(60),
  capacity: demandSchema.default({ processors: 16_000, memoryMb: 30_000, accelerators: 0 }),
  /** The real run time of a task is its workMs divided by the speed. */
  speed: z.number().positive().default(1),
  /** File for the records; in memory when absent. */
  recordFile: z.string().optional()
})

export type TargetSettings = z.input<typeof targetSettingsSchema>

export const targetFaultsSchema = z.strictObject({
  failAll: z.boolean(),
  leaving: z.boolean(),
  lingering: z.boolean(),
  replyDelayMs: z.number().min(0),
  speed: z.number().positive()
}).partial()

/** Messages that a target received, by kind; `rejected` counts starts that a guard refused. */
type MessageCounts = Record<'started' | 'rejected' | 'queries' | 'deletes' | 'cancellations' | 'status', number>

/**
 * Starts a target: the target API on one address, switches and records on another.
 *
 * @returns addresses `api` and `admin`
 */
export async function startTarget (input: TargetSettings): Promise<RunningStandIn> {
  const settings = targetSettingsSchema.parse(input)
  const records = new RecordLog(settings.recordFile)
  const machine = new TargetMachine(settings, records)
  const counts: MessageCounts = { started: 0, rejected: 0, queries: 0, deletes: 0, cancellations: 0, status: 0 }

  const createReply = (): TargetReply => ({
    boot: machine.boot, clockMs: machine.advance(), freeSlots: machine.freeSlots, leaving: machine.leaving
  })

  const waitReplyDelay = async (): Promise<void> => {
    const { replyDelayMs } = machine.faults
    if (replyDelayMs > 0) await new Promise(resolve => setTimeout(resolve, replyDelayMs))
  }

  const router = new Router()
  router.get('/status', ctx => {
    counts.status++
    ctx.body = { ...createReply(), id: settings.id, slots: settings.slots, running: machine.listRunning() }
  })
  router.post('/tasks/:id', async ctx => {
    const request = startTaskSchema.parse(await readJson(ctx.req))
    let report: (end: TaskEnd) => void = () => {}
    const ended = new Promise<TaskEnd>(resolve => { report = resolve })
    const refused = machine.start(ctx.params['id']!, request, report)
    if (refused === undefined) {
      counts.started++
      const end = await ended
      await waitReplyDelay()
      ctx.body = { ...createReply(), end }
    } else {
      counts.rejected++
      await waitReplyDelay()
      ctx.status = 409
      ctx.body = { ...createReply(), refused }
    }
  })
  router.get('/tasks/:id', ctx => {
    counts.queries++
    ctx.body = { task: machine.find(ctx.params['id']!), ...createReply() }
  })
  router.delete('/tasks/:id', ctx => {
    counts.deletes++
    ctx.body = { task: machine.remove(ctx.params['id']!), ...createReply() }
  })
  router.post('/cancellations', async ctx => {
    counts.cancellations++
    const { ids } = cancellationsSchema.parse(await readJson(ctx.req))
    ctx.body = { tasks: ids.map(id => machine.cancel(id)), ...createReply() }
  })

  const admin = new Router()
  admin.get('/records', ctx => { ctx.type = 'application/x-ndjson'; ctx.body = records.render() })
  admin.get('/counts', ctx => { ctx.body = counts })
  admin.put('/faults', async ctx => {
    machine.setFaults(targetFaultsSchema.parse(await readJson(ctx.req)))
    ctx.body = machine.faults
  })

  const api = await serveRoutes(router, settings.address, settings.connections)
  const adminServer = await serveRoutes(admin, settings.adminAddress)
  return {
    addresses: { api: formatAddress(api.address()), admin: formatAddress(adminServer.address()) },
    close: async () => {
      machine.close()
      await Promise.all([closeServer(api), closeServer(adminServer)])
      records.close()
    }
  }
}

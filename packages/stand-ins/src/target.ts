import { setTimeout as delay } from 'node:timers/promises'
import Router from '@koa/router'
import { cancellationsSchema, startTaskSchema, type TargetReply, type TaskEnd } from '@sesamereel/protocol'
import { addRecordsRoute, type RunningStandIn, serveStandIn } from './http-server.js'
import { RecordLog } from './record-log.js'
import { readJson } from './request-body.js'
import { TargetMachine } from './target-machine.js'
import { targetFaultsSchema, type TargetSettings, targetSettingsSchema } from './target-settings.js'

/** Messages that a target received, by kind; `rejected` counts starts that a guard refused. */
type MessageCounts = Record<'started' | 'rejected' | 'queries' | 'deletes' | 'cancellations' | 'status', number>

/**
 * Starts a target: the target API on one address, switches and records on another.
 *
 * @param input - settings; absent ones get their defaults
 * @returns the running target with the addresses `api` and `admin`
 * @throws an error for invalid settings
 */
export async function startTarget (input: TargetSettings): Promise<RunningStandIn> {
  const settings = targetSettingsSchema.parse(input)
  const records = new RecordLog(settings.recordFile)
  const machine = new TargetMachine(settings, records)
  const counts: MessageCounts = { started: 0, rejected: 0, queries: 0, deletes: 0, cancellations: 0, status: 0 }
  const standIn = await serveStandIn({
    api: createApi(machine, counts, { id: settings.id, slots: settings.slots }),
    apiAddress: settings.address,
    maxApiConnections: settings.connections,
    admin: createAdmin(machine, counts, records),
    adminAddress: settings.adminAddress,
    records
  })
  return {
    addresses: standIn.addresses,
    close: async () => {
      machine.close()
      await standIn.close()
    }
  }
}

function createApi (machine: TargetMachine, counts: MessageCounts, description: { readonly id: string, readonly slots: number }): Router {
  const router = new Router()
  router.get('/status', ctx => {
    counts.status++
    ctx.body = { ...createReply(machine), ...description, running: machine.listRunning() }
  })
  addStartRoute(router, machine, counts)
  router.get('/tasks/:id', ctx => {
    counts.queries++
    ctx.body = { task: machine.find(ctx.params['id']!), ...createReply(machine) }
  })
  router.delete('/tasks/:id', ctx => {
    counts.deletes++
    ctx.body = { task: machine.remove(ctx.params['id']!), ...createReply(machine) }
  })
  router.post('/cancellations', async ctx => {
    counts.cancellations++
    const { ids } = cancellationsSchema.parse(await readJson(ctx.req))
    ctx.body = { tasks: ids.map(id => machine.cancel(id)), ...createReply(machine) }
  })
  return router
}

/** The reply to a start is sent when the task has ended or a guard has refused it. */
function addStartRoute (router: Router, machine: TargetMachine, counts: MessageCounts): void {
  router.post('/tasks/:id', async ctx => {
    const request = startTaskSchema.parse(await readJson(ctx.req))
    let report: (end: TaskEnd) => void = () => {}
    const ended = new Promise<TaskEnd>(resolve => { report = resolve })
    const refused = machine.start(ctx.params['id']!, request, report)
    if (refused === undefined) {
      counts.started++
      const end = await ended
      await waitReplyDelay(machine)
      ctx.body = { ...createReply(machine), end }
    } else {
      counts.rejected++
      await waitReplyDelay(machine)
      ctx.status = 409
      ctx.body = { ...createReply(machine), refused }
    }
  })
}

function createAdmin (machine: TargetMachine, counts: MessageCounts, records: RecordLog): Router {
  const admin = new Router()
  addRecordsRoute(admin, records)
  admin.get('/counts', ctx => { ctx.body = counts })
  admin.put('/faults', async ctx => {
    machine.setFaults(targetFaultsSchema.parse(await readJson(ctx.req)))
    ctx.body = machine.faults
  })
  return admin
}

/** Creates the fields that every reply of a target carries. */
function createReply (machine: TargetMachine): TargetReply {
  return { boot: machine.boot, clockMs: machine.advance(), freeSlots: machine.freeSlots, leaving: machine.leaving }
}

async function waitReplyDelay (machine: TargetMachine): Promise<void> {
  const { replyDelayMs } = machine.faults
  if (replyDelayMs > 0) await delay(replyDelayMs)
}

import { createHash } from 'node:crypto'
import Router from '@koa/router'
import { type Context } from 'koa'
import { readRowsRequestSchema, transactRequestSchema } from '@sesamereel/protocol'
import { selectListForDomain } from './instance-list-history.js'
import { type PlatformState } from './platform-state.js'
import { type RateLimiter } from './rate-limiter.js'
import { readBody, readJson } from './request-body.js'

/** Length in characters of the tag of an instance list. */
const etagLength = 20

/** Speed of the services of a platform. */
export interface ServiceLimits {
  /** Time in milliseconds that a synced write takes. */
  readonly writeMs: number
  readonly writes: RateLimiter
  readonly reads: RateLimiter
}

/**
 * Creates the API routes of a platform: table service, object store and instance list.
 *
 * @param state - state of the platform
 * @param limits - speed of its services
 * @returns the routes
 */
export function createPlatformApi (state: PlatformState, limits: ServiceLimits): Router {
  const router = new Router()
  for (const service of ['tables', 'objects', 'instances'] as const) {
    router.use(`/${service}`, state.faults.createMiddleware(service))
  }
  addTableRoutes(router, state, limits)
  addListRoute(router, state, limits)
  addObjectRoutes(router, state, limits)
  return router
}

function addTableRoutes (router: Router, { counts, faults, records, rows }: PlatformState, limits: ServiceLimits): void {
  router.post('/tables/transact', async ctx => {
    counts.writes++
    const request = transactRequestSchema.parse(await readJson(ctx.req))
    await limits.writes.wait(limits.writeMs)
    const reply = rows.transact(request, Date.now())
    if (reply.committed) records.append({ kind: 'write', attemptId: request.attemptId, rows: reply.rows })
    faults.respondToWrite(ctx, reply.committed ? 200 : 409, reply)
  })
  router.post('/tables/read', async ctx => {
    counts.reads++
    const request = readRowsRequestSchema.parse(await readJson(ctx.req))
    await limits.reads.wait(0)
    const { staleReadMs } = faults.values
    const asOf = staleReadMs > 0 ? Date.now() - staleReadMs : undefined
    ctx.body = { rows: request.rows.map(key => rows.read(key, asOf)) }
  })
}

function addListRoute (router: Router, state: PlatformState, limits: ServiceLimits): void {
  router.get('/instances', async ctx => {
    state.counts.lists++
    await limits.reads.wait(0)
    const domain = typeof ctx.query['domain'] === 'string' ? ctx.query['domain'] : undefined
    const list = state.lists.serve(state.faults.values.listLagMs)
    respondWithEtag(ctx, JSON.stringify(selectListForDomain(list, domain, state.views)))
  })
}

function addObjectRoutes (router: Router, { counts, faults, objects, records }: PlatformState, limits: ServiceLimits): void {
  router.put('/objects/:name', async ctx => {
    counts.writes++
    const body = await readBody(ctx.req)
    await limits.writes.wait(limits.writeMs)
    objects.set(ctx.params['name']!, body)
    records.append({ kind: 'object', name: ctx.params['name'], bytes: body.length })
    faults.respondToWrite(ctx, 200, { stored: body.length })
  })
  router.get('/objects/:name', async ctx => {
    counts.reads++
    await limits.reads.wait(0)
    const body = objects.get(ctx.params['name']!)
    ctx.status = body === undefined ? 404 : 200
    ctx.type = 'application/octet-stream'
    ctx.body = body ?? Buffer.alloc(0)
  })
}

/** Answers with a JSON text, or with 304 when the client has this text already. */
function respondWithEtag (ctx: Context, text: string): void {
  ctx.etag = createHash('sha256').update(text).digest('hex').slice(0, etagLength)
  // Koa compares the tags only for a successful status.
  ctx.status = 200
  if (ctx.fresh) {
    ctx.status = 304
    return
  }
  ctx.type = 'application/json'
  ctx.body = text
}

import Router from '@koa/router'
import { instanceListSchema, readRowsRequestSchema } from '@sesamereel/protocol'
import { addRecordsRoute } from './http-server.js'
import { addressViewsSchema, platformFaultsSchema } from './platform-settings.js'
import { type PlatformState } from './platform-state.js'
import { readJson } from './request-body.js'

/**
 * Creates the admin routes of a platform: fault switches, records, counts, and access to list and
 * rows that no fault affects.
 *
 * @param state - state of the platform
 * @returns the routes
 */
export function createPlatformAdmin (state: PlatformState): Router {
  const { records, rows, lists, faults, counts } = state
  const admin = new Router()
  addRecordsRoute(admin, records)
  admin.get('/counts', ctx => { ctx.body = counts })
  admin.get('/list', ctx => { ctx.body = lists.newest })
  admin.put('/list', async ctx => {
    lists.add(instanceListSchema.parse(await readJson(ctx.req)))
    ctx.body = {}
  })
  admin.put('/views', async ctx => {
    state.views = addressViewsSchema.parse(await readJson(ctx.req))
    ctx.body = {}
  })
  admin.put('/faults', async ctx => {
    faults.set(platformFaultsSchema.parse(await readJson(ctx.req)))
    records.append({ kind: 'faults', faults: faults.values })
    ctx.body = faults.values
  })
  admin.post('/read', async ctx => {
    const request = readRowsRequestSchema.parse(await readJson(ctx.req))
    ctx.body = { rows: request.rows.map(key => rows.read(key)) }
  })
  return admin
}

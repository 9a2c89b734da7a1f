import { createServer, type Server } from 'node:http'
import type Router from '@koa/router'
import Koa, { type Context, type Next } from 'koa'
import { ZodError } from 'zod'
import { bindServer, closeListener, formatAddress } from './addresses.js'
import { type RecordLog } from './record-log.js'

/** Longer than any run, so that a stand-in never closes a connection that a client is about to reuse. */
const keepAliveMs = 600_000

/** A stand-in that is listening. */
export interface RunningStandIn {
  /** Addresses by the names that the stand-in gives them. */
  readonly addresses: Readonly<Record<string, string>>
  /** Stops listening and closes all connections. */
  close (): Promise<void>
}

/** Routes of a stand-in and the addresses that serve them. */
export interface StandInRoutes {
  readonly api: Router
  /** `IP:PORT` of the API; port 0 lets the system choose. */
  readonly apiAddress: string
  /** Further connections to the API are dropped; unlimited when absent. */
  readonly maxApiConnections?: number
  readonly admin: Router
  /** `IP:PORT` of the admin routes; port 0 lets the system choose. */
  readonly adminAddress: string
  readonly records: RecordLog
}

/** Answers 400 to malformed requests, so that a fault of the dispatcher is told apart from one of the stand-in. */
async function refuseMalformed (ctx: Context, next: Next): Promise<void> {
  try {
    await next()
  } catch (error) {
    if (!(error instanceof ZodError) && !(error instanceof SyntaxError)) throw error
    ctx.status = 400
    ctx.body = { error: error.message }
  }
}

/**
 * Serves the routes of a router on an address.
 *
 * @param router - the routes
 * @param address - `IP:PORT`; port 0 lets the system choose
 * @param maxConnections - further connections are dropped; unlimited when absent
 * @returns the listening server
 */
export async function serveRoutes (router: Router, address: string, maxConnections?: number): Promise<Server> {
  const app = new Koa().use(refuseMalformed).use(router.routes() as unknown as Koa.Middleware)
  const server = createServer({ keepAliveTimeout: keepAliveMs, requestTimeout: 0 }, app.callback())
  if (maxConnections !== undefined) server.maxConnections = maxConnections
  await bindServer(server, address)
  return server
}

/**
 * Serves the API of a stand-in on one address, its admin routes on another.
 *
 * @param routes - the routes and their addresses; the records are closed with the servers
 * @returns the running stand-in with the addresses `api` and `admin`
 */
export async function serveStandIn (routes: StandInRoutes): Promise<RunningStandIn> {
  const api = await serveRoutes(routes.api, routes.apiAddress, routes.maxApiConnections)
  const admin = await serveRoutes(routes.admin, routes.adminAddress)
  return {
    addresses: { api: formatAddress(api.address()), admin: formatAddress(admin.address()) },
    close: async () => {
      await Promise.all([closeServer(api), closeServer(admin)])
      routes.records.close()
    }
  }
}

/**
 * Adds the route `GET /records`, which answers with all records as JSON lines.
 *
 * @param admin - admin routes of a stand-in
 * @param records - its records
 */
export function addRecordsRoute (admin: Router, records: RecordLog): void {
  admin.get('/records', ctx => {
    ctx.type = 'application/x-ndjson'
    ctx.body = records.render()
  })
}

/**
 * Closes a server and its connections.
 *
 * @param server - a listening server
 */
export async function closeServer (server: Server): Promise<void> {
  const closed = closeListener(server)
  server.closeAllConnections()
  await closed
}

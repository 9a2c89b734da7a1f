import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import type Router from '@koa/router'
import Koa, { type Context, type Next } from 'koa'
import { ZodError } from 'zod'

/** Longest body in bytes that a stand-in accepts. */
const maxBodyBytes = 64 * 1024 * 1024

/** Longer than any run, so that a stand-in never closes a connection that a client is about to reuse. */
const keepAliveMs = 600_000

/** A stand-in that is listening. */
export interface RunningStandIn {
  /** Addresses by the names that the stand-in gives them. */
  readonly addresses: Readonly<Record<string, string>>
  close (): Promise<void>
}

/**
 * Reads and parses the JSON body of a request.
 *
 * @returns the parsed value
 * @throws an error for a body that is too long or malformed
 */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request)
  return JSON.parse(body.toString('utf8')) as unknown
}

/**
 * Reads the whole body of a request.
 *
 * @throws an error for a body that is too long
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBodyBytes) throw new Error(`the body is longer than ${maxBodyBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/**
 * Splits `IP:PORT`.
 *
 * @returns host without brackets, and port
 */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/**
 * Formats the address that a server listens on as `IP:PORT`.
 */
export function formatAddress (info: AddressInfo | string | null): string {
  if (info === null || typeof info === 'string') throw new Error('the server does not listen on an IP address')
  return info.family === 'IPv6' ? `[${info.address}]:${info.port}` : `${info.address}:${info.port}`
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
 * @param address - `IP:PORT`; port 0 lets the system choose
 * @param maxConnections - further connections are dropped
 * @returns the listening server
 */
export async function serveRoutes (router: Router, address: string, maxConnections?: number): Promise<Server> {
  const app = new Koa().use(refuseMalformed).use(router.routes() as unknown as Koa.Middleware)
  const server = createServer({ keepAliveTimeout: keepAliveMs, requestTimeout: 0 }, app.callback())
  if (maxConnections !== undefined) server.maxConnections = maxConnections
  const { host, port } = parseAddress(address)
  server.listen(port, host, 4096)
  await once(server, 'listening')
  return server
}

/**
 * Closes a server and its connections.
 */
export async function closeServer (server: Server): Promise<void> {
  const closed = once(server, 'close')
  server.close()
  server.closeAllConnections()
  await closed
}

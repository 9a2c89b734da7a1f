import { connect, createServer, type Socket } from 'node:net'
import Router from '@koa/router'
import { z } from 'zod'
import { addressSchema } from '@sesamereel/protocol'
import { bindServer, closeListener, formatAddress, parseAddress } from './addresses.js'
import { BackendRotation } from './backend-rotation.js'
import { closeServer, type RunningStandIn, serveRoutes } from './http-server.js'
import { readJson } from './request-body.js'

/** Schema of the settings of a load balancer. */
export const balancerSettingsSchema = z.strictObject({
  address: addressSchema.default('127.0.0.1:0'),
  adminAddress: addressSchema.default('127.0.0.1:0'),
  backends: z.array(addressSchema).default([]),
  /** Time in milliseconds for which a back end that refused a connection is tried last. */
  downMs: z.number().min(0).default(1_000)
})

/** Settings of a load balancer; absent ones get their defaults. */
export type BalancerSettings = z.input<typeof balancerSettingsSchema>

/** Forwards client connections to back ends and owns the sockets. */
class ConnectionForwarder {
  readonly #rotation: BackendRotation
  readonly #sockets = new Set<Socket>()

  constructor (rotation: BackendRotation) { this.#rotation = rotation }

  /** Forwards a connection to the first back end of the rotation that accepts it. */
  accept (client: Socket): void {
    this.#track(client)
    this.#forward(client, this.#rotation.rank())
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  #forward (client: Socket, ranked: readonly string[]): void {
    const [address, ...rest] = ranked
    if (address === undefined || client.destroyed) {
      client.destroy()
      return
    }
    const server = connect({ ...parseAddress(address), allowHalfOpen: true, noDelay: true })
    this.#track(server)
    let connected = false
    server.on('connect', () => {
      connected = true
      this.#rotation.markUp(address)
      joinSockets(client, server)
    })
    server.on('error', () => {
      if (connected) return
      this.#rotation.markDown(address)
      this.#forward(client, rest)
    })
  }

  #track (socket: Socket): void {
    this.#sockets.add(socket)
    // The close event that follows an error says that there was one.
    socket.on('error', () => {})
    socket.on('close', () => { this.#sockets.delete(socket) })
  }
}

function joinSockets (client: Socket, server: Socket): void {
  for (const [from, to] of [[client, server], [server, client]] as const) {
    from.pipe(to)
    from.on('close', hadError => { if (hadError) to.resetAndDestroy(); else to.end() })
  }
}

function createAdmin (rotation: BackendRotation): Router {
  const admin = new Router()
  admin.get('/backends', ctx => {
    ctx.body = rotation.backends.map(address => ({ address, down: rotation.isDown(address) }))
  })
  admin.put('/backends', async ctx => {
    rotation.replace(z.array(addressSchema).parse(await readJson(ctx.req)))
    ctx.body = {}
  })
  return admin
}

/**
 * Starts a load balancer: forwards each connection to the next back end in turn. A back end that
 * fails to accept a connection is marked down for a while and the next one is tried.
 *
 * @param input - settings; absent ones get their defaults
 * @returns the running balancer with the addresses `api` and `admin`
 * @throws an error for invalid settings
 */
export async function startBalancer (input: BalancerSettings): Promise<RunningStandIn> {
  const settings = balancerSettingsSchema.parse(input)
  const rotation = new BackendRotation(settings.backends, settings.downMs)
  const forwarder = new ConnectionForwarder(rotation)
  const server = createServer({ allowHalfOpen: true, noDelay: true }, client => { forwarder.accept(client) })
  const api = await bindServer(server, settings.address)
  const adminServer = await serveRoutes(createAdmin(rotation), settings.adminAddress)
  return {
    addresses: { api, admin: formatAddress(adminServer.address()) },
    close: async () => {
      const closed = closeListener(server)
      forwarder.close()
      await Promise.all([closed, closeServer(adminServer)])
    }
  }
}

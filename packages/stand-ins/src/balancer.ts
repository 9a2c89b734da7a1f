import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import Router from '@koa/router'
import { z } from 'zod'
import { addressSchema } from '@sesamereel/protocol'
import { closeServer, formatAddress, parseAddress, readJson, type RunningStandIn, serveRoutes } from './http-server.js'

export const balancerSettingsSchema = z.strictObject({
  address: addressSchema.default('127.0.0.1:0'),
  adminAddress: addressSchema.default('127.0.0.1:0'),
  backends: z.array(addressSchema).default([]),
  /** Time in milliseconds for which a back end that refused a connection is passed over. */
  downMs: z.number().min(0).default(1_000)
})

export type BalancerSettings = z.input<typeof balancerSettingsSchema>

/**
 * Starts a load balancer: forwards each connection to the next back end in turn. A back end that
 * fails to accept a connection is marked down for a while and the next one is tried.
 *
 * @returns addresses `api` and `admin`
 */
export async function startBalancer (input: BalancerSettings): Promise<RunningStandIn> {
  const settings = balancerSettingsSchema.parse(input)
  let backends: readonly string[] = settings.backends
  const downUntil = new Map<string, number>()
  const sockets = new Set<Socket>()
  let next = 0

  /** Lists all back ends in the order in which to try them, those that are marked down last. */
  const rankBackends = (): readonly string[] => {
    const start = next++ % Math.max(1, backends.length)
    const turn = [...backends.slice(start), ...backends.slice(0, start)]
    const isDown = (address: string): boolean => (downUntil.get(address) ?? 0) > performance.now()
    return [...turn.filter(address => !isDown(address)), ...turn.filter(isDown)]
  }

  const join = (client: Socket, server: Socket): void => {
    for (const [from, to] of [[client, server], [server, client]] as const) {
      from.pipe(to)
      from.on('close', hadError => { if (hadError) to.resetAndDestroy(); else to.end() })
    }
  }

  const dispatch = (client: Socket, ranked: readonly string[]): void => {
    const [address, ...rest] = ranked
    if (address === undefined || client.destroyed) {
      client.destroy()
      return
    }
    const server = connect({ ...parseAddress(address), allowHalfOpen: true, noDelay: true })
    track(server)
    let connected = false
    server.on('connect', () => {
      connected = true
      downUntil.delete(address)
      join(client, server)
    })
    server.on('error', () => {
      if (connected) return
      downUntil.set(address, performance.now() + settings.downMs)
      dispatch(client, rest)
    })
  }

  const track = (socket: Socket): void => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, client => {
    track(client)
    dispatch(client, rankBackends())
  })
  const { host, port } = parseAddress(settings.address)
  server.listen(port, host, 4096)
  await once(server, 'listening')

  const admin = new Router()
  admin.get('/backends', ctx => {
    ctx.body = backends.map(address => ({ address, down: (downUntil.get(address) ?? 0) > performance.now() }))
  })
  admin.put('/backends', async ctx => {
    backends = z.array(addressSchema).parse(await readJson(ctx.req))
    ctx.body = {}
  })
  const adminServer = await serveRoutes(admin, settings.adminAddress)
  return {
    addresses: { api: formatAddress(server.address()), admin: formatAddress(adminServer.address()) },
    close: async () => {
      const closed = once(server, 'close')
      server.close()
      for (const socket of sockets) socket.destroy()
      await Promise.all([closed, closeServer(adminServer)])
    }
  }
}

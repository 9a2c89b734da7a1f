import { buildPeerRouter, maxBodyBytes, type PeerService } from '@sesamereel/protocol'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import Koa from 'koa'
import { HttpListener, type ListenerLimits } from './http-listener.js'
import { type TokenMatcher } from './token-matcher.js'

export interface PeerServerOptions {
  /** `IP:PORT` to listen on. */
  readonly address: string
  readonly tokens: TokenMatcher<true>
  readonly service: PeerService
  readonly limits?: ListenerLimits
}

/**
 * Creates the server of the peer API.
 *
 * @returns the server; it accepts no connections before `listen`
 */
export function createPeerServer (options: PeerServerOptions): HttpListener {
  const handlePeerRequest = createHTTPHandler({
    router: buildPeerRouter(options.service),
    createContext: ({ req }) => ({ authenticated: options.tokens.matchHeader(req.headers.authorization) === true }),
    // A forwarded job contains its trace context and wait in addition to the caller's body.
    maxBodySize: maxBodyBytes + 64 * 1024
  })
  const app = new Koa()
  app.use(ctx => {
    // tRPC writes the response itself.
    ctx.respond = false
    ctx.res.statusCode = 200
    handlePeerRequest(ctx.req, ctx.res)
  })
  app.on('error', () => {})
  const handle = app.callback()
  return new HttpListener(options.address, (request, response) => { handle(request, response).catch(() => {}) }, options.limits)
}

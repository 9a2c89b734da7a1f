import Router from '@koa/router'
import Koa from 'koa'
import { createErrorMiddleware } from './api-errors.js'
import { type CallerService, type MonitorService, type OperatorService } from './api-services.js'
import { addCallerRoutes } from './caller-routes.js'
import { HttpListener, type ListenerLimits } from './http-listener.js'
import { addMonitorRoutes } from './monitor-routes.js'
import { addOperatorRoutes } from './operator-routes.js'
import { type Role } from './request-context.js'
import { type TokenMatcher } from './token-matcher.js'

export interface ApiServerOptions {
  /** `IP:PORT` to listen on. */
  readonly address: string
  readonly tokens: TokenMatcher<Role>
  readonly callerService: CallerService
  readonly operatorService: OperatorService
  readonly monitorService: MonitorService
  /** Whether responses ask callers to close their connections, so that none has to be closed by force when the instance stops. */
  readonly isLeaving?: () => boolean
  readonly limits?: ListenerLimits
}

/**
 * Creates the server for callers, operators and monitoring (docs/design.md, section 8).
 *
 * @returns the server; it accepts no connections before `listen`
 */
export function createApiServer (options: ApiServerOptions): HttpListener {
  const app = new Koa()
  const router = new Router()
  addCallerRoutes(router, options.callerService, options.tokens)
  addOperatorRoutes(router, options.operatorService, options.tokens)
  addMonitorRoutes(router, options.monitorService, options.tokens)
  app.use(createErrorMiddleware(options.monitorService))
  app.use(async (ctx, next) => {
    if (options.isLeaving?.() === true) ctx.set('connection', 'close')
    await next()
  })
  app.use(router.routes())
  // Koa emits this event only when it fails to write a response, for example because the caller closed the connection.
  app.on('error', () => {})
  const handle = app.callback()
  return new HttpListener(options.address, (request, response) => { handle(request, response).catch(() => {}) }, options.limits)
}

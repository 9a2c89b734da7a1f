import type Router from '@koa/router'
import { createResultError } from '@sesamereel/state'
import { respondWithError } from './api-errors.js'
import { type MonitorService } from './api-services.js'
import { type Role } from './request-context.js'
import { createRequestError } from './request-error.js'
import { type TokenMatcher } from './token-matcher.js'

/**
 * Adds the endpoints for monitoring.
 *
 * @param router - router of the API server
 * @param service - provides metrics, readiness and traces
 * @param tokens - tokens of callers and operators; a trace may be read with either
 */
export function addMonitorRoutes (router: Router, service: MonitorService, tokens: TokenMatcher<Role>): void {
  router.get('/metrics', async ctx => {
    ctx.type = 'text/plain; version=0.0.4; charset=utf-8'
    ctx.body = await service.renderMetrics()
  })

  router.get('/live', ctx => { ctx.body = { live: true } })

  router.get('/ready', ctx => {
    const reason = service.explainNotReady()
    if (reason === undefined) ctx.body = { ready: true }
    else respondWithError(ctx, createResultError('NotReady', reason))
  })

  router.get('/v1/traces/:traceId', ctx => {
    if (tokens.matchHeader(ctx.get('authorization')) === undefined) throw createRequestError('Unauthorized', 'the request has no token of a caller or operator', 'authorization')
    const traceId = String(ctx.params['traceId'])
    if (!/^[0-9a-f]{32}$/.test(traceId)) throw createRequestError('MalformedRequest', `traceId: found ${JSON.stringify(traceId.slice(0, 80))}, expected 32 hexadecimal digits`, 'traceId')
    ctx.body = { traceId, spans: service.findTrace(traceId) }
  })
}

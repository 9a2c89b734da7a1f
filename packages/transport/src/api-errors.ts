import { createResultError, resultCodes, type ResultError } from '@sesamereel/state'
import type Koa from 'koa'
import { type MonitorService } from './api-services.js'
import { RequestError } from './request-error.js'

/**
 * Responds with a numbered error.
 *
 * @param extra - further fields of the response body
 */
export function respondWithError (ctx: Koa.Context, error: ResultError, extra: Readonly<Record<string, unknown>> = {}): void {
  ctx.status = resultCodes[error.name].status
  ctx.body = { ...error, ...extra }
  // The unread rest of a request body would be parsed as the next request.
  if (!ctx.req.complete) ctx.set('connection', 'close')
}

/**
 * Creates the outermost middleware, which turns every exception into a numbered error and reports each request to monitoring.
 *
 * @param monitor - receives the status and duration of each request, and unexpected errors
 */
export function createErrorMiddleware (monitor: MonitorService): Koa.Middleware {
  return async (ctx, next) => {
    const startedAt = performance.now()
    try {
      await next()
      if (ctx.status === 404 && ctx.body === undefined) respondWithError(ctx, createResultError('UnknownEndpoint', `there is no endpoint ${ctx.method} ${ctx.path.slice(0, 200)}`, 'path'))
    } catch (error) {
      handleException(ctx, error, monitor)
    }
    monitor.observeRequest(readRoute(ctx), ctx.status, performance.now() - startedAt)
  }
}

function handleException (ctx: Koa.Context, error: unknown, monitor: MonitorService): void {
  if (error instanceof RequestError) {
    respondWithError(ctx, error.resultError)
  } else if (isClientError(error)) {
    respondWithError(ctx, createResultError('MalformedRequest', `the request cannot be handled: ${error.message}`))
  } else if (ctx.req.destroyed && !ctx.req.complete) {
    respondWithError(ctx, createResultError('MalformedRequest', 'the connection was closed before the end of the body', 'body'))
  } else {
    monitor.observeError(readRoute(ctx), error)
    respondWithError(ctx, createResultError('InternalError', 'see the log of the instance'))
  }
}

/** Koa and its router throw errors with a 4xx status, for example for a malformed escape sequence in the path. */
function isClientError (error: unknown): error is Error {
  return error instanceof Error && 'status' in error && typeof error.status === 'number' && error.status >= 400 && error.status < 500
}

/** Returns the route pattern and never the path itself, since metrics must have a bounded set of labels. */
function readRoute (ctx: Koa.Context): string {
  const route: unknown = ctx['_matchedRoute']
  return typeof route === 'string' ? `${ctx.method} ${route}` : 'unknown'
}

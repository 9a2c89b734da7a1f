import type Router from '@koa/router'
import { issueKeysRequestSchema, type JobReply, jobSpecSchema, maxBodyBytes } from '@sesamereel/protocol'
import { maxTasksPerJob } from '@sesamereel/state'
import type Koa from 'koa'
import { respondWithError } from './api-errors.js'
import { type CallerService } from './api-services.js'
import { readJsonBody } from './json-body.js'
import { checkCustomerAllowed, checkKeyFormat, authenticateCaller, readTraceparent, readWaitMs, type Role } from './request-context.js'
import { createRequestError, parseInput } from './request-error.js'
import { type TokenMatcher } from './token-matcher.js'

/** Maximum body size in bytes of a request for keys. */
const maxKeysBodyBytes = 4 * 1024

/**
 * Adds the endpoints for callers.
 *
 * @param router - router of the API server
 * @param service - handles the requests
 * @param tokens - tokens of callers and operators
 */
export function addCallerRoutes (router: Router, service: CallerService, tokens: TokenMatcher<Role>): void {
  router.post('/v1/keys', async ctx => {
    const customers = authenticateCaller(ctx, tokens)
    const request = parseInput(issueKeysRequestSchema, await readJsonBody(ctx.req, maxKeysBodyBytes))
    checkCustomerAllowed(customers, request.customer)
    const reply = await service.issueKeys(request, readTraceparent(ctx))
    if (reply.kind === 'refused') respondWithError(ctx, reply.error)
    else ctx.body = { keys: reply.keys, expiresInMs: reply.expiresInMs }
  })

  router.post('/v1/jobs', async ctx => {
    const customers = authenticateCaller(ctx, tokens)
    const waitMs = readWaitMs(ctx)
    const body = await readJsonBody(ctx.req, maxBodyBytes)
    checkTaskCount(body)
    const spec = parseInput(jobSpecSchema, body)
    checkKeyFormat(spec.key, 'key')
    checkCustomerAllowed(customers, spec.customer)
    respondWithReply(ctx, await service.submitJob(spec, waitMs, readTraceparent(ctx)))
  })

  router.get('/v1/jobs/:key', async ctx => {
    const customers = authenticateCaller(ctx, tokens)
    const waitMs = readWaitMs(ctx)
    const key = checkKeyFormat(String(ctx.params['key']), 'key')
    respondWithReply(ctx, await service.fetchJob(key, customers, waitMs, readTraceparent(ctx)))
  })

  router.delete('/v1/jobs/:key', async ctx => {
    const customers = authenticateCaller(ctx, tokens)
    const key = checkKeyFormat(String(ctx.params['key']), 'key')
    respondWithReply(ctx, await service.cancelJob(key, customers, readTraceparent(ctx)))
  })
}

function respondWithReply (ctx: Koa.Context, reply: JobReply): void {
  if (reply.kind === 'refused') {
    respondWithError(ctx, reply.error)
    return
  }
  ctx.status = reply.state.state === 'running' ? 202 : 200
  ctx.body = reply.state
}

/** Rejects a job with too many tasks with a code of its own, before its tasks are validated. */
function checkTaskCount (body: unknown): void {
  const tasks = typeof body === 'object' && body !== null && 'tasks' in body ? body.tasks : undefined
  if (Array.isArray(tasks) && tasks.length > maxTasksPerJob) {
    throw createRequestError('JobTooLarge', `tasks: found ${tasks.length} tasks, expected at most ${maxTasksPerJob}`, 'tasks')
  }
}

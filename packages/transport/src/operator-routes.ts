import type Router from '@koa/router'
import { editRequestSchema, limitListSchema, listNameSchema, planListSchema } from '@sesamereel/protocol'
import { respondWithError } from './api-errors.js'
import { type ListEdit, type OperatorService } from './api-services.js'
import { readJsonBody } from './json-body.js'
import { authenticateOperator, type Role } from './request-context.js'
import { parseInput } from './request-error.js'
import { type TokenMatcher } from './token-matcher.js'

/** Maximum body size in bytes of an edit. */
const maxEditBodyBytes = 4 * 1024 * 1024

/**
 * Adds the endpoints for operators.
 *
 * @param router - router of the API server
 * @param service - handles the requests
 * @param tokens - tokens of callers and operators
 */
export function addOperatorRoutes (router: Router, service: OperatorService, tokens: TokenMatcher<Role>): void {
  router.get('/v1/lists', async ctx => {
    authenticateOperator(ctx, tokens)
    ctx.body = await service.readLists()
  })

  router.put('/v1/lists/:list', async ctx => {
    authenticateOperator(ctx, tokens)
    const { list } = parseInput(editPathSchema, { list: ctx.params['list'] })
    const { baseVersion, editId, content, dryRun } = parseInput(editRequestSchema, await readJsonBody(ctx.req, maxEditBodyBytes))
    const common = { baseVersion, editId, dryRun }
    // The content is validated as a field of an object, so that the paths of its problems begin with `content`.
    const edit: ListEdit = list === 'plans'
      ? { ...common, list, content: parseInput(contentSchemas.plans, { content }, 'ListInvalid').content }
      : { ...common, list, content: parseInput(contentSchemas.limits, { content }, 'ListInvalid').content }
    const reply = await service.editList(edit)
    if (reply.kind === 'applied') {
      ctx.body = { version: reply.version, changes: reply.changes, dryRun: reply.dryRun }
      return
    }
    const extra = reply.version === undefined ? {} : { version: reply.version, changes: reply.changes ?? [] }
    respondWithError(ctx, reply.error, extra)
  })

  router.get('/v1/status', ctx => {
    authenticateOperator(ctx, tokens)
    ctx.body = service.readStatus()
  })
}

const editPathSchema = editRequestSchema.pick({}).extend({ list: listNameSchema })

const contentSchemas = {
  plans: editRequestSchema.pick({}).extend({ content: planListSchema }),
  limits: editRequestSchema.pick({}).extend({ content: limitListSchema })
}

import { initTRPC, TRPCError } from '@trpc/server'
import { issueKeysRequestSchema } from './caller-api.js'
import { borrowMessageSchema, heartbeatSchema, peerCancelJobSchema, peerFetchJobSchema, peerSubmitJobSchema, returnLoansMessageSchema } from './peer-api.js'
import { type PeerService } from './peer-service.js'

/** Authentication state of the sender of a peer request. */
export interface PeerContext {
  /** Whether the request carries the peer token. */
  readonly authenticated: boolean
}

/**
 * Builds the tRPC router of the peer API (docs/design.md, section 8).
 *
 * @param service - handles the requests
 * @returns the router; every procedure rejects a request without the peer token
 */
// The return type is inferred, because tRPC clients derive the types of the API from it.
export function buildPeerRouter (service: PeerService) {
  const trpc = initTRPC.context<PeerContext>().create()
  const procedure = trpc.procedure.use(async ({ ctx, next }) => {
    if (!ctx.authenticated) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'the peer token is missing or wrong' })
    return await next()
  })
  return trpc.router({
    heartbeat: procedure.input(heartbeatSchema).mutation(({ input }) => service.acceptHeartbeat(input)),
    issueKeys: procedure.input(issueKeysRequestSchema).mutation(({ input }) => service.issueKeys(input)),
    submitJob: procedure.input(peerSubmitJobSchema).mutation(async ({ input }) => await service.submitJob(input)),
    fetchJob: procedure.input(peerFetchJobSchema).query(async ({ input }) => await service.fetchJob(input)),
    cancelJob: procedure.input(peerCancelJobSchema).mutation(({ input }) => service.cancelJob(input)),
    borrow: procedure.input(borrowMessageSchema).mutation(({ input }) => service.lendUnits(input)),
    returnLoans: procedure.input(returnLoansMessageSchema).mutation(({ input }) => { service.acceptReturn(input) }),
    readConfiguration: procedure.query(() => service.readConfiguration())
  })
}

export type PeerRouter = ReturnType<typeof buildPeerRouter>

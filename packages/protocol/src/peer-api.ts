import { type Heartbeat, type HeartbeatReply } from '@sesamereel/coordination'
import { z } from 'zod'
import { type JobState, type ResultError, resultCodes, type ResultCodeName } from '@sesamereel/state'
import { jobSpecSchema, maxWaitMs } from './caller-api.js'
import { addressSchema, amountSchema, domainNameSchema, nameSchema, resourceVectorSchema, traceparentSchema } from './common-schemas.js'

/** Longest time in milliseconds that one peer request waits for an answer; a longer wait is split into several requests. */
export const maxPeerWaitMs = 2_000

/** Text form of a seat, `DOMAIN.SEAT`. */
export const seatNameSchema = z.string().regex(/^[a-z0-9-]{1,40}\.\d{1,4}$/, 'expected DOMAIN.SEAT')

/** A holder of a seat; see `SeatHolder`. */
export const seatHolderSchema = z.object({
  /** 0 until the instance knows the earlier holders of its seat. */
  generation: z.int().min(0),
  incarnation: z.string().min(1).max(32)
})

export const leavingNoticeSchema = z.object({ id: z.string().max(200), epoch: z.string().max(200) })

/** Heartbeat by which an instance reports its state to a peer; see `Heartbeat`. */
export const heartbeatSchema = seatHolderSchema.extend({
  domain: domainNameSchema,
  seat: z.int().min(0),
  peerAddress: addressSchema,
  callerAddress: addressSchema,
  state: z.enum(['starting', 'live', 'leaving']),
  configurationVersion: z.int().min(0),
  topologyHash: z.int().min(0),
  queuedByCustomer: z.record(z.string(), z.int().min(0)),
  ejectedTargets: z.array(z.string()),
  leavingTargets: z.array(leavingNoticeSchema),
  holders: z.record(seatNameSchema, seatHolderSchema)
}) satisfies z.ZodType<Heartbeat>

export const heartbeatReplySchema = z.object({
  heartbeat: heartbeatSchema,
  seat: z.object({ newest: seatHolderSchema, settled: z.boolean() })
}) satisfies z.ZodType<HeartbeatReply>

export const peerSubmitJobSchema = z.object({
  spec: jobSpecSchema,
  waitMs: z.int().min(0).max(maxWaitMs),
  traceparent: traceparentSchema.optional()
})

/** Customers on whose behalf the caller's token may act; `*` means all. */
export const allowedCustomersSchema = z.union([z.literal('*'), z.array(nameSchema)])

export type AllowedCustomers = '*' | readonly string[]

export const peerFetchJobSchema = z.object({
  key: z.string().max(100),
  customers: allowedCustomersSchema,
  waitMs: z.int().min(0).max(maxWaitMs),
  traceparent: traceparentSchema.optional()
})

export const peerCancelJobSchema = peerFetchJobSchema.omit({ waitMs: true })

/** Request to borrow from another seat's share, or to renew such a loan. */
export const loanRequestSchema = z.object({
  loanId: z.string().min(1).max(100),
  resource: z.string().min(1).max(200),
  amount: resourceVectorSchema
})

export const loanGrantSchema = z.object({
  loanId: z.string(),
  amount: resourceVectorSchema,
  termMs: amountSchema
})

export const borrowMessageSchema = z.object({ peer: seatNameSchema, requests: z.array(loanRequestSchema).max(10_000) })

export const borrowReplySchema = z.array(loanGrantSchema)

export const returnLoansMessageSchema = z.object({ peer: seatNameSchema, loanIds: z.array(z.string().max(100)).max(10_000) })

export const resultErrorSchema = z.object({
  code: z.int(),
  name: z.custom<ResultCodeName>(value => typeof value === 'string' && Object.hasOwn(resultCodes, value), 'expected the name of a result code'),
  title: z.string(),
  message: z.string(),
  hint: z.string(),
  field: z.string().optional(),
  notRun: z.boolean()
})

/** Reply to a request to submit, fetch or cancel a job. */
export type JobReply =
  | { readonly kind: 'state', readonly state: JobState }
  | { readonly kind: 'refused', readonly error: ResultError }

/** Reply to a request to issue keys. */
export type IssueReply =
  | { readonly kind: 'issued', readonly keys: readonly string[], readonly expiresInMs: number }
  | { readonly kind: 'refused', readonly error: ResultError }

export type PeerSubmitJob = z.output<typeof peerSubmitJobSchema>
export type PeerFetchJob = z.output<typeof peerFetchJobSchema>
export type PeerCancelJob = z.output<typeof peerCancelJobSchema>
export type BorrowMessage = z.output<typeof borrowMessageSchema>
export type ReturnLoansMessage = z.output<typeof returnLoansMessageSchema>

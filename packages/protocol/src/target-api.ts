import { z } from 'zod'
import { demandSchema } from './common-schemas.js'

/** Fields of every reply of a target. */
export const targetReplySchema = z.object({
  /** Random for each start of the target process. */
  boot: z.string(),
  /** Monotonic clock of the target in milliseconds. */
  clockMs: z.number(),
  freeSlots: z.int(),
  leaving: z.boolean()
})

export type TargetReply = z.output<typeof targetReplySchema>

export const targetStatusSchema = targetReplySchema.extend({
  id: z.string(),
  slots: z.int(),
  running: z.array(z.string())
})

/** Body of `POST /tasks/ID`; the id is percent-encoded in the path. */
export const startTaskSchema = z.object({
  customer: z.string(),
  kind: z.string(),
  payload: z.unknown(),
  demand: demandSchema,
  /** Boot id that `startBy` refers to. */
  boot: z.string(),
  /** Latest start on the target's clock in milliseconds. */
  startBy: z.number(),
  /** Longest run time in milliseconds. */
  leaseMs: z.number()
})

export type StartTask = z.output<typeof startTaskSchema>

/** How a started task ended. */
export const taskEndSchema = z.discriminatedUnion('outcome', [
  z.object({ outcome: z.literal('succeeded'), result: z.unknown(), runMs: z.number() }),
  z.object({ outcome: z.literal('failed'), message: z.string(), runMs: z.number() }),
  z.object({ outcome: z.literal('timed-out'), runMs: z.number() }),
  z.object({ outcome: z.literal('over-memory'), runMs: z.number() }),
  z.object({ outcome: z.literal('cancelled'), runMs: z.number() })
])

export type TaskEnd = z.output<typeof taskEndSchema>

/** Why a target refused to start a task; each proves that it was not started. */
export const refusalReasonSchema = z.enum(['slots', 'resources', 'late', 'boot', 'leaving', 'deleted'])

export type RefusalReason = z.output<typeof refusalReasonSchema>

/** Answer to `POST /tasks/ID`: status 200 with the end, or 409 with the reason. */
export const startTaskReplySchema = z.union([
  targetReplySchema.extend({ end: taskEndSchema }),
  targetReplySchema.extend({ refused: refusalReasonSchema })
])

/**
 * Answer to `GET /tasks/ID` and `DELETE /tasks/ID`, and one element of the answer to
 * `POST /cancellations`. After a DELETE or cancellation, `not-seen` means that the target
 * will never start the task.
 */
export const taskStateSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('not-seen') }),
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('ended'), end: taskEndSchema })
])

export type TaskState = z.output<typeof taskStateSchema>

export const taskStateReplySchema = targetReplySchema.extend({ task: taskStateSchema })

export const cancellationsSchema = z.object({ ids: z.array(z.string()).min(1) })

export const cancellationsReplySchema = targetReplySchema.extend({ tasks: z.array(taskStateSchema) })

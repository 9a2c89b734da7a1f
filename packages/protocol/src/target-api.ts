import { z } from 'zod'
import { demandSchema } from './common-schemas.js'

/** Fields that every reply of a target contains. */
export const targetReplySchema = z.object({
  /** Random id of the incarnation of the target process. */
  boot: z.string(),
  /** Time on the target's monotonic clock in milliseconds. */
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

/** Body of `POST /tasks/ID`; the task id is percent-encoded in the path. */
export const startTaskSchema = z.object({
  customer: z.string(),
  kind: z.string(),
  payload: z.unknown(),
  demand: demandSchema,
  /** Boot id of the target incarnation to whose clock `startBy` refers. */
  boot: z.string(),
  /** Latest time of the start on the target's clock in milliseconds. */
  startBy: z.number(),
  /** Maximum run time in milliseconds. */
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

/** Why a target refused to start a task; every reason proves that the task was not started. */
export const refusalReasonSchema = z.enum(['slots', 'resources', 'late', 'boot', 'leaving', 'deleted'])

export type RefusalReason = z.output<typeof refusalReasonSchema>

/** Response to `POST /tasks/ID`: status 200 with the end of the task, or 409 with the reason of the refusal. */
export const startTaskReplySchema = z.union([
  targetReplySchema.extend({ end: taskEndSchema }),
  targetReplySchema.extend({ refused: refusalReasonSchema })
])

/**
 * State of a task in the response to `GET /tasks/ID` and `DELETE /tasks/ID`, and one element of the response to
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

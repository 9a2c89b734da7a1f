import { z } from 'zod'
import { resourceVectorSchema } from '@sesamereel/protocol'

const boundsSchema = z.strictObject({
  equals: z.number(),
  atLeast: z.number(),
  atMost: z.number()
}).partial()

/** Bounds of a figure; all that are given must hold. */
export type Bounds = z.output<typeof boundsSchema>

/** A seat, or `owner:GROUP` for the seat that issued the keys of a group. */
const seatSchema = z.string().regex(/^([a-z0-9-]+\.\d+|owner:[a-z0-9-]+)$/, 'expected DOMAIN.SEAT or owner:GROUP')

const directionSchema = z.enum(['both', 'forward', 'backward']).default('both')

/** Jobs to submit as a group, all at once or at a rate. */
const submitSchema = z.strictObject({
  group: z.string(),
  jobs: z.int().min(1).default(1),
  tasks: z.int().min(1).default(1),
  /** Work of a task in milliseconds; with two values it is spread evenly between them by index. */
  workMs: z.union([z.number(), z.tuple([z.number(), z.number()])]).default(100),
  customer: z.string().default('kalibra'),
  kind: z.string().default('lookup'),
  repeatable: z.boolean().optional(),
  timeoutMs: z.int().optional(),
  demand: z.strictObject({ processors: z.int(), memoryMb: z.int(), accelerators: z.int() }).optional(),
  /** Seats that the jobs are submitted through in turn; all seats when absent. */
  via: z.array(seatSchema).min(1).optional(),
  /** Jobs per second; all at once when absent. */
  perSecond: z.number().positive().optional(),
  /** Whether the next steps begin before all jobs are submitted. */
  background: z.boolean().default(false)
})

/** Value of a `submit` step. */
export type SubmitStep = z.output<typeof submitSchema>

const expectSchema = z.strictObject({
  /** Group whose jobs are counted; all jobs when absent. */
  group: z.string().optional(),
  /** Number of jobs by what their callers know of them, as of the last reply or `settle` step. */
  complete: boundsSchema.optional(),
  failed: boundsSchema.optional(),
  gone: boundsSchema.optional(),
  rejected: boundsSchema.optional(),
  unknown: boundsSchema.optional(),
  /** Replies to the submit calls of the group, by the name of their result code. */
  codes: z.record(z.string(), boundsSchema).optional(),
  /** Task starts that the targets counted. */
  starts: boundsSchema.optional(),
  /** Starts of the task that was started most often. */
  startsPerTask: boundsSchema.optional(),
  /** Fraction of all starts since a mark that were at one target. */
  shareAt: z.strictObject({ target: z.string(), since: z.string(), atMost: z.number() }).optional(),
  /** Starts at one target since a mark. */
  startsAt: z.strictObject({ target: z.string(), since: z.string() }).extend(boundsSchema.shape).optional(),
  /** Largest number of parallel tasks of a customer since a mark, from the records of the targets. */
  parallel: z.strictObject({ customer: z.string(), since: z.string().optional() }).extend(boundsSchema.shape).optional(),
  /** Longest time in milliseconds from the first submission of a job to its final answer. */
  answeredWithinMs: z.number().optional(),
  /** Number of accepted edits. */
  edits: boundsSchema.optional(),
  /** Exit code of the last planned stop. */
  exitCode: z.int().optional()
})

/** Expectations of an `expect` step; each is optional. */
export type Expectations = z.output<typeof expectSchema>

const platformFaultsSchema = z.strictObject({
  down: z.enum(['refuse', 'error', 'hang']),
  slowMs: z.number(),
  parts: z.array(z.enum(['tables', 'objects', 'instances'])),
  loseReplies: z.boolean(),
  listLagMs: z.number(),
  staleReadMs: z.number()
}).partial()

/** One step: an object with exactly one field, which names the kind of step. */
const stepSchema = z.union([
  z.strictObject({ submit: submitSchema }),
  /** Submits each job of a group again with the same key. */
  z.strictObject({ resubmit: z.strictObject({ group: z.string(), via: z.array(seatSchema).min(1), times: z.int().min(1).default(1) }) }),
  z.strictObject({ cancel: z.strictObject({ group: z.string(), via: z.array(seatSchema).min(1) }) }),
  /** Fetches each job of a group once, in the background. */
  z.strictObject({ fetch: z.strictObject({ group: z.string(), via: z.array(seatSchema).min(1), waitMs: z.int().min(0) }) }),
  /** Follows each job of the groups until it has an answer, through the given seats in turn. */
  z.strictObject({ settle: z.strictObject({ groups: z.array(z.string()).optional(), via: z.array(seatSchema).min(1), timeoutMs: z.int().default(30_000) }) }),
  /** Edits the limits: changes the named plans, keeps the others. */
  z.strictObject({ edit: z.strictObject({ via: seatSchema, limits: z.record(z.string(), resourceVectorSchema), tries: z.int().min(1).default(1) }) }),
  /** Makes conflicting edits of one list at the same time. */
  z.strictObject({ race: z.strictObject({ via: z.array(seatSchema).min(2), plan: z.string(), rounds: z.int().min(1) }) }),
  /** Reads the lists at each of the seats. */
  z.strictObject({ readLists: z.strictObject({ via: z.array(seatSchema).min(1) }) }),
  z.strictObject({ wait: z.number().min(0) }),
  /** Records the current time under a name. */
  z.strictObject({ mark: z.string() }),
  z.strictObject({ kill: z.string() }),
  z.strictObject({ pause: z.string() }),
  z.strictObject({ resume: z.string() }),
  /** Starts a new process in a seat. */
  z.strictObject({ replace: z.union([seatSchema, z.strictObject({ seat: seatSchema, background: z.literal(true) })]) }),
  /** Stops an entry instance gracefully. */
  z.strictObject({ stop: z.strictObject({ seat: seatSchema, background: z.boolean().default(false) }) }),
  /** Waits for the stops, replacements and fetches that run in the background. */
  z.strictObject({ join: z.literal('all') }),
  z.strictObject({ platform: platformFaultsSchema }),
  z.strictObject({ cut: z.strictObject({ between: z.tuple([z.string(), z.string()]).optional(), platform: z.array(z.string()).optional(), direction: directionSchema }) }),
  z.strictObject({ silence: z.enum(['peers', 'targets', 'platform', 'all']) }),
  z.strictObject({ target: z.strictObject({ id: z.string(), failAll: z.boolean().optional(), speed: z.number().optional(), leaving: z.boolean().optional(), lingering: z.boolean().optional() }) }),
  /** Marks a target as leaving in the instance list. */
  z.strictObject({ leave: z.string() }),
  /** Removes a process from the instance list. */
  z.strictObject({ unlist: z.string() }),
  /** Ends all platform faults, partitions and pauses. */
  z.strictObject({ heal: z.literal('all') }),
  z.strictObject({ expect: expectSchema })
])

/** A step of a scenario. */
export type ScenarioStep = z.output<typeof stepSchema>

type KeyOfEach<T> = T extends unknown ? keyof T : never

/** Name of a kind of step. */
export type StepName = KeyOfEach<ScenarioStep>

/** Value of the steps of one kind. */
export type StepValue<N extends StepName> = ScenarioStep extends infer S ? S extends Record<N, infer V> ? V : never : never

/** A function for each kind of step that runs a step with the given value. */
export type StepHandlers = { readonly [N in StepName]: (value: StepValue<N>) => Promise<void> | void }

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/),
  invariants: z.array(z.enum(['I1', 'I2', 'I3', 'I4', 'I5', 'I6', 'I7', 'I8', 'I9'])).min(1),
  /** Descriptions of the faults, for the report. */
  faults: z.array(z.string()).min(1),
  cluster: z.strictObject({
    /** Seats and speeds of the targets of each domain. */
    domains: z.record(z.string(), z.strictObject({ seats: z.int().min(1), targets: z.array(z.number().positive()).min(1) })).default({
      gent: { seats: 2, targets: [1, 1.5] },
      brugge: { seats: 2, targets: [1, 1.5] }
    }),
    slots: z.int().min(1).default(8),
    delayMs: z.number().default(1),
    plans: z.record(z.string(), z.string()).default({ kalibra: 'standard', guild: 'standard' }),
    limits: z.record(z.string(), resourceVectorSchema).default({ standard: { processors: 32_000, memoryMb: 32_000, accelerators: 4, parallel: 24 } })
  }).prefault({}),
  steps: z.array(stepSchema).min(1)
})

/** A scenario file with its defaults filled in. */
export type Scenario = z.output<typeof scenarioSchema>

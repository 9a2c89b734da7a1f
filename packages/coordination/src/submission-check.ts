import { createResultError, createTaskVector, type Demand, isWithin, type JobSpec, maxTaskLeaseMs, maxTasksPerJob, type ResourceVector, type ResultError } from '@sesamereel/state'

/** Maximum number of tasks that may be queued for one customer in one instance. */
export const maxQueuedTasksPerCustomer = 100_000

/** State that a submission is checked against. */
export interface SubmissionContext {
  /** Limit of the customer's plan, undefined when the customer has no plan. */
  readonly limit: ResourceVector | undefined
  readonly queued: number
  readonly hasTargets: boolean
  isAnyLargeEnough (demand: Demand): boolean
}

function describeDemand (demand: Demand): string {
  return `processors ${demand.processors}, memoryMb ${demand.memoryMb}, accelerators ${demand.accelerators}`
}

/**
 * Checks a new submission before its key is marked as used.
 *
 * @returns the reason why the job is refused without being run, or undefined when it can be admitted
 */
export function checkSubmission (spec: JobSpec, context: SubmissionContext): ResultError | undefined {
  const count = spec.tasks.length
  if (count === 0) return createResultError('MalformedRequest', 'the job has no tasks', 'tasks')
  if (count > maxTasksPerJob) return createResultError('JobTooLarge', `the job has ${count} tasks, at most ${maxTasksPerJob} are allowed`, 'tasks')
  if (context.limit === undefined) return createResultError('UnknownCustomer', `customer "${spec.customer}" has no plan`, 'customer')
  if (!context.hasTargets) return createResultError('NoTargets', 'no target is known in the failure domain')
  const impossible = findImpossibleTask(spec, spec.tasks.keys(), context.limit, context)
  if (impossible !== undefined) {
    const demand = describeDemand(spec.tasks[impossible.index]!.demand)
    return impossible.reason === 'plan'
      ? createResultError('DemandAbovePlan', `task ${impossible.index} needs ${demand}; the plan of "${spec.customer}" allows ${describeDemand(context.limit)}, parallel ${context.limit.parallel}`, `tasks[${impossible.index}].demand`)
      : createResultError('DemandAboveTargets', `task ${impossible.index} needs ${demand}, more than any target has`, `tasks[${impossible.index}].demand`)
  }
  for (let i = 0; i < count; i++) {
    const { timeoutMs } = spec.tasks[i]!
    // Plan loans outlast every lease that is allowed here; a longer lease could exceed the plan limit.
    if (!(timeoutMs > 0 && timeoutMs <= maxTaskLeaseMs)) {
      return createResultError('MalformedRequest', `timeoutMs of task ${i} is ${timeoutMs}, expected 1 to ${maxTaskLeaseMs}`, `tasks[${i}].timeoutMs`)
    }
  }
  if (context.queued + count > maxQueuedTasksPerCustomer) {
    return createResultError('QueueFull', `customer "${spec.customer}" has ${context.queued} queued tasks; ${count} more would exceed ${maxQueuedTasksPerCustomer}`)
  }
  return undefined
}

/** A task that can never start. */
export interface ImpossibleTask {
  readonly index: number
  readonly reason: 'plan' | 'targets'
}

/**
 * Finds the first task whose demand exceeds the limit or the capacity of every target.
 *
 * @param indexes - indexes of the tasks to check
 */
export function findImpossibleTask (
  spec: JobSpec, indexes: Iterable<number>, limit: ResourceVector, targets: Pick<SubmissionContext, 'isAnyLargeEnough'>
): ImpossibleTask | undefined {
  let latest: Demand | undefined
  for (const index of indexes) {
    const { demand } = spec.tasks[index]!
    // Most jobs repeat the same demand; checking repeats only once keeps large submissions cheap.
    if (latest !== undefined && isSameDemand(demand, latest)) continue
    latest = demand
    if (!isWithin(createTaskVector(demand), limit)) return { index, reason: 'plan' }
    if (!targets.isAnyLargeEnough(demand)) return { index, reason: 'targets' }
  }
  return undefined
}

function isSameDemand (a: Demand, b: Demand): boolean {
  return a.processors === b.processors && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators
}

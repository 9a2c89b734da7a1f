/** Simulated work that a task's payload describes. */
export interface TaskWork {
  /** Run time in milliseconds at speed 1. */
  readonly workMs: number
  /** Result of the task when it succeeds. */
  readonly result: unknown
  /** Message with which the task fails; it succeeds when absent. */
  readonly fail: string | undefined
  /** Memory in megabytes that the task uses. */
  readonly memoryMb: number
  /** Value that is copied into the records of the task. */
  readonly tag: unknown
}

/**
 * Reads the work that a payload describes. A payload without these fields runs for 0 ms and has
 * the result null.
 *
 * @param payload - payload of the start request
 * @returns the work, with defaults for absent fields and fields of another type
 */
export function parseWork (payload: unknown): TaskWork {
  const fields = (typeof payload === 'object' && payload !== null ? payload : {}) as Record<string, unknown>
  return {
    workMs: typeof fields['workMs'] === 'number' ? fields['workMs'] : 0,
    result: fields['result'] ?? null,
    fail: typeof fields['fail'] === 'string' ? fields['fail'] : undefined,
    memoryMb: typeof fields['memoryMb'] === 'number' ? fields['memoryMb'] : 0,
    tag: fields['tag']
  }
}

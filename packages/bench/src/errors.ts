/**
 * Describes something that was thrown by its message.
 */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

/**
 * Describes something that was thrown by its message and stack trace.
 */
export function describeStack (error: unknown): string {
  return error instanceof Error ? String(error.stack) : String(error)
}

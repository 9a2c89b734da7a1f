import { listProblems, formatProblem, type Problem } from '@sesamereel/protocol'
import { createResultError, type ResultCodeName, type ResultError } from '@sesamereel/state'
import { type z } from 'zod'

/** Most problems that one message names. */
const maxNamedProblems = 5

/** Ends the handling of a request with a numbered error. */
export class RequestError extends Error {
  readonly resultError: ResultError

  constructor (error: ResultError) {
    super(error.message)
    this.resultError = error
  }
}

/**
 * Makes the exception for a numbered error.
 *
 * @returns the exception to throw
 */
export function createRequestError (name: ResultCodeName, message: string, field?: string): RequestError {
  return new RequestError(createResultError(name, message, field))
}

/**
 * Checks an input against a schema.
 *
 * @param schema - what the input must be
 * @param input - the parsed input
 * @param name - result code of a wrong input
 * @returns the checked value with defaults
 * @throws RequestError that names every wrong field, up to a limit
 */
export function parseInput<T extends z.ZodType> (schema: T, input: unknown, name: ResultCodeName = 'MalformedRequest'): z.output<T> {
  const parsed = schema.safeParse(input)
  if (parsed.success) return parsed.data
  throw createValidationError(name, listProblems(parsed.error, input))
}

/**
 * Makes the exception for a list of problems; its field is that of the first one.
 *
 * @returns the exception to throw
 */
export function createValidationError (name: ResultCodeName, problems: readonly Problem[]): RequestError {
  const named = problems.slice(0, maxNamedProblems).map(formatProblem).join('; ')
  const more = problems.length > maxNamedProblems ? `; and ${problems.length - maxNamedProblems} more` : ''
  return createRequestError(name, named + more, problems[0]?.path === '' ? 'body' : problems[0]?.path)
}

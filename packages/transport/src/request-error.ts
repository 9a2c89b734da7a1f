import { listProblems, formatProblem, type Problem } from '@sesamereel/protocol'
import { createResultError, type ResultCodeName, type ResultError } from '@sesamereel/state'
import { type z } from 'zod'

/** Maximum number of problems listed in one message. */
const maxListedProblems = 5

/** Exception that ends the handling of a request and is answered with a numbered error. */
export class RequestError extends Error {
  readonly resultError: ResultError

  constructor (error: ResultError) {
    super(error.message)
    this.resultError = error
  }
}

/**
 * Creates the exception for a numbered error.
 */
export function createRequestError (name: ResultCodeName, message: string, field?: string): RequestError {
  return new RequestError(createResultError(name, message, field))
}

/**
 * Validates an input against a schema.
 *
 * @param schema - schema of the input
 * @param input - the input as parsed from JSON, the path or the query
 * @param name - result code for an invalid input
 * @returns the validated value, with defaults filled in
 * @throws RequestError that lists the invalid fields, up to `maxListedProblems`
 */
export function parseInput<T extends z.ZodType> (schema: T, input: unknown, name: ResultCodeName = 'MalformedRequest'): z.output<T> {
  const parsed = schema.safeParse(input)
  if (parsed.success) return parsed.data
  throw createValidationError(name, listProblems(parsed.error, input))
}

/**
 * Creates the exception for a list of validation problems; its field is that of the first problem.
 */
export function createValidationError (name: ResultCodeName, problems: readonly Problem[]): RequestError {
  const listed = problems.slice(0, maxListedProblems).map(formatProblem).join('; ')
  const more = problems.length > maxListedProblems ? `; and ${problems.length - maxListedProblems} more` : ''
  return createRequestError(name, listed + more, problems[0]?.path === '' ? 'body' : problems[0]?.path)
}

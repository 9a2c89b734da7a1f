import { type z } from 'zod'

/** A validation error in an input. */
export interface Problem {
  /** Path of the field, such as `tasks[3].demand.processors`; empty for the whole input. */
  readonly path: string
  /** The value that was found, truncated. */
  readonly found: string
  readonly expected: string
}

/** Number of characters after which a found value is truncated in a message. */
const maxFoundLength = 80

/**
 * Lists the validation errors that a schema reports for an input.
 *
 * @param error - error that the schema reported
 * @param input - the value that was validated
 * @returns at least one problem, in the order of the schema's issues
 */
export function listProblems (error: z.ZodError, input: unknown): readonly Problem[] {
  return error.issues.flatMap(issue => convertIssue(issue, input))
}

/**
 * Formats a problem as one line.
 *
 * @returns the path, the value found and what was expected
 */
export function formatProblem (problem: Problem): string {
  return `${problem.path === '' ? 'the input' : problem.path}: found ${problem.found}, expected ${problem.expected}`
}

/**
 * Formats a value for a message.
 *
 * @returns JSON truncated to 80 characters, or a description of the value
 */
export function formatFound (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value) && value.length > 10) return `a list of ${value.length}`
  let text: string
  try {
    text = typeof value === 'number' ? String(value) : JSON.stringify(value) ?? typeof value
  } catch {
    text = typeof value
  }
  return text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}...` : text
}

/**
 * Formats a path of a schema issue.
 *
 * @returns names joined by dots, indexes in brackets
 */
export function formatPath (path: readonly PropertyKey[]): string {
  let text = ''
  for (const part of path) {
    if (typeof part === 'number') text += `[${part}]`
    else text += text === '' ? String(part) : `.${String(part)}`
  }
  return text
}

function convertIssue (issue: z.core.$ZodIssue, input: unknown): Problem[] {
  const path = formatPath(issue.path)
  const value = findValue(input, issue.path)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ path: formatPath([...issue.path, key]), found: formatFound(findValue(value, [key])), expected: 'no field of this name' }))
  }
  if (issue.code === 'invalid_key') {
    const name = issue.path.at(-1)
    return [{ path, found: `the name ${formatFound(typeof name === 'symbol' ? '' : name)}`, expected: issue.issues.map(describeExpected).join(' and ') }]
  }
  // Tokens are secrets and must not appear in logs or on terminals.
  const found = /token$/i.test(path) && typeof value === 'string' ? `a text of ${value.length} characters` : formatFound(value)
  return [{ path, found, expected: describeExpected(issue) }]
}

function describeExpected (issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type': return `${issue.expected}`
    case 'invalid_value': return issue.values.map(value => JSON.stringify(value)).join(' or ')
    case 'too_small': return `at least ${issue.minimum}${describeUnit(issue.origin)}`
    case 'too_big': return `at most ${issue.maximum}${describeUnit(issue.origin)}`
    case 'invalid_union': return issue.errors.map(branch => branch.map(describeExpected).join(' and ')).filter(text => text !== '').join(' or ') || stripPrefix(issue.message)
    default: return stripPrefix(issue.message)
  }
}

function describeUnit (origin: string): string {
  if (origin === 'string') return ' characters'
  if (origin === 'array') return ' elements'
  return ''
}

function stripPrefix (message: string): string {
  return message.replace(/^expected /, '')
}

function findValue (input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input
  for (const part of path) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part)) return undefined
    value = (value as Record<PropertyKey, unknown>)[part]
  }
  return value
}

import { type z } from 'zod'

/** One thing that is wrong with an input. */
export interface Problem {
  /** Path of the value, for example `topology.domains[0].seats`. */
  readonly path: string
  /** The value found, as short text. */
  readonly found: string
  readonly expected: string
}

const longestFound = 60

const secretFields = new Set(['token', 'operatorToken', 'peerToken'])

/**
 * Lists every problem that a schema finds in an input.
 *
 * @param schema - the schema
 * @param input - the value to check
 * @returns the problems in the order of the schema; empty when the input is valid
 */
export function listProblems (schema: z.ZodType, input: unknown): readonly Problem[] {
  const parsed = schema.safeParse(input, { reportInput: true })
  return parsed.success ? [] : parsed.error.issues.flatMap(issue => describeIssue(issue, input))
}

/**
 * Formats a path as it is written in JavaScript.
 *
 * @returns the text; "(top)" for the whole input
 */
export function formatPath (path: readonly PropertyKey[]): string {
  const text = path.map(part => typeof part === 'number' ? `[${part}]` : /^\w+$/.test(String(part)) ? `.${String(part)}` : `[${JSON.stringify(String(part))}]`).join('')
  return text === '' ? '(top)' : text.replace(/^\./, '')
}

/**
 * Formats a value that was found, cut to a short length.
 *
 * @param value - the value
 * @returns JSON text, or "nothing" for an absent value
 */
export function formatFound (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value)
  return text.length > longestFound ? `${text.slice(0, longestFound - 3)}...` : text
}

function describeIssue (issue: z.core.$ZodIssue, input: unknown): readonly Problem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ path: formatPath([...issue.path, key]), found: 'an unknown field', expected: 'no such field' }))
  }
  const found = findValue(input, issue.path)
  const last = issue.path.at(-1)
  const isSecret = secretFields.has(String(last)) && typeof found === 'string'
  return [{
    path: formatPath(issue.path),
    found: isSecret ? `a text of ${found.length} characters` : issue.code === 'invalid_key' ? `the name ${JSON.stringify(last)}` : formatFound(found),
    expected: describeExpected(issue)
  }]
}

function describeExpected (issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return addArticle(issue.expected)
    case 'invalid_value':
      return issue.values.map(value => JSON.stringify(value)).join(' or ')
    case 'too_small':
      return describeBound('at least', issue.minimum, issue.origin)
    case 'too_big':
      return describeBound('at most', issue.maximum, issue.origin)
    case 'invalid_union':
      return [...new Set(issue.errors.flatMap(errors => errors.map(describeExpected)))].join(' or ')
    case 'invalid_key':
      return issue.issues.map(describeExpected).join(', ')
    case 'invalid_format':
      return issue.format === 'url' ? 'a URL' : issue.message.replace(/^expected /, '')
    default:
      return issue.message.replace(/^expected /, '')
  }
}

function describeBound (word: string, bound: number | bigint, origin: string): string {
  if (origin === 'string') return `${word} ${bound} characters`
  if (origin === 'array') return `${word} ${bound} ${Number(bound) === 1 ? 'element' : 'elements'}`
  return `${word} ${bound}`
}

const typeWords: Readonly<Record<string, string>> = {
  int: 'a whole number',
  record: 'an object',
  object: 'an object',
  array: 'an array',
  string: 'a text',
  number: 'a number',
  boolean: 'true or false'
}

function addArticle (type: string): string {
  return typeWords[type] ?? type
}

function findValue (input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input
  for (const part of path) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part)) return undefined
    value = (value as Record<PropertyKey, unknown>)[part]
  }
  return value
}

import { createHash } from 'node:crypto'
import { type JobSpec } from '@sesamereel/state'

/**
 * Hashes the content that identifies repeated submissions of one job: SHA-256 of the canonical
 * JSON of the customer, the repeatable flag and the tasks, with defaults filled in and without
 * the key.
 *
 * @returns 64 hexadecimal digits
 */
export function computeBodyHash (spec: JobSpec): string {
  const { customer, repeatable, tasks } = spec
  return createHash('sha256').update(encodeCanonical({ customer, repeatable, tasks })).digest('hex')
}

/**
 * Encodes a JSON value so that equal values give equal texts: property names are sorted and
 * undefined properties are left out. The recursion is bounded, because the parser limits the
 * nesting of request bodies.
 *
 * @returns JSON text
 */
export function encodeCanonical (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(encodeCanonical).join(',')}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value ?? null)
  const fields = value as Readonly<Record<string, unknown>>
  const names = Object.keys(fields).filter(name => fields[name] !== undefined).sort()
  return `{${names.map(name => `${JSON.stringify(name)}:${encodeCanonical(fields[name])}`).join(',')}}`
}

import { createHash } from 'node:crypto'
import { type JobSpec } from '@sesamereel/state'

/**
 * Hashes what makes two submissions the same: SHA-256 of the canonical JSON of the job with
 * its defaults, without the key.
 *
 * @returns 64 hexadecimal digits
 */
export function computeBodyHash (spec: JobSpec): string {
  const { customer, repeatable, tasks } = spec
  return createHash('sha256').update(encodeCanonical({ customer, repeatable, tasks })).digest('hex')
}

/**
 * Encodes a JSON value so that equal values give equal texts: names are sorted. The nesting of
 * bodies is limited when they are parsed, so the recursion is bounded.
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

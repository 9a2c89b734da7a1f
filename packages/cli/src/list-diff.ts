import { resourceDimensions, type ResourceVector } from '@sesamereel/state'

/** The content of either list: a plan name or a limit for each entry. */
export type ListContent = Readonly<Record<string, string | ResourceVector>>

/** One entry that differs between two lists. */
export interface ListChange {
  readonly entry: string
  readonly kind: 'added' | 'removed' | 'changed'
  /** Value before, as short text; empty when the entry was added. */
  readonly before: string
  /** Value after, as short text; empty when the entry was removed. */
  readonly after: string
}

/**
 * Compares two versions of a list.
 *
 * @param before - older content
 * @param after - newer content
 * @returns the changes, sorted by entry
 */
export function compareLists (before: ListContent, after: ListContent): readonly ListChange[] {
  const entries = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  const changes: ListChange[] = []
  for (const entry of entries) {
    const had = Object.hasOwn(before, entry)
    const has = Object.hasOwn(after, entry)
    if (had && has) {
      const change = describeChange(before[entry]!, after[entry]!)
      if (change !== undefined) changes.push({ entry, kind: 'changed', ...change })
    } else if (has) {
      changes.push({ entry, kind: 'added', before: '', after: formatEntry(after[entry]!) })
    } else {
      changes.push({ entry, kind: 'removed', before: formatEntry(before[entry]!), after: '' })
    }
  }
  return changes
}

/**
 * Formats the value of an entry on one line.
 *
 * @param value - plan name or limit
 * @returns the plan name, or the four dimensions of the limit
 */
export function formatEntry (value: string | ResourceVector): string {
  if (typeof value === 'string') return value
  return resourceDimensions.map(dimension => `${dimension}=${value[dimension]}`).join(' ')
}

function describeChange (before: string | ResourceVector, after: string | ResourceVector): { before: string, after: string } | undefined {
  if (typeof before === 'string' || typeof after === 'string') {
    return before === after ? undefined : { before: formatEntry(before), after: formatEntry(after) }
  }
  const changed = resourceDimensions.filter(dimension => before[dimension] !== after[dimension])
  if (changed.length === 0) return undefined
  return {
    before: changed.map(dimension => `${dimension}=${before[dimension]}`).join(' '),
    after: changed.map(dimension => `${dimension}=${after[dimension]}`).join(' ')
  }
}

import { resourceDimensions, type ResourceVector } from '@sesamereel/state'

/** Content of the plans list (a plan name per customer) or of the limits list (a limit per plan). */
export type ListContent = Readonly<Record<string, string | ResourceVector>>

/** One entry that differs between two lists. */
export interface ListChange {
  readonly entry: string
  readonly kind: 'added' | 'removed' | 'changed'
  /** Value before the change as text; of a changed limit, only the dimensions that differ. Empty when the entry was added. */
  readonly before: string
  /** Value after the change, in the same form; empty when the entry was removed. */
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
  return entries
    .map(entry => describeChange(entry, findEntry(before, entry), findEntry(after, entry)))
    .filter(change => change.before !== change.after)
}

/**
 * Describes the difference between two values of one entry.
 *
 * @param entry - name of the entry
 * @param before - value before; undefined when the entry was added
 * @param after - value after; undefined when the entry was removed
 */
export function describeChange (entry: string, before: ListContent[string] | undefined, after: ListContent[string] | undefined): ListChange {
  if (before === undefined) return { entry, kind: 'added', before: '', after: after === undefined ? '' : formatEntryValue(after) }
  if (after === undefined) return { entry, kind: 'removed', before: formatEntryValue(before), after: '' }
  if (typeof before === 'string' || typeof after === 'string') return { entry, kind: 'changed', before: formatEntryValue(before), after: formatEntryValue(after) }
  const changed = resourceDimensions.filter(dimension => before[dimension] !== after[dimension])
  const format = (limit: ResourceVector): string => changed.map(dimension => `${dimension}=${limit[dimension]}`).join(' ')
  return { entry, kind: 'changed', before: format(before), after: format(after) }
}

/**
 * Formats the value of an entry on one line.
 *
 * @param value - plan name or limit
 * @returns the plan name, or the dimensions of the limit as `name=value`
 */
export function formatEntryValue (value: string | ResourceVector): string {
  if (typeof value === 'string') return value
  return resourceDimensions.map(dimension => `${dimension}=${value[dimension]}`).join(' ')
}

function findEntry (list: ListContent, entry: string): ListContent[string] | undefined {
  return Object.hasOwn(list, entry) ? list[entry] : undefined
}

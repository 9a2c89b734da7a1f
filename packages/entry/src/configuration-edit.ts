import { type Problem } from '@sesamereel/protocol'
import { type Configuration } from '@sesamereel/state'
import { type ListChange, type ListEdit } from '@sesamereel/transport'
import { isDeepStrictEqual } from 'node:util'

/**
 * Applies an edit to the version of the lists that it is based on.
 *
 * @returns the edited lists, with the version increased by one
 */
export function applyEdit (base: Configuration, edit: ListEdit): Configuration {
  const next = { version: base.version + 1, editId: edit.editId, plans: base.plans, limits: base.limits }
  return edit.list === 'plans' ? { ...next, plans: edit.content } : { ...next, limits: edit.content }
}

/**
 * Lists the entries that differ between two versions of the lists.
 *
 * @returns one change per entry: plans before limits, each sorted by name
 */
export function diffConfigurations (before: Configuration, after: Configuration): readonly ListChange[] {
  return (['plans', 'limits'] as const).flatMap(list => {
    const names = [...new Set([...Object.keys(before[list]), ...Object.keys(after[list])])].sort()
    return names.flatMap(name => {
      const [oldEntry, newEntry] = [findEntry(before[list], name), findEntry(after[list], name)]
      return isDeepStrictEqual(oldEntry, newEntry) ? [] : [{ list, name, before: oldEntry, after: newEntry }]
    })
  })
}

/**
 * Finds customers whose plan has no entry in the limits list.
 *
 * @param next - the lists after the edit
 * @param edit - the edit; each problem refers to a field of its content
 * @returns one problem for each customer whose plan has no limits
 */
export function findMissingLimits (next: Configuration, edit: ListEdit): readonly Problem[] {
  const plans = Object.keys(next.limits)
  return Object.entries(next.plans).flatMap(([customer, plan]) => {
    if (Object.hasOwn(next.limits, plan)) return []
    return edit.list === 'plans'
      ? [{ path: `content.${customer}`, found: JSON.stringify(plan), expected: plans.length === 0 ? 'a plan of the limits list, which is empty' : `a plan of the limits list: ${plans.slice(0, 20).join(', ')}` }]
      : [{ path: `content.${plan}`, found: 'nothing', expected: `limits, since customer ${JSON.stringify(customer)} holds this plan` }]
  })
}

function findEntry (list: Readonly<Record<string, unknown>>, name: string): unknown {
  return Object.hasOwn(list, name) ? list[name] : undefined
}

/**
 * Groups items by a key; groups and items keep the order in which they first occur.
 *
 * @param items - items to group
 * @param selectKey - returns the key of an item
 * @returns the groups by key
 */
export function collectBy<T> (items: readonly T[], selectKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = selectKey(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}

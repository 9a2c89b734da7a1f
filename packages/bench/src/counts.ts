/** How counts are printed: `fields` as `name=count` separated by spaces, `list` as `name count` separated by commas. */
export type CountStyle = 'fields' | 'list'

/**
 * Formats counts on one line.
 *
 * @param counts - names with their counts, which may be formatted already
 * @param style - how names and counts are joined
 */
export function formatCounts (counts: Iterable<readonly [name: string, count: number | string]>, style: CountStyle = 'fields'): string {
  const [assignment, separator] = style === 'fields' ? ['=', ' '] : [' ', ', ']
  return [...counts].map(([name, count]) => `${name}${assignment}${count}`).join(separator)
}

/**
 * Counts the occurrences of each name.
 *
 * @returns the counts, in the order in which the names first occur
 */
export function countBy (names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

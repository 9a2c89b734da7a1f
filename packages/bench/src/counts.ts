/** Formats counts as `name=count` pairs separated by spaces. */
export function formatCounts (counts: Iterable<readonly [string, number]>): string {
  return [...counts].map(([name, count]) => `${name}=${count}`).join(' ')
}

/** Counts the occurrences of each name. */
export function countBy (names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

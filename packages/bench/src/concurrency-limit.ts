/**
 * Runs an action for each item, a limited number of them at once.
 */
export async function runWithConcurrencyLimit<T> (items: readonly T[], limit: number, act: (item: T) => Promise<void>): Promise<void> {
  const rest = [...items]
  await Promise.all(Array.from({ length: Math.min(limit, rest.length) }, async () => {
    for (let item = rest.shift(); item !== undefined; item = rest.shift()) await act(item)
  }))
}

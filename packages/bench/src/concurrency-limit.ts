/**
 * Runs an action for each item in order, at most `limit` of them at the same time. Rejects when an
 * action rejects; an `undefined` item ends the worker that takes it.
 */
export async function runWithConcurrencyLimit<T> (items: readonly T[], limit: number, action: (item: T) => Promise<void>): Promise<void> {
  const queue = [...items]
  await Promise.all(Array.from({ length: Math.min(limit, queue.length) }, async () => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) await action(item)
  }))
}

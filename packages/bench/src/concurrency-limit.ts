/**
 * Runs an action for each item, in order and at most `limit` at the same time.
 *
 * @param items - items; none may be `undefined`, which ends the worker that takes it
 * @param limit - largest number of simultaneous actions
 * @param action - what to do with an item; when it rejects, the whole call rejects
 */
export async function runWithConcurrencyLimit<T> (items: readonly T[], limit: number, action: (item: T) => Promise<void>): Promise<void> {
  const queue = [...items]
  await Promise.all(Array.from({ length: Math.min(limit, queue.length) }, async () => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) await action(item)
  }))
}

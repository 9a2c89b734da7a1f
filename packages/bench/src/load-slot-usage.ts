/** How the slots of the targets were used. */
export interface SlotUsageReport {
  /** Part of all slots that ran a task. */
  readonly busy: number
  /** Part of the work that all slots could have done. */
  readonly work: number
  /** Mean speed of the targets over the time that tasks ran. */
  readonly meanSpeed: number
  /** Mean speed of all slots. */
  readonly capacitySpeed: number
}

/**
 * Computes the use of slots from the records of the targets.
 *
 * @param records - records of all targets, with at least one for the start of each task
 * @param speeds - speed of each target by its id
 * @param slots - slots of each target
 * @param span - measured time on the machine's clock in milliseconds
 */
export function computeSlotUsage (records: ReadonlyArray<Readonly<Record<string, unknown>>>, speeds: ReadonlyMap<string, number>, slots: number, span: { readonly from: number, readonly to: number }): SlotUsageReport {
  const ends = new Map(records.filter(({ kind }) => kind === 'end').map(({ target, id, at }) => [`${String(target)} ${String(id)}`, Number(at)]))
  let busyMs = 0
  let workMs = 0
  for (const { kind, target, id, at } of records) {
    if (kind !== 'start') continue
    const endedAt = ends.get(`${String(target)} ${String(id)}`) ?? span.to
    const ms = Math.max(0, Math.min(endedAt, span.to) - Math.max(Number(at), span.from))
    busyMs += ms
    workMs += ms * (speeds.get(String(target)) ?? 1)
  }
  const all = speeds.size * slots * (span.to - span.from)
  const capacitySpeed = [...speeds.values()].reduce((sum, speed) => sum + speed, 0) / speeds.size
  return { busy: busyMs / all, work: workMs / (all * capacitySpeed), meanSpeed: busyMs === 0 ? 0 : workMs / busyMs, capacitySpeed }
}

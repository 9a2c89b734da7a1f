/** Usage of the slots of all targets. */
export interface SlotUsageReport {
  /** Mean fraction of the slots that ran a task. */
  readonly busy: number
  /** Work done, as a fraction of the work that all slots could have done at their speeds. */
  readonly work: number
  /** Mean speed of the targets, weighted by the time that their slots ran tasks. */
  readonly meanSpeed: number
  /** Mean speed of all slots. */
  readonly capacitySpeed: number
}

/**
 * Computes the slot usage from the records of the targets.
 *
 * @param records - records of all targets; a task whose end is missing counts as running until `span.to`
 * @param speeds - speed of each target, by target id
 * @param slots - slots of each target
 * @param span - measured time in milliseconds since the epoch
 */
export function computeSlotUsage (records: ReadonlyArray<Readonly<Record<string, unknown>>>, speeds: ReadonlyMap<string, number>, slots: number, span: { readonly from: number, readonly to: number }): SlotUsageReport {
  const endTimes = new Map(records.filter(({ kind }) => kind === 'end').map(({ target, id, at }) => [`${String(target)} ${String(id)}`, Number(at)]))
  let busyMs = 0
  let workMs = 0
  for (const { kind, target, id, at } of records) {
    if (kind !== 'start') continue
    const endedAt = endTimes.get(`${String(target)} ${String(id)}`) ?? span.to
    const runMs = Math.max(0, Math.min(endedAt, span.to) - Math.max(Number(at), span.from))
    busyMs += runMs
    workMs += runMs * (speeds.get(String(target)) ?? 1)
  }
  const availableMs = speeds.size * slots * (span.to - span.from)
  const capacitySpeed = [...speeds.values()].reduce((sum, speed) => sum + speed, 0) / speeds.size
  return { busy: busyMs / availableMs, work: workMs / (availableMs * capacitySpeed), meanSpeed: busyMs === 0 ? 0 : workMs / busyMs, capacitySpeed }
}

/** @returns each start of a task while a run of it is at work on another worker */
export function listOverlaps (fleet) {
  const overlaps = []
  const atWork = new Map()
  for (const { what, atMs, task, attempt, worker } of fleet.events) {
    if (what !== 'start' && what !== 'end') continue
    const runs = atWork.get(task) ?? new Set()
    atWork.set(task, runs)
    const run = `${worker} ${attempt}`
    if (what === 'end') {
      runs.delete(run)
      continue
    }
    if (runs.size > 0) overlaps.push({ rule: 'TWICE', startedAtMs: atMs, task, run, atWork: [...runs] })
    runs.add(run)
  }
  return overlaps
}

/** @returns the pairs of runs of one task that existed at the same time */
export function findOverlaps (lines) {
  const runs = []
  for (const { event, ms, worker, task, attempt } of lines) {
    if (event === 'start') runs.push({ worker, task, attempt, from: ms, to: Infinity })
    else if (event === 'end') runs.find(run => run.worker === worker && run.task === task && run.attempt === attempt && run.to === Infinity).to = ms
  }
  return runs.flatMap((run, index) => runs.slice(0, index).filter(other => other.task === run.task && other.to > run.from).map(other => ({ task: run.task, first: other, second: run, overlapMs: Math.min(other.to, run.to) - run.from })))
}

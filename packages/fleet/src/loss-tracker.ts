import { type DispatchState } from './dispatch-state.js'
import { type Run } from './run.js'
import { type LossEvidence, type TargetLoss } from './target-losses.js'
import { type TargetSession } from './target-session.js'

/** Records which targets one dispatcher has lost under which tasks. */
export class LossTracker {
  readonly #state: DispatchState

  constructor (state: DispatchState) {
    this.#state = state
  }

  /** Records the loss of a target under all tasks that ran, or may have run, in its lost incarnation. */
  recordLoss (session: TargetSession, evidence: LossEvidence): void {
    const runs = [...session.runs.values()].filter(mayHaveRun)
    const isAlone = new Set(runs.map(run => run.name?.jobId)).size === 1
    const loss = { target: session.info.id, bornMs: session.bornMs ?? 0, evidence, isAlone }
    for (const run of runs) this.#recordLossUnder(run, loss)
  }

  /** Judges the losses of a target anew when an incarnation of it answers. */
  settleLosses (session: TargetSession): void {
    const { losses } = this.#state
    if (session.isSilent || session.bornMs === undefined) return
    const changed = losses.settle(session.info.id, session.bornMs, this.#state.now())
    if (changed.length > 0) this.#state.log('belief', 'target-losses-settled', { target: session.info.id, jobs: changed.length })
  }

  #recordLossUnder (run: Run, loss: TargetLoss): void {
    const { losses, metrics } = this.#state
    if (!losses.record(run.task, loss, this.#state.now())) return
    metrics.countTargetLoss(loss.evidence, loss.isAlone)
    this.#state.log('order', 'target-lost-under-task', { job: run.name?.jobId, task: run.task, attempt: run.attempt, target: loss.target, evidence: loss.evidence, alone: loss.isAlone, losses: losses.listLosses(run.task).length })
  }
}

/** @returns whether a run existed, or its start order may have been carried out by the target's process */
function mayHaveRun (run: Run): boolean {
  return run.acceptedAt !== undefined || run.unanswered
}

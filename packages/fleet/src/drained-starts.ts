/**
 * Which starts a dispatcher may order. `all`: the domain is not drained; `started-jobs`: only tasks of jobs of which one has
 * started, until `untilElapsed`; `none`: none.
 */
export type StartRule =
  | { readonly kind: 'all' }
  | { readonly kind: 'started-jobs', readonly untilElapsed: number }
  | { readonly kind: 'none' }

/** Inputs of the decision; times in milliseconds of the clock that counts suspensions. */
export interface StartRuleInputs {
  readonly isDrained: boolean
  /** Whether the domain was drained already when the dispatcher was allowed its first start. */
  readonly beganDrained: boolean
  /** Time at which this instance requested its newest list without the drain; `-Infinity` if it has read none. */
  readonly absentAt: number
  readonly now: number
  /** Time in milliseconds after the write of the request from which no task may start. */
  readonly drainBoundMs: number
  /** Time in milliseconds by which the last start order must precede that. */
  readonly marginMs: number
}

/**
 * Decides which starts are allowed in a domain. Answers the load pattern of an operator who drains a domain under full load:
 * some jobs have tasks that run and others that wait, and they can end only in this domain, as no job moves after its first
 * start. The request was written after the newest list without it was requested, so the bound counts from then. A dispatcher
 * that has read no such list can't tell how old the request is.
 *
 * @returns the starts that are allowed at the time `now`
 */
export function decideStartRule ({ isDrained, beganDrained, absentAt, now, drainBoundMs, marginMs }: StartRuleInputs): StartRule {
  if (!isDrained) return { kind: 'all' }
  const untilElapsed = absentAt + drainBoundMs - marginMs
  return beganDrained || now >= untilElapsed ? { kind: 'none' } : { kind: 'started-jobs', untilElapsed }
}

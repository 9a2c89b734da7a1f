import { type Clock } from '@sesamereel/coordination'
import { type RunRecord } from './fleet-history.js'

/** The time from the write of a request until its removal, by the emulated clock in milliseconds; `Infinity` while it is in force. */
interface DrainPeriod {
  readonly domain: string
  readonly requestedAt: number
  withdrawnAt: number
}

/** Records when an operator drained domains, and checks that no task started there later than the bound. */
export class DrainHistory {
  readonly #clock: Clock
  readonly #boundMs: number
  readonly #periods: DrainPeriod[] = []

  /** @param boundMs - time in milliseconds after the write of a request from which no task may start in the domain */
  constructor (clock: Clock, boundMs: number) {
    this.#clock = clock
    this.#boundMs = boundMs
  }

  /** Number of drains that were requested. */
  get count (): number { return this.#periods.length }

  isDrained (domain: string): boolean {
    return this.#periods.some(period => period.domain === domain && period.withdrawnAt === Infinity)
  }

  recordRequest (domain: string): void {
    this.#periods.push({ domain, requestedAt: this.#clock.now(), withdrawnAt: Infinity })
  }

  recordWithdrawal (domain: string): void {
    for (const period of this.#periods) if (period.domain === domain) period.withdrawnAt = Math.min(period.withdrawnAt, this.#clock.now())
  }

  /**
   * Checks the runs against the periods in which their domains were drained.
   *
   * @param runs - all runs that have started
   * @param getDomain - returns the domain of a target
   * @returns a line for each run that started in a drained domain later than the bound
   */
  listViolations (runs: readonly RunRecord[], getDomain: (target: string) => string | undefined): readonly string[] {
    return this.#periods.flatMap(({ domain, requestedAt, withdrawnAt }) => runs
      .filter(run => run.startedAt > requestedAt + this.#boundMs && run.startedAt < withdrawnAt && getDomain(run.target) === domain)
      .map(run => `${run.task} started at ${run.target} ${Math.round(run.startedAt - requestedAt)} ms after the drain of ${domain} was requested`))
  }
}

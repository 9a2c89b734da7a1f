import { type Clock } from '@sesamereel/coordination'
import { type DrainHistory } from './drain-history.js'
import { type EmulatedStore } from './emulated-store.js'
import { type RandomSource } from './random-source.js'

/** Probability with which the last domain that is in use is drained too. */
const lastDomainProbability = 0.15

/** Names of the faults that operators cause. They are a list of their own, so that the random choices of earlier seeds stay as they are. */
export const operatorFaultNames = ['drain-domain'] as const

/** Longest time in milliseconds by which a drain lasts longer than other faults, so that most outlast the bound of 5 s. */
const maxExtraMs = 7_000

/** Interval in milliseconds at which the operator repeats a write that the store has not taken. */
const retryMs = 100

/** What the operators' faults act on. */
export interface OperatorFaultOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly store: EmulatedStore
  readonly history: DrainHistory
  readonly domains: readonly string[]
  /** Writes the row that requests the drain of a domain, or removes it. */
  readonly writeRequest: (domain: string, isDrained: boolean) => void
}

/** Drains random domains and withdraws the drains. */
export class OperatorFaults {
  readonly #options: OperatorFaultOptions

  constructor (options: OperatorFaultOptions) {
    this.#options = options
  }

  /**
   * Drains a random domain.
   *
   * @returns a function that withdraws the drain some time later, or undefined if the store takes no write or the domain is drained already
   */
  drainDomain (): (() => void) | undefined {
    const { random, store, history, domains, writeRequest, clock } = this.#options
    const domain = random.pick(domains)!
    if (store.fault !== 'none' || history.isDrained(domain)) return undefined
    const isLast = domains.every(other => other === domain || history.isDrained(other))
    if (isLast && !random.drawBoolean(lastDomainProbability)) return undefined
    writeRequest(domain, true)
    history.recordRequest(domain)
    return () => { clock.startTimer(random.pickInteger(0, maxExtraMs), () => { this.#withdraw(domain) }) }
  }

  #withdraw (domain: string): void {
    const { store, history, writeRequest, clock } = this.#options
    if (store.fault !== 'none') {
      clock.startTimer(retryMs, () => { this.#withdraw(domain) })
      return
    }
    writeRequest(domain, false)
    history.recordWithdrawal(domain)
  }
}

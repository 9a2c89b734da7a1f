/** Number of the most recent outcomes that decide about an ejection. */
const outcomeWindowSize = 10

/** Minimum number of outcomes before failures can eject a target. */
const minOutcomes = 5

/** Number of consecutive connection failures that eject a target. */
const connectionFailureThreshold = 3

/** Time in milliseconds from an ejection or a failed probe until the next probe may start. */
export const ejectionMs = 5_000

/** Time in milliseconds for which a success keeps the target from being ejected because a peer ejected it. */
const recentSuccessMs = 2_000

/** What the result of an attempt indicates about the health of its target. */
export type HealthSignal = 'success' | 'failure' | 'connection-failure' | 'neutral'

/**
 * Outlier detection for one target: ejects it when more than half of its recent attempts failed or
 * after consecutive connection failures, and then lets single probes through until one succeeds.
 */
export class TargetHealth {
  private outcomes: boolean[] = []
  private connectionFailures = 0
  private ejectedUntil: number | undefined
  private isProbing = false
  /** Whether the current ejection was taken over from a peer. */
  private isPeerEjection = false
  private lastSuccessAt = -Infinity

  /** @returns true while the target is ejected, also while a probe runs */
  isEjected (): boolean {
    return this.ejectedUntil !== undefined
  }

  /**
   * @returns true while the target is ejected because of attempts of this instance; only such
   *   ejections are reported to peers
   */
  isEjectedLocally (): boolean {
    return this.ejectedUntil !== undefined && !this.isPeerEjection
  }

  /** @returns true when a task may be started: the target is not ejected, or a probe is due and none is running */
  isStartAllowed (now: number): boolean {
    return this.ejectedUntil === undefined || (!this.isProbing && now >= this.ejectedUntil)
  }

  /**
   * Records the start of a task.
   *
   * @returns true when the attempt is the probe of an ejected target
   */
  recordStart (): boolean {
    if (this.ejectedUntil === undefined) return false
    this.isProbing = true
    return true
  }

  /**
   * Records what the result of an attempt indicates about the target.
   *
   * @param isProbe - whether the attempt was started as a probe
   * @returns the change of state, undefined when there is none
   */
  recordSignal (signal: HealthSignal, isProbe: boolean, now: number): 'ejected' | 'readmitted' | undefined {
    if (isProbe) this.isProbing = false
    if (signal === 'neutral') return undefined
    this.connectionFailures = signal === 'connection-failure' ? this.connectionFailures + 1 : 0
    if (signal === 'success') this.lastSuccessAt = now
    if (this.ejectedUntil !== undefined) {
      // Attempts that started before the ejection must not affect it.
      if (!isProbe) return undefined
      if (signal === 'success') {
        this.resetEjection()
        return 'readmitted'
      }
      this.ejectedUntil = now + ejectionMs
      this.isPeerEjection = false
      return undefined
    }
    if (signal !== 'connection-failure') {
      this.outcomes.push(signal === 'success')
      if (this.outcomes.length > outcomeWindowSize) this.outcomes.shift()
    }
    let failures = 0
    for (const succeeded of this.outcomes) if (!succeeded) failures++
    const failing = this.outcomes.length >= minOutcomes && failures * 2 > this.outcomes.length
    if (!failing && this.connectionFailures < connectionFailureThreshold) return undefined
    this.ejectedUntil = now + ejectionMs
    this.isPeerEjection = false
    return 'ejected'
  }

  /**
   * Ejects the target because a peer did, unless it is already ejected or an attempt of this
   * instance succeeded recently.
   */
  applyPeerEjection (now: number): void {
    if (this.ejectedUntil !== undefined || now - this.lastSuccessAt < recentSuccessMs) return
    this.ejectedUntil = now + ejectionMs
    this.isPeerEjection = true
  }

  /** Ends an ejection that was taken over from a peer, after a peer has readmitted the target. */
  clearPeerEjection (): void {
    if (this.isPeerEjection) this.resetEjection()
  }

  private resetEjection (): void {
    this.ejectedUntil = undefined
    this.isPeerEjection = false
    this.outcomes = []
    this.connectionFailures = 0
  }
}

/** Number of most recent outcomes that are judged. */
const outcomeWindow = 10

const fewestOutcomes = 5

const mostConnectionFailures = 3

/** Time in milliseconds from an ejection, or a failed probe, to the next probe. */
export const ejectionMs = 5_000

/** A success this recent, in milliseconds, outweighs the ejection of the same target by a peer. */
const recentSuccessMs = 2_000

/** What one attempt says about the health of its target. */
export type HealthSignal = 'success' | 'failure' | 'connection-failure' | 'neutral'

/** Judges one target by the outcomes of its recent attempts; ejects it and lets single probes through. */
export class TargetHealth {
  private outcomes: boolean[] = []
  private connectionFailures = 0
  private ejectedUntil: number | undefined
  private probing = false
  /** Set while the ejection was taken over from a peer. */
  private adopted = false
  private lastSuccess = -Infinity

  /** @returns true while the target is ejected, including while a probe runs */
  isEjected (): boolean {
    return this.ejectedUntil !== undefined
  }

  /** @returns true for an ejection that rests on outcomes seen here, the only kind that is told to peers */
  isEjectedLocally (): boolean {
    return this.ejectedUntil !== undefined && !this.adopted
  }

  /** @returns true when a task may be started: the target is healthy, or a single probe is due */
  isStartAllowed (now: number): boolean {
    return this.ejectedUntil === undefined || (!this.probing && now >= this.ejectedUntil)
  }

  /**
   * Notes that a task starts.
   *
   * @returns true when the attempt is the probe of an ejected target
   */
  recordStart (): boolean {
    if (this.ejectedUntil === undefined) return false
    this.probing = true
    return true
  }

  /**
   * Records what an attempt says about the target.
   *
   * @param isProbe - whether this attempt was started as the probe
   * @returns 'ejected' or 'readmitted' when the state changes
   */
  recordSignal (sign: HealthSignal, isProbe: boolean, now: number): 'ejected' | 'readmitted' | undefined {
    if (isProbe) this.probing = false
    if (sign === 'neutral') return undefined
    this.connectionFailures = sign === 'connection-failure' ? this.connectionFailures + 1 : 0
    if (sign === 'success') this.lastSuccess = now
    if (this.ejectedUntil !== undefined) {
      // Attempts from before the ejection must not readmit the target.
      if (!isProbe) return undefined
      if (sign === 'success') {
        this.resetEjection()
        return 'readmitted'
      }
      this.ejectedUntil = now + ejectionMs
      this.adopted = false
      return undefined
    }
    if (sign !== 'connection-failure') {
      this.outcomes.push(sign === 'success')
      if (this.outcomes.length > outcomeWindow) this.outcomes.shift()
    }
    let failures = 0
    for (const succeeded of this.outcomes) if (!succeeded) failures++
    const failing = this.outcomes.length >= fewestOutcomes && failures * 2 > this.outcomes.length
    if (!failing && this.connectionFailures < mostConnectionFailures) return undefined
    this.ejectedUntil = now + ejectionMs
    this.adopted = false
    return 'ejected'
  }

  /** Takes over the ejection by a peer, unless own attempts succeeded a moment ago. */
  applyPeerEjection (now: number): void {
    if (this.ejectedUntil !== undefined || now - this.lastSuccess < recentSuccessMs) return
    this.ejectedUntil = now + ejectionMs
    this.adopted = true
  }

  /** Ends an ejection that was taken over, when the peer readmits the target. */
  clearPeerEjection (): void {
    if (this.adopted) this.resetEjection()
  }

  private resetEjection (): void {
    this.ejectedUntil = undefined
    this.adopted = false
    this.outcomes = []
    this.connectionFailures = 0
  }
}

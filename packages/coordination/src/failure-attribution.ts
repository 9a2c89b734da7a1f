/** Callers choose the names of kinds, so their number must be bounded. */
const mostKinds = 1_000

/** Other targets whose latest outcome must be known before a failure is attributed to the kind. */
const fewestOthers = 3

/**
 * Decides whether a failed task speaks against its target or against its kind of work.
 * Without this, a kind of task that fails everywhere would eject every target.
 */
export class FailureAttribution {
  /** For each kind, whether the latest outcome at each target was a failure. */
  private readonly latest = new Map<string, Map<string, boolean>>()

  /**
   * Records an outcome.
   *
   * @returns true when a failure is attributed to the target: the kind does not fail
   * at more than half of the other targets
   */
  recordOutcome (kind: string, targetId: string, failed: boolean): boolean {
    let targets = this.latest.get(kind)
    if (targets === undefined) {
      if (this.latest.size >= mostKinds) this.latest.delete(this.latest.keys().next().value!)
      targets = new Map()
      this.latest.set(kind, targets)
    }
    targets.set(targetId, failed)
    if (!failed) return false
    let others = 0
    let failures = 0
    for (const [id, otherFailed] of targets) {
      if (id === targetId) continue
      others++
      if (otherFailed) failures++
    }
    return others < fewestOthers || failures * 2 <= others
  }

  removeTarget (targetId: string): void {
    for (const targets of this.latest.values()) targets.delete(targetId)
  }
}

/** Maximum number of kinds that are remembered; callers choose the names of kinds, so the number has to be bounded. */
const maxKinds = 1_000

/** Minimum number of other targets with a known outcome before a failure can be attributed to the kind. */
const minOtherTargets = 3

/**
 * Decides whether a failed task is attributed to its target or to its kind of task.
 * Without this, a kind that fails everywhere would cause the ejection of every target.
 */
export class FailureAttribution {
  /** For each kind and target id, whether the latest outcome was a failure. */
  private readonly latestFailedByKind = new Map<string, Map<string, boolean>>()

  /**
   * Records the outcome of a task.
   *
   * @returns true when the task failed and the failure is attributed to the target, because the
   *   kind has not failed at more than half of the other targets or too few of them are known
   */
  recordOutcome (kind: string, targetId: string, failed: boolean): boolean {
    let targets = this.latestFailedByKind.get(kind)
    if (targets === undefined) {
      if (this.latestFailedByKind.size >= maxKinds) this.latestFailedByKind.delete(this.latestFailedByKind.keys().next().value!)
      targets = new Map()
      this.latestFailedByKind.set(kind, targets)
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
    return others < minOtherTargets || failures * 2 <= others
  }

  removeTarget (targetId: string): void {
    for (const targets of this.latestFailedByKind.values()) targets.delete(targetId)
  }
}

import { type Clock } from './clock.js'

/** Time in milliseconds over which cancellations for one target are collected. */
const collectMs = 50

/** Sends the cancellations for each target in one message, at most one in each 50 ms. */
export class CancellationBatcher {
  private readonly batches = new Map<string, string[]>()
  private readonly timers = new Map<string, () => void>()

  /**
   * @param send - sends one batch to a target
   */
  constructor (private readonly clock: Clock, private readonly send: (targetId: string, taskIds: readonly string[]) => void) {}

  /** Adds one running attempt to the batch of its target. */
  add (targetId: string, taskId: string): void {
    const batch = this.batches.get(targetId)
    if (batch !== undefined) {
      batch.push(taskId)
      return
    }
    this.batches.set(targetId, [taskId])
    this.timers.set(targetId, this.clock.startTimer(collectMs, () => { this.flush(targetId) }))
  }

  /** Drops an attempt that ended before its batch was sent. */
  remove (targetId: string, taskId: string): void {
    const batch = this.batches.get(targetId)
    const index = batch?.indexOf(taskId) ?? -1
    if (index >= 0) batch!.splice(index, 1)
  }

  /** Cancels the timers; batches that were not sent are dropped. */
  stop (): void {
    for (const cancelTimer of this.timers.values()) cancelTimer()
    this.timers.clear()
    this.batches.clear()
  }

  private flush (targetId: string): void {
    const batch = this.batches.get(targetId) ?? []
    this.batches.delete(targetId)
    this.timers.delete(targetId)
    if (batch.length > 0) this.send(targetId, batch)
  }
}

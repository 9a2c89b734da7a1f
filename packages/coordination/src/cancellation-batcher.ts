import { type Clock } from './clock.js'

/** Time in milliseconds for which cancellations for one target are collected before they are sent. */
const batchWindowMs = 50

/** Batches cancellations: sends each target at most one message every 50 ms. */
export class CancellationBatcher {
  private readonly batches = new Map<string, string[]>()
  private readonly timers = new Map<string, () => void>()

  /** @param send - sends one batch to a target */
  constructor (private readonly clock: Clock, private readonly send: (targetId: string, taskIds: readonly string[]) => void) {}

  /** Adds a running attempt to the next batch of its target. */
  add (targetId: string, taskId: string): void {
    const batch = this.batches.get(targetId)
    if (batch !== undefined) {
      batch.push(taskId)
      return
    }
    this.batches.set(targetId, [taskId])
    this.timers.set(targetId, this.clock.startTimer(batchWindowMs, () => { this.flush(targetId) }))
  }

  /** Removes an attempt that ended before its batch was sent. */
  remove (targetId: string, taskId: string): void {
    const batch = this.batches.get(targetId)
    const index = batch?.indexOf(taskId) ?? -1
    if (index >= 0) batch!.splice(index, 1)
  }

  /** Cancels the timers and drops all batches that have not been sent. */
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

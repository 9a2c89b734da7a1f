import { Clock } from '@sesamereel/coordination'
import { type RandomSource } from './random-source.js'

/** Notified of what the peers and callers of a process can observe of it. */
export interface ProcessObserver {
  readonly onPaused: () => void
  readonly onResumed: () => void
  /** The connections to the callers are reset; the process notices it when it handles its next messages. */
  readonly onCallersReset: () => void
  /** The connections to the callers are dead, and the process does not notice it. */
  readonly onCallersLost: () => void
  /** @param areConnectionsClosed - false when the connections only fall silent, as after a power loss */
  readonly onEnded: (areConnectionsClosed: boolean) => void
}

interface Work {
  readonly kind: 'timer' | 'message'
  readonly run: () => void
}

/** Rounding error in milliseconds of a due time. */
const timerToleranceMs = 0.001

/**
 * Clock and event loop of one emulated process. While the process is paused or stalled, its due timers
 * and incoming messages wait; afterwards the timers run first, as in Node.js. Its time advances but
 * while its machine is suspended.
 */
export class EmulatedProcess extends Clock {
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #observers = new Set<ProcessObserver>()
  #waitingWork: Work[] = []
  #isDrainScheduled = false
  #pauseCount = 0
  #maxStallMs = 0
  #stalledUntil = 0
  #hasEnded = false
  /** Time in milliseconds that the process's clock is behind, because it stood still while the machine was suspended. */
  #clockLagMs = 0
  /** Time at which the machine was suspended; undefined while it is not. */
  #suspendedAt: number | undefined
  /** Timers that came due by the time outside while the machine was suspended. */
  #suspendedTimers: Array<() => void> = []

  constructor (clock: Clock, random: RandomSource) {
    super()
    this.#clock = clock
    this.#random = random
  }

  get hasEnded (): boolean { return this.#hasEnded }

  get isPaused (): boolean { return this.#pauseCount > 0 }

  override now (): number {
    return (this.#suspendedAt ?? this.#clock.now()) - this.#clockLagMs
  }

  override readElapsed (): number {
    return this.#clock.now()
  }

  override startTimer (delayMs: number, callback: () => void): () => void {
    const dueAt = this.now() + delayMs
    let isCancelled = false
    let cancelTimer = (): void => {}
    const onDue = (): void => {
      if (isCancelled) return
      if (this.#suspendedAt !== undefined) this.#suspendedTimers.push(onDue)
      else if (this.now() < dueAt - timerToleranceMs) arm()
      else this.#accept({ kind: 'timer', run: () => { if (!isCancelled) callback() } })
    }
    const arm = (): void => { cancelTimer = this.#clock.startTimer(dueAt - this.now(), onDue) }
    arm()
    return () => {
      isCancelled = true
      cancelTimer()
    }
  }

  /** Handles a message, after those that wait already. */
  receive (callback: () => void): void {
    this.#accept({ kind: 'message', run: callback })
  }

  /** Pauses the process. @returns a function that ends this pause and no other */
  pause (): () => void {
    this.#pauseCount++
    if (this.#pauseCount === 1) for (const observer of [...this.#observers]) observer.onPaused()
    let isOver = false
    return () => {
      if (isOver) return
      isOver = true
      this.#resume()
    }
  }

  /**
   * Suspends the machine: the process is paused and its clock stands still. A machine that is suspended already stays so.
   *
   * @returns a function that ends this suspension
   */
  suspend (): () => void {
    if (this.#suspendedAt !== undefined) return () => {}
    this.#suspendedAt = this.#clock.now()
    const endPause = this.pause()
    return () => {
      if (this.#suspendedAt === undefined) return
      this.#clockLagMs += this.#clock.now() - this.#suspendedAt
      this.#suspendedAt = undefined
      const timers = this.#suspendedTimers
      this.#suspendedTimers = []
      endPause()
      for (const onDue of timers) onDue()
    }
  }

  /**
   * Makes the process stall again and again, as one that is short of processor time.
   *
   * @param maxStallMs - length of the longest stall in milliseconds; 0 ends the slowness
   */
  setSlowness (maxStallMs: number): void {
    this.#maxStallMs = maxStallMs
  }

  /** Resets the connections to the callers. */
  resetCallers (): void {
    for (const observer of [...this.#observers]) observer.onCallersReset()
  }

  /** Breaks the connections to the callers without notice to the process, as a reset does that a partition has swallowed. */
  loseCallers (): void {
    for (const observer of [...this.#observers]) observer.onCallersLost()
  }

  /** Ends the process: it runs nothing more. */
  end (areConnectionsClosed: boolean): void {
    this.#hasEnded = true
    this.#waitingWork = []
    for (const observer of [...this.#observers]) observer.onEnded(areConnectionsClosed)
  }

  /** @returns a function that removes the observer */
  addObserver (observer: ProcessObserver): () => void {
    this.#observers.add(observer)
    return () => { this.#observers.delete(observer) }
  }

  #resume (): void {
    this.#pauseCount--
    if (this.isPaused || this.#hasEnded) return
    for (const observer of [...this.#observers]) observer.onResumed()
    this.#scheduleDrain()
  }

  #accept (work: Work): void {
    if (this.#hasEnded) return
    const isIdle = this.#waitingWork.length === 0 && !this.isPaused && this.#clock.now() >= this.#stalledUntil
    if (isIdle && this.#maxStallMs > 0) this.#stalledUntil = this.#clock.now() + this.#random.pickInteger(0, this.#maxStallMs)
    if (isIdle && this.#clock.now() >= this.#stalledUntil) {
      work.run()
      return
    }
    this.#waitingWork.push(work)
    this.#scheduleDrain()
  }

  #scheduleDrain (): void {
    if (this.#isDrainScheduled || this.isPaused || this.#waitingWork.length === 0) return
    this.#isDrainScheduled = true
    this.#clock.startTimer(Math.max(0, this.#stalledUntil - this.#clock.now()), () => {
      this.#isDrainScheduled = false
      this.#runNext()
    })
  }

  /** Runs one piece of work; the pending microtasks run before the next one. */
  #runNext (): void {
    if (this.isPaused || this.#hasEnded) return
    const next = this.#waitingWork.find(work => work.kind === 'timer') ?? this.#waitingWork[0]
    if (next === undefined) return
    this.#waitingWork = this.#waitingWork.filter(work => work !== next)
    next.run()
    this.#scheduleDrain()
  }
}

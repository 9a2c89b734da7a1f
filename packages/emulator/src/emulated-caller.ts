import { type JobAnswer } from '@sesamereel/fleet'
import { type EmulatedFleet } from './emulated-fleet.js'

/** Time in milliseconds that a caller waits after its connection broke, or after an unknown answer, before it sends its job again. */
const resendDelayMs = 1_300

/** How often a caller sends its job again by default. */
const defaultMaxResends = 2

/** Range in milliseconds of the silence of an instance after which a caller gives its connection up. */
const minPatienceMs = 500
const maxPatienceMs = 3_000

/** Number of tasks of a job and the run time of each in milliseconds. */
export interface JobShape {
  readonly tasks: number
  readonly workMs: number
}

/** A caller that sends one job, and sends it again through any instance when its connection breaks or the answer is unknown. */
export class EmulatedCaller {
  readonly #fleet: EmulatedFleet
  readonly #shape: JobShape
  readonly #patienceMs: number
  readonly #maxResends: number
  #jobId: string | undefined
  #resendCount = 0

  /** @param maxResends - how often the caller sends its job again */
  constructor (fleet: EmulatedFleet, shape: JobShape, maxResends = defaultMaxResends) {
    this.#fleet = fleet
    this.#shape = shape
    this.#maxResends = maxResends
    this.#patienceMs = fleet.random.pickInteger(minPatienceMs, maxPatienceMs)
  }

  /** Number of times that the job was sent again. */
  get resendCount (): number { return this.#resendCount }

  /** Sends the job through an instance. @returns a function that abandons the job there */
  send (instance: string): () => void {
    const { process } = this.#fleet.instances.get(instance)!
    const submission = this.#fleet.submit(instance, this.#shape.tasks, this.#shape.workMs, this.#jobId)
    this.#jobId = submission.jobId
    let isOver = false
    let cancelPatience: (() => void) | undefined
    const finish = (): boolean => {
      const wasOpen = !isOver
      isOver = true
      cancelPatience?.()
      removeObserver()
      return wasOpen
    }
    const breakConnection = (): void => { if (finish()) this.#scheduleResend() }
    // An instance that is paused notices at its return that the caller has left.
    const leave = (): void => {
      submission.abandon()
      breakConnection()
    }
    const startPatience = (): void => { cancelPatience ??= this.#fleet.clock.startTimer(this.#patienceMs, leave) }
    const removeObserver = process.addObserver({
      onPaused: startPatience,
      onResumed: () => {
        cancelPatience?.()
        cancelPatience = undefined
      },
      onCallersReset: leave,
      onCallersLost: breakConnection,
      onEnded: areConnectionsClosed => {
        if (areConnectionsClosed) breakConnection()
        else startPatience()
      }
    })
    if (process.isPaused) startPatience()
    submission.answer.then(answer => { this.#receiveAnswer(answer, finish) }).catch(() => {})
    return () => {
      finish()
      submission.abandon()
    }
  }

  #receiveAnswer (answer: JobAnswer, finish: () => boolean): void {
    if (finish() && answer.kind === 'unknown') this.#scheduleResend()
  }

  #scheduleResend (): void {
    if (this.#resendCount === this.#maxResends) return
    this.#resendCount++
    const lostAt = this.#fleet.clock.now()
    this.#fleet.clock.startTimer(resendDelayMs, () => { this.#resend(lostAt) })
  }

  /** Sends the job again, as soon as there is an instance that takes connections. */
  #resend (lostAt: number): void {
    const instance = this.#fleet.random.pick([...this.#fleet.instances.keys()])
    if (instance === undefined) {
      this.#fleet.clock.startTimer(resendDelayMs, () => { this.#resend(lostAt) })
      return
    }
    this.#fleet.history.recordRepeat(this.#jobId!, lostAt)
    this.send(instance)
  }
}

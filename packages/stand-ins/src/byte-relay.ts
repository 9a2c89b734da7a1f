import { type Socket } from 'node:net'

/** Held bytes in one direction above which the sender is paused. */
const maxHeldBytes = 4 * 1024 * 1024

/** Timers have a resolution of 1 ms; half of it is delivered early rather than late. */
const timerToleranceMs = 0.5

interface HeldChunk {
  readonly deliverAt: number
  /** Undefined stands for the end of the stream. */
  readonly chunk: Buffer | undefined
}

/** Forwards the bytes of one direction of a connection, with a delay; can hold or discard them. */
export class ByteRelay {
  readonly #from: Socket
  readonly #to: Socket
  readonly #delayMs: number
  readonly #held: HeldChunk[] = []
  #heldBytes = 0
  #timer: NodeJS.Timeout | undefined
  #isBlocked = false
  #isSilent = false

  /**
   * @param from - socket whose bytes are forwarded
   * @param to - socket that receives them
   * @param delayMs - one-way delay in milliseconds
   */
  constructor (from: Socket, to: Socket, delayMs: number) {
    this.#from = from
    this.#to = to
    this.#delayMs = delayMs
    from.on('data', chunk => { this.#accept(chunk) })
    from.on('end', () => { this.#accept(undefined) })
    to.on('drain', () => { if (this.#heldBytes <= maxHeldBytes) from.resume() })
  }

  /**
   * Holds the bytes, or delivers the held ones and forwards again.
   *
   * @param isBlocked - whether to hold them
   */
  setBlocked (isBlocked: boolean): void {
    this.#isBlocked = isBlocked
    if (!isBlocked) this.#flush()
  }

  /** Discards the held bytes and all later ones. */
  setSilent (): void {
    this.#isSilent = true
    this.#held.length = 0
    this.#heldBytes = 0
    this.#from.resume()
  }

  /** Stops the timer; the caller closes the sockets. */
  close (): void {
    clearTimeout(this.#timer)
  }

  #accept (chunk: Buffer | undefined): void {
    if (this.#isSilent) return
    if (this.#delayMs === 0 && !this.#isBlocked && this.#held.length === 0) {
      this.#send(chunk)
      return
    }
    this.#held.push({ deliverAt: performance.now() + this.#delayMs, chunk })
    this.#heldBytes += chunk?.length ?? 0
    if (this.#heldBytes > maxHeldBytes) this.#from.pause()
    if (this.#held.length === 1) this.#flush()
  }

  #flush (): void {
    clearTimeout(this.#timer)
    if (this.#isBlocked || this.#isSilent) return
    const now = performance.now()
    while (this.#held.length > 0 && this.#held[0]!.deliverAt <= now + timerToleranceMs) {
      const { chunk } = this.#held.shift()!
      this.#heldBytes -= chunk?.length ?? 0
      this.#send(chunk)
    }
    if (this.#held.length > 0) this.#timer = setTimeout(() => { this.#flush() }, this.#held[0]!.deliverAt - now)
    else this.#from.resume()
  }

  #send (chunk: Buffer | undefined): void {
    if (this.#to.destroyed) return
    if (chunk === undefined) this.#to.end()
    else if (!this.#to.write(chunk)) this.#from.pause()
  }
}

/** A part of a sliding window. */
export interface WindowSlice {
  /** Number of the slice, counted from time 0. */
  readonly index: number
}

/** A sliding window of a fixed number of slices, which keeps only those in which something was recorded. */
export class SliceWindow<S extends WindowSlice> {
  readonly #sliceMs: number
  readonly #sliceCount: number
  readonly #createSlice: (index: number) => S
  readonly #onDropped: (slice: S) => void
  readonly #slices: S[] = []

  /**
   * @param sliceMs - length of a slice in milliseconds
   * @param sliceCount - number of slices in the window, with the present one
   * @param createSlice - creates an empty slice
   * @param onDropped - called for each slice that has left the window
   */
  constructor (sliceMs: number, sliceCount: number, createSlice: (index: number) => S, onDropped: (slice: S) => void = () => {}) {
    this.#sliceMs = sliceMs
    this.#sliceCount = sliceCount
    this.#createSlice = createSlice
    this.#onDropped = onDropped
  }

  /** The slices in which something was recorded, the oldest first. */
  get slices (): readonly S[] { return this.#slices }

  /**
   * Finds the slice in which to record, and drops those that have left the window.
   *
   * @param now - monotonic time in milliseconds
   * @returns the slice of this time
   */
  findCurrent (now: number): S {
    this.expire(now)
    const index = Math.floor(now / this.#sliceMs)
    const latest = this.#slices.at(-1)
    if (latest?.index === index) return latest
    const slice = this.#createSlice(index)
    this.#slices.push(slice)
    return slice
  }

  /** Drops the slices that have left the window. */
  expire (now: number): void {
    const oldest = Math.floor(now / this.#sliceMs) - this.#sliceCount
    while (this.#slices.length > 0 && this.#slices[0]!.index <= oldest) this.#onDropped(this.#slices.shift()!)
  }
}

import { build, type Histogram } from 'hdr-histogram-js'

/** One job as a load client saw it. */
export interface JobSample {
  /** Planned arrival in milliseconds from the start of the load. */
  readonly arrivalMs: number
  /** From the planned arrival to the answer, in milliseconds. */
  readonly responseMs: number
  readonly idealMs: number
  readonly customer: string
  readonly tasks: number
  /** `complete`, or another class with the result code, such as `failed 402`. */
  readonly outcome: string
}

/** Statistics of a set of values. */
export interface Summary {
  readonly count: number
  readonly mean: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

/** Values are kept as whole thousandths with three significant digits. */
const scale = 1_000

/**
 * Creates a histogram of values up to 10 million.
 *
 * @returns an empty histogram, to be filled by `recordValue`
 */
export function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e10, numberOfSignificantValueDigits: 3 })
}

/**
 * Records a value that is not negative.
 */
export function recordValue (histogram: Histogram, value: number): void {
  histogram.recordValue(Math.round(value * scale))
}

/**
 * Summarizes values.
 *
 * @param values - values that are not negative
 * @returns their statistics; all zero when there are none
 */
export function computeSummary (values: Iterable<number>): Summary {
  const histogram = createHistogram()
  for (const value of values) recordValue(histogram, value)
  return {
    count: histogram.totalCount,
    mean: histogram.totalCount === 0 ? 0 : histogram.mean / scale,
    p50: histogram.getValueAtPercentile(50) / scale,
    p99: histogram.getValueAtPercentile(99) / scale,
    max: histogram.maxValue / scale
  }
}

/**
 * Counts samples by outcome.
 *
 * @returns outcomes with their number, most frequent first
 */
export function countOutcomes (samples: readonly JobSample[]): Readonly<Record<string, number>> {
  const counts = new Map<string, number>()
  for (const { outcome } of samples) counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
  return Object.fromEntries([...counts].sort((a, b) => b[1] - a[1]))
}

/**
 * Counts complete answers in each second of the load.
 *
 * @param seconds - length of the load
 * @returns one number for each second, by the time of the answer
 */
export function countAnswersBySecond (samples: readonly JobSample[], seconds: number): readonly number[] {
  const bins = Array.from({ length: seconds }, () => 0)
  for (const { arrivalMs, responseMs, outcome } of samples) {
    const second = Math.floor((arrivalMs + responseMs) / 1_000)
    if (outcome === 'complete' && second < seconds) bins[second]!++
  }
  return bins
}

/**
 * Computes how long the throughput stays below 90% after a fault has ended.
 *
 * @param bins - answers in each second
 * @param from - first second of the normal operation before the fault
 * @param fault - seconds at which the fault began and ended
 * @returns seconds from the end of the fault to the first three seconds in a row whose mean is at
 *   least 90% of the mean before the fault; undefined when there are none
 */
export function computeRecoverySeconds (bins: readonly number[], from: number, fault: { readonly from: number, readonly to: number }): number | undefined {
  const before = bins.slice(from, fault.from)
  const normal = before.reduce((sum, count) => sum + count, 0) / Math.max(1, before.length)
  for (let second = Math.ceil(fault.to); second + 3 <= bins.length; second++) {
    const mean = (bins[second]! + bins[second + 1]! + bins[second + 2]!) / 3
    if (mean >= 0.9 * normal) return second - Math.ceil(fault.to)
  }
  return undefined
}

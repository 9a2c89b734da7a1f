import { build, type Histogram } from 'hdr-histogram-js'

/** Result of one job, as measured by a load client. */
export interface JobSample {
  /** Planned arrival in milliseconds from the start of the load. */
  readonly arrivalMs: number
  /**
   * Time from the planned arrival to the answer in milliseconds; for a pending job, until
   * the client stops waiting; 0 after an error of the client.
   */
  readonly responseMs: number
  /** Lower bound of the response time in milliseconds. */
  readonly idealMs: number
  readonly customer: string
  /** Number of tasks. */
  readonly tasks: number
  /** `complete`, or another class of outcome, with an error code if there is one, such as `failed 402`. */
  readonly outcome: string
}

/** Summary statistics of a set of values. */
export interface Summary {
  readonly count: number
  readonly mean: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

/** Histograms store values as integers in thousandths, with three significant digits. */
const histogramScale = 1_000

/**
 * Creates a histogram for values up to 10 million.
 *
 * @returns an empty histogram, to be filled with `recordValue`
 */
export function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e10, numberOfSignificantValueDigits: 3 })
}

/**
 * Adds a value to a histogram.
 *
 * @param value - a value that is not negative
 */
export function recordValue (histogram: Histogram, value: number): void {
  histogram.recordValue(Math.round(value * histogramScale))
}

/**
 * Computes summary statistics.
 *
 * @param values - values that are not negative
 * @returns the statistics; all zero without values
 */
export function computeSummary (values: Iterable<number>): Summary {
  const histogram = createHistogram()
  for (const value of values) recordValue(histogram, value)
  return {
    count: histogram.totalCount,
    mean: histogram.totalCount === 0 ? 0 : histogram.mean / histogramScale,
    p50: histogram.getValueAtPercentile(50) / histogramScale,
    p99: histogram.getValueAtPercentile(99) / histogramScale,
    max: histogram.maxValue / histogramScale
  }
}

/**
 * Counts samples by outcome.
 *
 * @returns the number of samples of each outcome, most frequent first
 */
export function countOutcomes (samples: readonly JobSample[]): Readonly<Record<string, number>> {
  const counts = new Map<string, number>()
  for (const { outcome } of samples) counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
  return Object.fromEntries([...counts].sort((a, b) => b[1] - a[1]))
}

/**
 * Counts complete answers in each second of the load.
 *
 * @param seconds - length of the load in seconds
 * @returns one count for each second, by the time of the answer; later answers are left out
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
 * Computes how long after the end of a fault the throughput takes to reach 90% again.
 *
 * @param answersBySecond - number of answers in each second
 * @param baselineFrom - first second of the normal operation before the fault
 * @param fault - seconds at which the fault began and ended
 * @returns seconds from the end of the fault to the first three consecutive seconds whose mean is at
 *   least 90% of the mean before the fault; undefined if there are none
 */
export function computeRecoverySeconds (answersBySecond: readonly number[], baselineFrom: number, fault: { readonly from: number, readonly to: number }): number | undefined {
  const baseline = answersBySecond.slice(baselineFrom, fault.from)
  const baselineMean = baseline.reduce((sum, count) => sum + count, 0) / Math.max(1, baseline.length)
  for (let second = Math.ceil(fault.to); second + 3 <= answersBySecond.length; second++) {
    const mean = (answersBySecond[second]! + answersBySecond[second + 1]! + answersBySecond[second + 2]!) / 3
    if (mean >= 0.9 * baselineMean) return second - Math.ceil(fault.to)
  }
  return undefined
}

/** One sample of the Prometheus text format: a metric name, its labels and the value. */
export interface MetricSample {
  readonly name: string
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

/**
 * Parses metrics in the Prometheus text format. Comments and lines that are not samples are skipped.
 *
 * @returns the samples in the order of the lines
 */
export function parseMetrics (text: string): readonly MetricSample[] {
  return text.split('\n').flatMap(line => {
    const match = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/.exec(line)
    if (match === null) return []
    const labels: Record<string, string> = {}
    for (const [, name, value] of (match[2] ?? '').matchAll(/(\w+)="((?:[^"\\]|\\.)*)"/g)) labels[name!] = value!
    return [{ name: match[1]!, labels, value: Number(match[3]) }]
  })
}

/**
 * Sums the samples of a metric that have the given labels.
 *
 * @param samples - parsed metrics
 * @param name - name of the metric
 * @param labels - label values that a sample must have; other labels are ignored
 * @returns the sum; 0 without a matching sample
 */
export function sumMetric (samples: readonly MetricSample[], name: string, labels: Readonly<Record<string, string>> = {}): number {
  const requiredLabels = Object.entries(labels)
  return samples
    .filter(sample => sample.name === name && requiredLabels.every(([label, value]) => sample.labels[label] === value))
    .reduce((sum, sample) => sum + sample.value, 0)
}

/**
 * Sums the samples of a metric, grouped by label values.
 *
 * @param labels - names of the labels to group by
 * @returns sums by the label values joined by spaces
 */
export function sumMetricBy (samples: readonly MetricSample[], name: string, labels: readonly string[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>()
  for (const sample of samples) {
    if (sample.name !== name) continue
    const group = labels.map(label => sample.labels[label] ?? '').join(' ')
    sums.set(group, (sums.get(group) ?? 0) + sample.value)
  }
  return sums
}

/** One time series of a text in the format of Prometheus. */
export interface MetricSample {
  readonly name: string
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

/**
 * Parses metrics in the text format of Prometheus; comments are passed over.
 *
 * @returns the samples in the order of the text
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
 * Sums the samples of a metric.
 *
 * @param samples - parsed metrics
 * @param name - name of the metric
 * @param labels - labels that a sample must have
 * @returns the sum; 0 when there are none
 */
export function sumMetric (samples: readonly MetricSample[], name: string, labels: Readonly<Record<string, string>> = {}): number {
  const wanted = Object.entries(labels)
  return samples
    .filter(sample => sample.name === name && wanted.every(([label, value]) => sample.labels[label] === value))
    .reduce((sum, sample) => sum + sample.value, 0)
}

/**
 * Sums the samples of a metric by the values of some labels.
 *
 * @returns sums by the values, joined by spaces
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

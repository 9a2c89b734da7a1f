/** Values of the fields of a log line. */
export type LogValue = string | number | boolean

/** One line of an instance's log. */
export interface LogLine {
  /** Unix time in milliseconds. */
  readonly at: number
  readonly instance: string
  readonly event: string
  /** All other fields. */
  readonly fields: Readonly<Record<string, LogValue>>
}

/** Time in milliseconds before a job's first line from which context lines are also shown. */
const contextBeforeMs = 1_000

/** Events about an instance as a whole, shown for every instance that logged a line of the job. */
const instanceEvents: ReadonlySet<string> = new Set(['started', 'stop-begins', 'stop-ends', 'lines-left-out', 'store-lost', 'store-regained', 'unexpected-error'])

/**
 * Parses one line of a log; a prefix that a log collector added before the JSON is skipped.
 *
 * @returns the line, or undefined when an instance did not write it
 */
export function parseLogLine (text: string): LogLine | undefined {
  const begin = text.indexOf('{')
  if (begin < 0) return undefined
  let parsed: unknown
  try {
    parsed = JSON.parse(text.slice(begin))
  } catch {
    // Other programs may write to the same log; their lines are skipped.
    return undefined
  }
  const { time, event, instance, ...fields } = parsed as Readonly<Record<string, LogValue>>
  const at = typeof time === 'string' ? Date.parse(time) : NaN
  if (Number.isNaN(at) || typeof event !== 'string' || typeof instance !== 'string') return undefined
  return { at, event, instance, fields }
}

/**
 * Selects the lines about a job, and the lines about its instances, domains and targets from
 * 1 s before its first line until its last. Lines about other jobs are left out.
 *
 * @returns the lines in order of time; empty when no line names the job
 */
export function selectJobLines (lines: readonly LogLine[], jobId: string): readonly LogLine[] {
  const own = lines.filter(line => isAboutJob(line, jobId)).sort(compareLines)
  if (own.length === 0) return []
  const from = own[0]!.at - contextBeforeMs
  const until = own.at(-1)!.at
  const instances = new Set(own.map(line => line.instance))
  const domains = collectValues(own, ['domain', 'from', 'to'])
  const targets = collectValues(own, ['target'])
  const isContext = (line: LogLine): boolean => {
    const { job, task, target, domain } = line.fields
    if (line.at < from || line.at > until || job !== undefined || task !== undefined) return false
    if (instanceEvents.has(line.event)) return instances.has(line.instance)
    if (target !== undefined) return targets.has(String(target))
    return domain !== undefined && domains.has(String(domain))
  }
  return lines.filter(line => isAboutJob(line, jobId) || isContext(line)).sort(compareLines)
}

/** @returns whether a line is about the job or one of its tasks */
export function isAboutJob (line: LogLine, jobId: string): boolean {
  const { job, task } = line.fields
  return job === jobId || (typeof task === 'string' && task.startsWith(`${jobId}.`))
}

function collectValues (lines: readonly LogLine[], names: readonly string[]): ReadonlySet<string> {
  return new Set(lines.flatMap(line => names.flatMap(name => line.fields[name] === undefined ? [] : [String(line.fields[name])])))
}

function compareLines (a: LogLine, b: LogLine): number {
  return a.at - b.at
}

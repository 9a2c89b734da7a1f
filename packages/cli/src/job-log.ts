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

/** Time in milliseconds before a job's first line from which lines about its domains are shown. */
const contextMs = 1_000

/** Events that are shown for the job's own instances, whatever they are about. */
const lifeEvents: ReadonlySet<string> = new Set(['started', 'stop-begins', 'stop-ends', 'lines-left-out', 'store-lost', 'store-regained', 'unexpected-error'])

/**
 * Parses a line of a log; a prefix that a collector has put before the JSON is skipped.
 *
 * @returns undefined when it is no line of an instance
 */
export function parseLogLine (text: string): LogLine | undefined {
  const begin = text.indexOf('{')
  if (begin < 0) return undefined
  let parsed: unknown
  try {
    parsed = JSON.parse(text.slice(begin))
  } catch {
    // Other programs write to the same logs; their lines are none of ours.
    return undefined
  }
  const { time, event, instance, ...fields } = parsed as Readonly<Record<string, LogValue>>
  const at = typeof time === 'string' ? Date.parse(time) : NaN
  if (Number.isNaN(at) || typeof event !== 'string' || typeof instance !== 'string') return undefined
  return { at, event, instance, fields }
}

/**
 * Selects the lines that tell a job's way: its own, and what its instances, domains and targets
 * went through meanwhile.
 *
 * @returns the lines in order of time; empty when no line names the job
 */
export function selectJobLines (lines: readonly LogLine[], jobId: string): readonly LogLine[] {
  const own = lines.filter(line => isAboutJob(line, jobId)).sort(compareLines)
  if (own.length === 0) return []
  const from = own[0]!.at - contextMs
  const until = own.at(-1)!.at
  const instances = new Set(own.map(line => line.instance))
  const domains = collectValues(own, ['domain', 'from', 'to'])
  const targets = collectValues(own, ['target'])
  const isContext = (line: LogLine): boolean => {
    const { job, task, target, domain } = line.fields
    if (line.at < from || line.at > until || job !== undefined || task !== undefined) return false
    if (lifeEvents.has(line.event)) return instances.has(line.instance)
    if (target !== undefined) return targets.has(String(target))
    return domain !== undefined && domains.has(String(domain))
  }
  return lines.filter(line => isAboutJob(line, jobId) || isContext(line)).sort(compareLines)
}

/** @returns whether a line is about the job itself */
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

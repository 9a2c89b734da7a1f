import { type ClientCounts } from '@sesamereel/cli'
import { type MetricSample, sumMetricBy } from './load-metrics.js'

/** Counter of the requests that an instance sent, by service, operation and outcome. */
const exchangeMetric = 'sesamereel_messages_total'

/** Messages of one run; a message is a request together with its reply. */
export interface MessageReport {
  /** Work that contributed to an answer. */
  readonly useful: Readonly<Record<string, number>>
  /** Work sent, repeated or cancelled that never contributed to an answer. */
  readonly wasted: Readonly<Record<string, number>>
  /** Messages that carry no work, for each answer. */
  readonly overheadPerAnswer: Readonly<Record<string, number>>
  /** Wasted ÷ (useful + wasted). */
  readonly wastedPart: number
}

/** What the bench collected about one run. */
export interface MessageInput {
  /** Records of all targets during the measured time. */
  readonly records: ReadonlyArray<Readonly<Record<string, unknown>>>
  /** Differences of the metrics of all instances over the measured time. */
  readonly messageCounts: ReadonlyMap<string, number>
  readonly clients: ClientCounts
  readonly answers: number
}

/**
 * Sums the requests of an instance by service, operation and outcome.
 *
 * @returns sums by the three labels joined by spaces
 */
export function countMessages (samples: readonly MetricSample[]): ReadonlyMap<string, number> {
  return sumMetricBy(samples, exchangeMetric, ['service', 'operation', 'outcome'])
}

/**
 * Sorts the messages of a run into useful, wasted and overhead.
 *
 * @returns the report
 */
export function classifyMessages ({ records, messageCounts: exchanges, clients, answers }: MessageInput): MessageReport {
  const starts = new Map<string, number>()
  const refused = new Map<string, number>()
  let cancelled = 0
  for (const { kind, tag, reason, outcome } of records) {
    if (kind === 'start') starts.set(String(tag), (starts.get(String(tag)) ?? 0) + 1)
    if (kind === 'refused') refused.set(String(reason), (refused.get(String(reason)) ?? 0) + 1)
    if (kind === 'end' && outcome === 'cancelled') cancelled++
  }
  const total = [...starts.values()].reduce((sum, count) => sum + count, 0)
  const repeated = total - starts.size
  const leaving = refused.get('leaving') ?? 0
  const guards = [...refused.values()].reduce((sum, count) => sum + count, 0) - leaving
  const exchange = (service: string, operation: string, outcomes: readonly string[]): number => outcomes.reduce((sum, outcome) => sum + (exchanges.get(`${service} ${operation} ${outcome}`) ?? 0), 0)
  const wasted = {
    refusedByGuard: guards,
    sentToLeavingTarget: leaving,
    startsWithoutReply: exchange('target', 'start', ['lost']),
    startedAgain: repeated,
    cancelledAfterSending: cancelled,
    targetQueries: ['query', 'delete', 'cancel'].reduce((sum, operation) => sum + exchange('target', operation, ['replied', 'lost']), 0),
    resubmittedByClient: clients.resubmit
  }
  const useful = { submissions: Math.min(clients.submit, answers), starts: Math.max(0, starts.size - cancelled) }
  const sum = (counts: Readonly<Record<string, number>>): number => Object.values(counts).reduce((all, count) => all + count, 0)
  const perAnswer = (count: number): number => answers === 0 ? 0 : count / answers
  const overhead: Record<string, number> = {
    'client keys': perAnswer(clients.askKeys),
    'client waits': perAnswer(clients.wait)
  }
  for (const [name, count] of exchanges) {
    const [service, operation, outcome] = name.split(' ')
    const isWork = service === 'target' && operation !== 'status'
    if (!isWork && outcome !== 'not-sent') overhead[`${service} ${operation}`] = (overhead[`${service} ${operation}`] ?? 0) + perAnswer(count)
  }
  const all = sum(useful) + sum(wasted)
  return { useful, wasted, overheadPerAnswer: overhead, wastedPart: all === 0 ? 0 : sum(wasted) / all }
}

/**
 * Subtracts earlier sums from later ones.
 *
 * @returns the differences; a counter that fell was restarted and counts from zero
 */
export function subtractCounts (later: ReadonlyMap<string, number>, earlier: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  return new Map([...later].map(([name, count]) => {
    const before = earlier.get(name) ?? 0
    return [name, count >= before ? count - before : count]
  }))
}

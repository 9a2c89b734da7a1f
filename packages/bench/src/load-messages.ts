import { type ClientCounts } from '@sesamereel/cli'
import { type MetricSample, sumMetricBy } from './load-metrics.js'

/** Counter of the requests that an instance makes, by service, operation and outcome. */
const messagesMetric = 'sesamereel_messages_total'

/** Messages of one run by their use. A message is a request together with its reply. */
export interface MessageReport {
  /** Counts of messages whose work contributed to an answer. */
  readonly useful: Readonly<Record<string, number>>
  /** Counts of messages whose work was refused, lost, repeated or cancelled and did not contribute to an answer. */
  readonly wasted: Readonly<Record<string, number>>
  /** Messages that carry no work, per answer. */
  readonly overheadPerAnswer: Readonly<Record<string, number>>
  /** Fraction wasted ÷ (useful + wasted). */
  readonly wastedPart: number
}

/** Data collected in one run, from which its messages are classified. */
export interface MessageInput {
  /** Records of all targets within the measured time. */
  readonly records: ReadonlyArray<Readonly<Record<string, unknown>>>
  /** Messages of all instances within the measured time, by service, operation and outcome joined by spaces. */
  readonly messageCounts: ReadonlyMap<string, number>
  readonly clients: ClientCounts
  readonly answers: number
}

/**
 * Counts the messages of an instance by service, operation and outcome.
 *
 * @returns counts by the three label values joined by spaces
 */
export function countMessages (samples: readonly MetricSample[]): ReadonlyMap<string, number> {
  return sumMetricBy(samples, messagesMetric, ['service', 'operation', 'outcome'])
}

/**
 * Classifies the messages of a run as useful, wasted or overhead.
 */
export function classifyMessages ({ records, messageCounts, clients, answers }: MessageInput): MessageReport {
  const startsByTag = new Map<string, number>()
  const refusalsByReason = new Map<string, number>()
  let cancelled = 0
  for (const { kind, tag, reason, outcome } of records) {
    if (kind === 'start') startsByTag.set(String(tag), (startsByTag.get(String(tag)) ?? 0) + 1)
    if (kind === 'refused') refusalsByReason.set(String(reason), (refusalsByReason.get(String(reason)) ?? 0) + 1)
    if (kind === 'end' && outcome === 'cancelled') cancelled++
  }
  const startCount = [...startsByTag.values()].reduce((sum, count) => sum + count, 0)
  const startedAgain = startCount - startsByTag.size
  const sentToLeavingTarget = refusalsByReason.get('leaving') ?? 0
  const refusedByGuard = [...refusalsByReason.values()].reduce((sum, count) => sum + count, 0) - sentToLeavingTarget
  const countOutcomes = (service: string, operation: string, outcomes: readonly string[]): number => outcomes.reduce((sum, outcome) => sum + (messageCounts.get(`${service} ${operation} ${outcome}`) ?? 0), 0)
  const wasted = {
    refusedByGuard,
    sentToLeavingTarget,
    startsWithoutReply: countOutcomes('target', 'start', ['lost']),
    startedAgain,
    cancelledAfterSending: cancelled,
    targetQueries: ['query', 'delete', 'cancel'].reduce((sum, operation) => sum + countOutcomes('target', operation, ['replied', 'lost']), 0),
    resubmittedByClient: clients.resubmit
  }
  const useful = { submissions: Math.min(clients.submit, answers), starts: Math.max(0, startsByTag.size - cancelled) }
  const sum = (counts: Readonly<Record<string, number>>): number => Object.values(counts).reduce((total, count) => total + count, 0)
  const perAnswer = (count: number): number => answers === 0 ? 0 : count / answers
  const overheadPerAnswer: Record<string, number> = {
    'client keys': perAnswer(clients.askKeys),
    'client waits': perAnswer(clients.wait)
  }
  for (const [name, count] of messageCounts) {
    const [service, operation, outcome] = name.split(' ')
    const carriesWork = service === 'target' && operation !== 'status'
    if (!carriesWork && outcome !== 'not-sent') overheadPerAnswer[`${service} ${operation}`] = (overheadPerAnswer[`${service} ${operation}`] ?? 0) + perAnswer(count)
  }
  const workMessages = sum(useful) + sum(wasted)
  return { useful, wasted, overheadPerAnswer, wastedPart: workMessages === 0 ? 0 : sum(wasted) / workMessages }
}

/**
 * Subtracts earlier counter values from later ones.
 *
 * @returns the differences; a counter that decreased was reset and counts from zero
 */
export function subtractCounts (later: ReadonlyMap<string, number>, earlier: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  return new Map([...later].map(([name, count]) => {
    const before = earlier.get(name) ?? 0
    return [name, count >= before ? count - before : count]
  }))
}

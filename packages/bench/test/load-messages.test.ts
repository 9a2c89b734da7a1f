import { test } from 'node:test'
import assert from 'node:assert/strict'
import { classifyMessages, countMessages, subtractCounts } from '../src/load-messages.js'
import { computeSlotUsage } from '../src/load-slot-usage.js'
import { parseMetrics, sumMetric } from '../src/load-metrics.js'

const metrics = `# HELP sesamereel_messages_total Requests
sesamereel_messages_total{service="target",operation="start",outcome="replied"} 12
sesamereel_messages_total{service="target",operation="start",outcome="lost"} 1
sesamereel_messages_total{service="target",operation="query",outcome="replied"} 2
sesamereel_messages_total{service="peer",operation="heartbeat",outcome="replied"} 20
sesamereel_messages_total{service="peer",operation="heartbeat",outcome="not-sent"} 5
process_cpu_seconds_total 1.5
`

// Guards against misread counters, which would make every ratio wrong without an error.
test('metrics are parsed, and subtracted by label values', () => {
  const samples = parseMetrics(metrics)
  assert.equal(sumMetric(samples, 'process_cpu_seconds_total'), 1.5)
  assert.equal(sumMetric(samples, 'sesamereel_messages_total', { service: 'target' }), 15)
  const messageCounts = countMessages(samples)
  assert.equal(messageCounts.get('target start replied'), 12)
  assert.deepEqual(subtractCounts(messageCounts, new Map([['target start replied', 10], ['peer heartbeat replied', 30]])).get('target start replied'), 2)
  assert.equal(subtractCounts(messageCounts, new Map([['peer heartbeat replied', 30]])).get('peer heartbeat replied'), 20)
})

// Guards against wasted messages that are counted as useful work, or not at all.
test('each kind of wasted message is counted once', () => {
  const start = (tag: string): Record<string, unknown> => ({ kind: 'start', tag })
  const report = classifyMessages({
    records: [
      start('a'), start('b'), start('b'), start('c'),
      { kind: 'refused', tag: 'd', reason: 'slots' }, { kind: 'refused', tag: 'd', reason: 'leaving' },
      { kind: 'end', outcome: 'succeeded' }, { kind: 'end', outcome: 'cancelled' }
    ],
    messageCounts: countMessages(parseMetrics(metrics)),
    clients: { askKeys: 4, submit: 3, resubmit: 1, wait: 2, cancel: 0, lost: 1 },
    answers: 2
  })
  assert.deepEqual(report.wasted, {
    refusedByGuard: 1, sentToLeavingTarget: 1, startsWithoutReply: 1, startedAgain: 1, cancelledAfterSending: 1, targetQueries: 2, resubmittedByClient: 1
  })
  assert.deepEqual(report.useful, { submissions: 2, starts: 2 })
  assert.equal(report.wastedPart, 8 / 12)
  assert.deepEqual(report.overheadPerAnswer, { 'client keys': 2, 'client waits': 1, 'peer heartbeat': 10 })
})

// Guards against slot usage that includes time outside the measured time, or uses the wrong target speed.
test('slot usage covers only the measured time', () => {
  const records = [
    { kind: 'start', target: 'a', id: '1', at: 0 }, { kind: 'end', target: 'a', id: '1', at: 150 },
    { kind: 'start', target: 'b', id: '2', at: 180 }, { kind: 'end', target: 'b', id: '2', at: 400 }
  ]
  const usage = computeSlotUsage(records, new Map([['a', 1], ['b', 0.5]]), 1, { from: 100, to: 200 })
  assert.deepEqual(usage, { busy: 0.35, work: 60 / 150, meanSpeed: 60 / 70, capacitySpeed: 0.75 })
})

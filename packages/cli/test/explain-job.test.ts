import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { explainJobOutcome, type JobExplanation } from '../src/job-explanation.js'
import { type LogLine, parseLogLine, selectJobLines } from '../src/job-log.js'

/** Lines of a played day (scale-1 of kalibra-sched), with lines of other jobs between them. */
const logDirectory = join(import.meta.dirname, '../../test/logs')

async function readLines (name: string): Promise<readonly LogLine[]> {
  const text = await readFile(join(logDirectory, `${name}.jsonl`), 'utf8')
  return text.split('\n').map(parseLogLine).filter(line => line !== undefined)
}

async function explain (name: string, jobId: string): Promise<JobExplanation> {
  return explainJobOutcome(selectJobLines(await readLines(name), jobId), jobId)
}

function createLine (at: number, event: string, fields: LogLine['fields']): LogLine {
  return { at, instance: 'edge-1', event, fields }
}

// These replay the three paths of docs/OPERATIONS.md from a request's id to its cause.
describe('the way of a job through the logs', () => {
  it('leads from a refused request to the queue that it waited in', async () => {
    assert.deepEqual(await explain('rejected', 'f689c3fde5fe3535'), {
      outcome: 'rejected',
      cause: 'overload: the job waited 416 ms at edge-brugge-a-1 without a start, beside 6 other jobs, and could be of no use any more'
    })
  })

  it('leads from a request without an outcome to the lost dispatcher', async () => {
    assert.deepEqual(await explain('unknown', '6a28b51e4feb168a'), {
      outcome: 'unknown',
      cause: 'no dispatcher was connected in time; edge-gent-a-3 had lost the dispatcher edge-gent-b-3 of gent-b (ECONNRESET)'
    })
  })

  it('leads from a late request to the target that stood still', async () => {
    assert.deepEqual(await explain('late', '6dfcb9c5a591bd74'), {
      outcome: 'late',
      cause: '468 ms over the objective: run-stalled of 6dfcb9c5a591bd74.0.0.0 at i-6c9c82da87'
    })
  })

  it('shows what the instances, domains and targets of the job went through, and no other job', async () => {
    const lines = selectJobLines(await readLines('unknown'), '6a28b51e4feb168a')
    assert.ok(lines.some(line => line.event === 'dispatcher-lost' && line.fields.domain === 'gent-b'))
    assert.ok(lines.every(line => line.fields.job === undefined || line.fields.job === '6a28b51e4feb168a'))
    assert.deepEqual(lines.map(line => line.at), lines.map(line => line.at).toSorted((a, b) => a - b))
  })
})

describe('the cause of an outcome', () => {
  const submitted = createLine(100, 'job-submitted', { job: 'j', domain: 'a' })

  it('is the end of the instance when it wrote no answer and started again', () => {
    const lines = [submitted, createLine(900, 'started', {}), { ...createLine(950, 'job-dropped', { job: 'j', reason: 'owner lost' }), instance: 'edge-2' }]
    assert.deepEqual(explainJobOutcome(lines, 'j'), { outcome: 'no-answer', cause: 'edge-1, which took the job, ended and started again before it answered; the dispatcher dropped the job: owner lost' })
  })

  it('is the prediction when the dispatcher rejected the job at once', () => {
    const lines = [submitted, createLine(101, 'job-rejected', { job: 'j', reason: 'overloaded', predictedMs: 2_085, usefulMs: 1_919, queued: 61, rate: 118_833 }), createLine(102, 'job-answered', { job: 'j', answer: 'rejected', reason: 'overloaded' })]
    assert.match(explainJobOutcome(lines, 'j').cause, /expected the answer in 2085 ms, and it was of use for 1919 ms; 61 jobs were queued/)
  })

  it('is the wait for room when a late job was not repeated', () => {
    const lines = [submitted, createLine(400, 'task-start', { job: 'j', task: 'j.0.0.0', waitedMs: 300, slowness: 1 }), createLine(600, 'job-answered', { job: 'j', answer: 'completed', ageMs: 500, objectiveMs: 200 })]
    assert.equal(explainJobOutcome(lines, 'j').cause, '300 ms over the objective: a task waited 300 ms for room')
  })
})

describe('a line of a log', () => {
  it('is read with the prefix of a collector, and other text is skipped', () => {
    assert.deepEqual(parseLogLine('12.5 edge-1 {"time":"2026-01-07T22:43:41.814Z","event":"started","instance":"edge-1","upMs":58}'), { at: Date.parse('2026-01-07T22:43:41.814Z'), instance: 'edge-1', event: 'started', fields: { upMs: 58 } })
    assert.equal(parseLogLine('(node:1) Warning: {broken'), undefined)
    assert.equal(parseLogLine('{"level":"info"}'), undefined)
  })
})

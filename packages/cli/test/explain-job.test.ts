import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { explainJobOutcome, type JobExplanation } from '../src/job-explanation.js'
import { type LogLine, parseLogLine, selectJobLines } from '../src/job-log.js'

/** Log excerpts of a simulated day (scenario scale-1 of kalibra-sched), with lines of other jobs among them. */
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

// Follows the three paths from a job id to a cause that docs/OPERATIONS.md describes.
describe('explanation of a job from the logs', () => {
  it('explains a rejected job by its wait in the queue', async () => {
    assert.deepEqual(await explain('rejected', 'f689c3fde5fe3535'), {
      outcome: 'rejected',
      cause: 'overload: the job waited 416 ms at edge-brugge-a-1 without a start, beside 6 other jobs, and could be of no use any more'
    })
  })

  it('explains an unknown outcome by the lost dispatcher', async () => {
    assert.deepEqual(await explain('unknown', '6a28b51e4feb168a'), {
      outcome: 'unknown',
      cause: 'no dispatcher was connected in time; edge-gent-a-3 had lost the dispatcher edge-gent-b-3 of gent-b (ECONNRESET)'
    })
  })

  it('explains a late job by the stalled run and its target', async () => {
    assert.deepEqual(await explain('late', '6dfcb9c5a591bd74'), {
      outcome: 'late',
      cause: '468 ms over the objective: run-stalled of 6dfcb9c5a591bd74.0.0.0 at i-6c9c82da87'
    })
  })

  it('selects lines about the instances, domains and targets of the job, and none about other jobs', async () => {
    const lines = selectJobLines(await readLines('unknown'), '6a28b51e4feb168a')
    assert.ok(lines.some(line => line.event === 'dispatcher-lost' && line.fields.domain === 'gent-b'))
    assert.ok(lines.every(line => line.fields.job === undefined || line.fields.job === '6a28b51e4feb168a'))
    assert.deepEqual(lines.map(line => line.at), lines.map(line => line.at).toSorted((a, b) => a - b))
  })
})

describe('cause of an outcome', () => {
  const submitted = createLine(100, 'job-submitted', { job: 'j', domain: 'a' })

  it('is the restart of the instance when no answer was logged', () => {
    const lines = [submitted, createLine(900, 'started', {}), { ...createLine(950, 'job-dropped', { job: 'j', reason: 'owner lost' }), instance: 'edge-2' }]
    assert.deepEqual(explainJobOutcome(lines, 'j'), { outcome: 'no-answer', cause: 'edge-1, which took the job, ended and started again before it answered; the dispatcher dropped the job: owner lost' })
  })

  it('is the predicted answer time when the dispatcher rejected the job at once', () => {
    const lines = [submitted, createLine(101, 'job-rejected', { job: 'j', reason: 'overloaded', predictedMs: 2_085, usefulMs: 1_919, queued: 61, rate: 118_833 }), createLine(102, 'job-answered', { job: 'j', answer: 'rejected', reason: 'overloaded' })]
    assert.match(explainJobOutcome(lines, 'j').cause, /expected the answer in 2085 ms, and it was of use for 1919 ms; 61 jobs were queued/)
  })

  it('is the wait for free capacity when no run of a late job failed', () => {
    const lines = [submitted, createLine(400, 'task-start', { job: 'j', task: 'j.0.0.0', waitedMs: 300, slowness: 1 }), createLine(600, 'job-answered', { job: 'j', answer: 'completed', ageMs: 500, objectiveMs: 200 })]
    assert.equal(explainJobOutcome(lines, 'j').cause, '300 ms over the objective: a task waited 300 ms for room')
  })
})

describe('log line', () => {
  it('is parsed after the prefix of a log collector, and other text is skipped', () => {
    assert.deepEqual(parseLogLine('12.5 edge-1 {"time":"2026-01-07T22:43:41.814Z","event":"started","instance":"edge-1","upMs":58}'), { at: Date.parse('2026-01-07T22:43:41.814Z'), instance: 'edge-1', event: 'started', fields: { upMs: 58 } })
    assert.equal(parseLogLine('(node:1) Warning: {broken'), undefined)
    assert.equal(parseLogLine('{"level":"info"}'), undefined)
  })
})

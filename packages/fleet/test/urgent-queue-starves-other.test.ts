import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type DispatcherOptions, EventLog, type LogFields } from '../src/index.js'
import { createDispatcher, createJob, endRuns, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

class RecordingLog extends EventLog {
  readonly events: Array<LogFields & { readonly event: string }> = []

  override log (category: string, event: string, fields: LogFields): void {
    this.events.push({ ...fields, event })
  }
}

/** Lets ten urgent jobs and then a less urgent one wait for one target; returns the order of the first three starts. */
async function startJobs (options: Partial<DispatcherOptions>): Promise<{ readonly started: readonly string[], readonly log: RecordingLog, readonly below: readonly string[] }> {
  const clock = new ManualClock()
  const target = new FakeTarget('t')
  const owner = new FakeOwnerConnection('owner')
  const log = new RecordingLog()
  const dispatcher = createDispatcher(clock, [target], () => 0, { log, ...options })
  dispatcher.addOwner(owner)
  dispatcher.updateTargets([target.info])
  const advance = async (ms: number): Promise<void> => {
    for (let left = ms; left > 0; left -= 50) {
      dispatcher.enqueueMessage(owner, { type: 'ping', configurationVersion: 0 })
      await clock.advance(50)
    }
  }
  await advance(100)
  for (let index = 0; index < 11; index++) {
    const job = createJob(index === 10 ? 'other' : `urgent-${index}`)
    const steps = [{ ...job.steps[0]!, estimateMs: 100, demand: { processors: 32_000, memoryMb: 1, accelerators: 0 } }]
    dispatcher.enqueueMessage(owner, { type: 'submit', job: { ...job, priority: index === 10 ? 1 : 0, steps }, ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
  }
  await advance(100)
  const below = dispatcher.listQueuesBelowFloor()
  for (let round = 0; round < 2; round++) {
    endRuns(target)
    await advance(500)
  }
  dispatcher.stop()
  return { started: target.starts.map(({ task }) => task.split('.')[0]!), log, below }
}

describe('a queue that a more urgent one starves', () => {
  it('goes first with --queue-floor, which is logged and listed', async () => {
    const { started, log, below } = await startJobs({ queueFloor: 0.5, isContended: () => true })
    assert.deepEqual(started, ['urgent-0', 'other', 'urgent-1'])
    assert.deepEqual(below, ['s 1'])
    assert.deepEqual(log.events.filter(({ event }) => event === 'queue-floor').map(({ queue, below }) => [queue, below]), [['s 1', true], ['s 1', false]])
    assert.equal(log.events.find(({ event, job }) => event === 'task-start' && job === 'other')?.belowFloor, true)
  })

  for (const [name, options] of Object.entries({ 'without the option': { isContended: () => true }, 'at a service with queues of one priority': { queueFloor: 0.5 } })) {
    it(`waits ${name}`, async () => {
      const { started, log, below } = await startJobs(options)
      assert.deepEqual(started, ['urgent-0', 'urgent-1', 'urgent-2'])
      assert.deepEqual(below, [])
      assert.ok(log.events.every(({ event, belowFloor }) => event !== 'queue-floor' && belowFloor === undefined))
    })
  }
})

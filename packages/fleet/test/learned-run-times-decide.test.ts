import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, EventLog, type JobSpec, type LogFields } from '../src/index.js'
import { createDispatcher, createJob, endRuns, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Estimate of all jobs, and the time that their tasks take. */
const estimateMs = 100
const runMs = 250

class RecordingLog extends EventLog {
  readonly inputsOfEvents = new Map<string, LogFields>()

  override log (category: string, event: string, fields: LogFields): void {
    this.inputsOfEvents.set(event, fields)
  }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly target = new FakeTarget('t')
  readonly owner = new FakeOwnerConnection('owner')
  readonly log = new RecordingLog()
  readonly dispatcher: Dispatcher

  constructor (isContended: boolean) {
    this.dispatcher = createDispatcher(this.clock, [this.target], () => 0, { isContended: () => isContended, log: this.log })
    this.dispatcher.addOwner(this.owner)
    this.dispatcher.updateTargets([this.target.info])
  }

  async advance (ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 50) {
      this.dispatcher.enqueueMessage(this.owner, { type: 'ping', configurationVersion: 0 })
      await this.clock.advance(Math.min(50, left))
    }
  }

  /** Submits a job of one task that takes a whole target. */
  submit (id: string, limits: Pick<JobSpec, 'priority' | 'objectiveMs' | 'usefulMs'>): void {
    const job = createJob(id)
    const steps = [{ ...job.steps[0]!, estimateMs, demand: { processors: 32_000, memoryMb: 1, accelerators: 0 } }]
    this.dispatcher.enqueueMessage(this.owner, { type: 'submit', job: { ...job, ...limits, steps }, ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
  }

  /** Lets the dispatcher see that tasks take longer than estimated. */
  async learn (): Promise<void> {
    await this.advance(100)
    for (let run = 0; run < 30; run++) {
      this.submit(`learn-${run}`, { priority: run % 2, objectiveMs: 1_000, usefulMs: 3_000 })
      await this.advance(runMs)
      endRuns(this.target)
      await this.advance(50)
    }
  }

  isRejected (id: string): boolean {
    return this.owner.received.some(message => message.type === 'rejected' && message.jobId === id)
  }
}

/**
 * Tasks take two and a half times their estimate. Guards against a dispatcher that learns run times without using
 * them in admission, in the order of starts or in shedding, and against one that uses them where the operator's
 * queues have one priority.
 */
for (const isContended of [true, false]) {
  describe(`a dispatcher ${isContended ? 'whose queues contend' : 'without contending queues'}`, () => {
    const basis = isContended ? 'learned run times' : 'the callers\' estimates'

    it(`admits by ${basis} and logs them`, async () => {
      const fixture = new Fixture(isContended)
      await fixture.learn()
      await fixture.advance(100)
      // The target is free, so that an admitted job starts at once and can't be shed.
      fixture.submit('too-long', { priority: 0, objectiveMs: 150, usefulMs: 200 })
      await fixture.advance(50)
      assert.equal(fixture.isRejected('too-long'), isContended)
      assert.equal(fixture.dispatcher.listRunTimes().length, isContended ? 2 : 0)
      for (const event of ['job-admitted', 'task-start']) assert.equal('runTimeRatio' in fixture.log.inputsOfEvents.get(event)!, isContended)
    })

    it(`starts by ${basis}`, async () => {
      const fixture = new Fixture(isContended)
      await fixture.learn()
      fixture.submit('running', { priority: 0, objectiveMs: 1_000, usefulMs: 3_000 })
      await fixture.advance(50)
      fixture.submit('short-objective', { priority: 0, objectiveMs: 340, usefulMs: 5_000 })
      fixture.submit('long-objective', { priority: 1, objectiveMs: 1_500, usefulMs: 5_000 })
      await fixture.advance(100)
      endRuns(fixture.target)
      // The end is seen by the next poll, before the first job is late by its estimate.
      await fixture.advance(130)
      assert.match(fixture.target.starts.at(-1)!.task, isContended ? /^long-objective/ : /^short-objective/)
    })

    it(`sheds by ${basis}`, async () => {
      const fixture = new Fixture(isContended)
      await fixture.learn()
      fixture.submit('running', { priority: 0, objectiveMs: 1_000, usefulMs: 3_000 })
      await fixture.advance(50)
      fixture.submit('waiting', { priority: 0, objectiveMs: 300, usefulMs: 400 })
      await fixture.advance(50)
      assert.equal(fixture.isRejected('waiting'), false)
      await fixture.advance(200)
      assert.equal(fixture.isRejected('waiting'), isContended)
    })
  })
}

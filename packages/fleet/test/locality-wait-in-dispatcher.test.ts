import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, EventLog, type LogFields, NoopMetrics } from '../src/index.js'
import { createDispatcher, createJob, endRuns, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

class RecordingLog extends EventLog {
  readonly events: Array<LogFields & { readonly event: string }> = []

  override log (category: string, event: string, fields: LogFields): void {
    this.events.push({ ...fields, event })
  }

  /** @returns the fields of an event about a job */
  find (event: string, job: string): LogFields | undefined {
    return this.events.find(entry => entry.event === event && entry.job === job)
  }
}

class RecordingMetrics extends NoopMetrics {
  readonly counts: string[] = []

  override countLocalityStart (place?: string): void { this.counts.push(place!) }
  override countLocalityWait (outcome?: string): void { this.counts.push(outcome!) }
}

/** Two targets that each run one task at a time; the first is in the rack of the data. */
class Fixture {
  readonly clock = new ManualClock()
  readonly near = new FakeTarget('near')
  readonly remote = new FakeTarget('remote')
  readonly owner = new FakeOwnerConnection('owner')
  readonly log = new RecordingLog()
  readonly metrics = new RecordingMetrics()
  readonly dispatcher: Dispatcher

  constructor (waitsForLocality = true, remoteFactor = 3) {
    this.dispatcher = createDispatcher(this.clock, [this.near, this.remote], () => 0, { log: this.log, metrics: this.metrics, waitsForLocality, remoteFactor })
    this.dispatcher.addOwner(this.owner)
    this.dispatcher.updateTargets([{ ...this.near.info, labels: ['rack'] }, this.remote.info])
  }

  async advance (ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 50) {
      this.dispatcher.enqueueMessage(this.owner, { type: 'ping', configurationVersion: 0 })
      await this.clock.advance(Math.min(50, left))
    }
  }

  /** Submits a job of one task that takes a whole target. */
  submit (id: string, dataRack?: string, objectiveMs = 5_000, estimateMs = 200): void {
    const job = createJob(id)
    const steps = [{ ...job.steps[0]!, estimateMs, demand: { processors: 32_000, memoryMb: 1, accelerators: 0 }, ...(dataRack === undefined ? {} : { dataRack }) }]
    this.dispatcher.enqueueMessage(this.owner, { type: 'submit', job: { ...job, objectiveMs, steps }, ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
  }

  /** Occupies the near target for another 140 ms; it is polled at short intervals by then. */
  async occupyNear (): Promise<void> {
    await this.advance(100)
    this.submit('first', 'rack', 5_000, 500)
    await this.advance(360)
    assert.deepEqual(listJobs(this.near), ['first'])
  }
}

function listJobs (target: FakeTarget): string[] {
  return target.starts.map(({ task }) => task.split('.')[0]!)
}

describe('a task whose rack is occupied', () => {
  it('waits for the place there, and the wait is logged and counted', async () => {
    const fixture = new Fixture()
    await fixture.occupyNear()
    fixture.submit('data', 'rack')
    await fixture.advance(50)
    assert.deepEqual(listJobs(fixture.remote), [])
    endRuns(fixture.near)
    await fixture.advance(100)
    assert.deepEqual(listJobs(fixture.near), ['first', 'data'])
    assert.equal(fixture.log.find('locality-wait', 'data')?.nearTarget, 'near')
    const start = fixture.log.find('task-start', 'data')
    assert.equal(start?.remote, false)
    assert.ok(Number(start.localityWaitMs) >= 50)
    assert.deepEqual(fixture.metrics.counts, ['near', 'near', 'worthwhile'])
  })

  // Guards against a wait that begins anew in each round while the place is late.
  it('starts remotely when the place does not become free in time', async () => {
    const fixture = new Fixture()
    await fixture.occupyNear()
    fixture.submit('data', 'rack')
    await fixture.advance(100)
    assert.deepEqual(listJobs(fixture.remote), [])
    await fixture.advance(200)
    assert.deepEqual(listJobs(fixture.remote), ['data'])
    assert.equal(fixture.log.find('task-start', 'data')?.remote, true)
    assert.deepEqual(fixture.metrics.counts, ['near', 'remote', 'in-vain'])
  })

  it('starts remotely before its objective is at risk', async () => {
    const fixture = new Fixture()
    await fixture.occupyNear()
    // The remote run takes 600 ms, so that it has to start within 210 ms.
    fixture.submit('data', 'rack', 810)
    await fixture.advance(250)
    assert.deepEqual(listJobs(fixture.remote), ['data'])
    const start = fixture.log.find('task-start', 'data')
    assert.ok(Number(start?.localityWaitMs) >= 50 && Number(start?.waitedMs) <= 210, JSON.stringify(start))
  })

  it('leaves the remote place to any other queued task', async () => {
    const fixture = new Fixture()
    await fixture.occupyNear()
    fixture.submit('data', 'rack')
    await fixture.advance(10)
    fixture.submit('other')
    await fixture.advance(10)
    assert.deepEqual(listJobs(fixture.remote), ['other'])
  })

  it('does not count on a place that others count on', async () => {
    const fixture = new Fixture()
    await fixture.occupyNear()
    for (const id of ['data-1', 'data-2', 'data-3']) fixture.submit(id, 'rack')
    await fixture.advance(10)
    // The second can expect a place in time after the first, but the third can't.
    assert.deepEqual(listJobs(fixture.remote), ['data-3'])
  })

  for (const [name, waits, remoteFactor] of [['the program was started with --no-locality-wait', false, 3], ['remote runs take as long', true, 1]] as const) {
    it(`starts remotely at once when ${name}`, async () => {
      const fixture = new Fixture(waits, remoteFactor)
      await fixture.occupyNear()
      fixture.submit('data', 'rack')
      await fixture.advance(10)
      assert.deepEqual(listJobs(fixture.remote), ['data'])
      assert.equal(fixture.log.find('locality-wait', 'data'), undefined)
      assert.deepEqual(fixture.metrics.counts, ['near', 'remote'])
    })
  }
})

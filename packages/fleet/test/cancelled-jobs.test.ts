import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CancelledJobs, cancelledRetentionMs } from '../src/index.js'

describe('CancelledJobs', () => {
  it('keeps a bounded number of jobs for a bounded time under a wave of cancellations, each with a repeat 4 s later', () => {
    const jobs = new CancelledJobs(1_000)
    let forgotten = 0
    // 200 cancellations each second for three retention times.
    for (let now = 0; now < 3 * cancelledRetentionMs; now += 5) {
      jobs.record(`j${now}`, true, now)
      if (now >= 4_000 && jobs.find(`j${now - 4_000}`, now) === undefined) forgotten++
      assert.ok(jobs.size <= 1_000)
    }
    assert.equal(forgotten, 0)
    assert.ok(jobs.evicted > 0)
    jobs.expire(4 * cancelledRetentionMs)
    assert.equal(jobs.size, 0)
  })

  it('evicts the oldest job first, also when that was cancelled again or learned to be known', () => {
    const jobs = new CancelledJobs(2)
    jobs.record('a', false, 0)
    jobs.record('b', false, 1)
    jobs.record('a', true, 2)
    jobs.record('c', true, 3)
    assert.deepEqual(['a', 'b', 'c'].map(id => jobs.find(id, 3) !== undefined), [true, false, true])
  })

  /** Guards against instances that keep a record alive for ever by sending it to each other. */
  it('does not extend the time of a record that comes back from another instance', () => {
    const [first, second] = [new CancelledJobs(), new CancelledJobs()]
    first.record('a', true, 0)
    for (let now = 1_000; now < 2 * cancelledRetentionMs; now += 1_000) {
      second.merge(first.listAll(now), now)
      first.merge(second.listAll(now), now)
    }
    assert.equal(first.find('a', cancelledRetentionMs + 2_000), undefined)
    assert.equal(second.find('a', cancelledRetentionMs + 2_000), undefined)
  })

  it('lists each change once, and none for what another instance sends again', () => {
    const jobs = new CancelledJobs()
    jobs.record('a', false, 0)
    const first = jobs.listChanges(0, 10)
    assert.deepEqual(first.entries, [['a', 10, false]])
    jobs.merge(first.entries, 20)
    assert.deepEqual(jobs.listChanges(first.sequence, 20).entries, [])
    jobs.merge([['a', 20, true], ['b', cancelledRetentionMs, true]], 20)
    assert.deepEqual(jobs.listChanges(first.sequence, 20).entries, [['a', 20, true]])
  })

  it('keeps a job cancelled for the whole time after the last of several cancellations', () => {
    const jobs = new CancelledJobs()
    jobs.record('a', true, 0)
    jobs.record('a', false, cancelledRetentionMs - 1)
    assert.equal(jobs.find('a', cancelledRetentionMs + 1)?.wasKnown, true)
  })
})

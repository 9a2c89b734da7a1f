import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

/** Time in milliseconds after the loss of a dispatcher until the runs of a lost owner have ended. */
const runExpiryMs = 2_300

/**
 * An instance that has lost the connection to a dispatcher still has its list of jobs that may be repeated. Guards
 * against starting a job of that list in another domain at once, beside the run that the dispatcher holds.
 */
describe('a repeat of a job on the list of a dispatcher that was just lost', () => {
  it('is not submitted to another domain at once', async () => {
    const clock = new ManualClock()
    const [home, other] = [new FakeConnection('a'), new FakeConnection('b')]
    const owner = createOwner(clock, [home, other])
    home.lingering = spec.id
    home.isConnected = false
    home.lostMs = 100
    const { abandon } = owner.submit(spec, 20_000)
    await clock.advance(200)
    const submittedEarly = other.sent.filter(message => message.type === 'submit').length
    home.lostMs = runExpiryMs + 50
    await clock.advance(100)
    const submittedLater = other.sent.filter(message => message.type === 'submit').length
    abandon('the test ends')
    owner.close()
    assert.deepEqual({ submittedEarly, submittedLater }, { submittedEarly: 0, submittedLater: 1 })
  })
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type OwnerMessage } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

const jobId = '5c0e7a21d94b36f8'

const rejection = { type: 'rejected', jobId, reason: 'overloaded', retryAfterMs: 100 } as const

type SubmitMessage = Extract<OwnerMessage, { type: 'submit' }>

function listSubmissions (connection: FakeConnection): readonly SubmitMessage[] {
  return connection.sent.filter((message): message is SubmitMessage => message.type === 'submit')
}

/**
 * Over a full link a job is submitted a second time before the reply to the first submission has arrived.
 * Guards against taking that reply for the answer to the second submission: the job is then submitted to
 * another domain, while the dispatcher admits the second submission, and its tasks run twice.
 */
describe('the rejection of an earlier submission', () => {
  it('does not send the owner to another domain', () => {
    const clock = new ManualClock()
    const [home, other] = [new FakeConnection('a'), new FakeConnection('b')]
    const owner = createOwner(clock, [home, other])
    const handle = owner.submit(spec, 20_000)
    owner.onDisconnected(home.asConnection())
    owner.onConnected(home.asConnection())
    const [first, second] = listSubmissions(home)
    owner.onDispatcherMessage(home.asConnection(), { ...rejection, submissionId: first!.submissionId! })
    assert.equal(other.sent.length, 0, 'the job is at two dispatchers')
    owner.onDispatcherMessage(home.asConnection(), { ...rejection, submissionId: second!.submissionId! })
    assert.equal(listSubmissions(other).length, 1)
    handle.abandon('the test ends')
    owner.close()
  })

  it('does not answer a job that the caller has sent again', async () => {
    const clock = new ManualClock()
    const home = new FakeConnection('a')
    const owner = createOwner(clock, [home])
    owner.submit(spec, 20_000).abandon('the caller has left')
    const { answer } = owner.submit(spec, 20_000)
    const [first, second] = listSubmissions(home)
    owner.onDispatcherMessage(home.asConnection(), { type: 'ended', jobId, outcome: { kind: 'failed', reason: 'attempts-used' }, submissionId: first!.submissionId! })
    owner.onDispatcherMessage(home.asConnection(), { ...rejection, submissionId: second!.submissionId! })
    assert.equal((await answer).kind, 'rejected')
    owner.close()
  })

  it('is repeated when the owner submits the job again, and leaves it not run', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(owner)
    const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const
    dispatcher.enqueueMessage(owner, { ...submission, submissionId: 1 })
    await clock.advance(10)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    const reconnected = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, resubmitted: true, submissionId: 2 })
    await clock.advance(100)
    dispatcher.stop()
    const replies = reconnected.received.filter(message => message.type === 'rejected')
    assert.deepEqual(replies.map(reply => reply.submissionId), [2])
    assert.equal(target.starts.length, 0)
  })

  it('is answered as not run, also when the connection was lost in between', async () => {
    const clock = new ManualClock()
    const home = new FakeConnection('a')
    const owner = createOwner(clock, [home])
    const { answer } = owner.submit(spec, 20_000)
    owner.onDisconnected(home.asConnection())
    owner.onConnected(home.asConnection())
    owner.onDispatcherMessage(home.asConnection(), { ...rejection, submissionId: listSubmissions(home)[1]!.submissionId! })
    assert.equal((await answer).kind, 'rejected')
    owner.close()
  })
})

/**
 * A dispatcher may read what an owner sent over an earlier connection after the messages on a newer one.
 * Guards against admitting a job that the owner has withdrawn meanwhile and submitted elsewhere.
 */
describe('a submission over a superseded connection', () => {
  it('is ignored', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [earlier, newer] = [new FakeOwnerConnection('owner', 1), new FakeOwnerConnection('owner', 2)]
    dispatcher.addOwner(earlier)
    dispatcher.addOwner(newer)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(earlier, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [], submissionId: 1 })
    await clock.advance(100)
    dispatcher.stop()
    assert.equal(target.starts.length, 0)
  })
})

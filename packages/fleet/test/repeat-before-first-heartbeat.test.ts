import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { ConfigurationRelay, type Directory, DispatcherConnection, DispatcherConnectionObserver, type InstanceEntry, NoopLog, OwnerServer } from '../src/index.js'
import { SilentConnector } from './connection-fixture.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/** Age in milliseconds from which a job may be sent again. */
const resubmitMs = 1_300

class ListObserver extends DispatcherConnectionObserver {
  /** Whether the job was listed when the dispatcher had accepted the connection. */
  wasListed: boolean | undefined

  override onConnected (connection: DispatcherConnection): void { this.wasListed = connection.isLingering(jobId) }
  override onDisconnected (): void {}
  override onDispatcherMessage (): void {}
  override onLoadChanged (): void {}
}

/**
 * An instance that has just connected to a dispatcher receives a repeat of a job that runs there. Guards against
 * starting the job in another domain because the list of such jobs comes only with the first heartbeat.
 */
describe('an instance that has connected to a dispatcher', () => {
  it('knows at once which jobs may be repeated', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const server = new OwnerServer('holder-1', clock, new ConfigurationRelay(() => true))
    server.addDispatcher(dispatcher)
    const first = new FakeOwnerConnection('first', 1)
    dispatcher.addOwner(first)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(first, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(resubmitMs)
    const observer = new ListObserver()
    const self: InstanceEntry = { instance: 'self', incarnation: 'self-1', domain: 'b', address: 'self', power: 1, startedMs: 0 }
    const directory = { findDispatcher: () => undefined } as unknown as Directory
    const connection = new DispatcherConnection({ domain: 'a', self, directory, connector: new SilentConnector(), local: server, relay: new ConfigurationRelay(() => true), clock, log: new NoopLog(), observer })
    connection.start()
    await flushMicrotasks()
    connection.close()
    server.close()
    dispatcher.stop()
    assert.equal(observer.wasListed, true)
  })
})

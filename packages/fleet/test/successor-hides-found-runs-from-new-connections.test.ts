import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { ConfigurationRelay, type Directory, DispatcherConnection, DispatcherConnectionObserver, type DispatcherMessage, type InstanceEntry, NoopLog, OwnerServer } from '../src/index.js'
import { createConnection, SilentConnector } from './connection-fixture.js'
import { createDispatcher, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

const load = { freeProcessors: 0, usableProcessors: 0, waitMs: 0, queuedJobs: 0, largestFree: 0 }

const list: DispatcherMessage = { type: 'heartbeat', sentAt: 1, load, configurationVersion: 0, lingering: [jobId] }

class IdleObserver extends DispatcherConnectionObserver {
  override onConnected (): void {}
  override onDisconnected (): void {}
  override onDispatcherMessage (): void {}
  override onLoadChanged (): void {}
}

/**
 * A successor finds the runs of its predecessor within milliseconds, and its first heartbeat follows up to 200 ms later.
 * Guards against starting a repeat of such a job in another domain in between.
 */
describe('an instance that has connected to a successor', () => {
  it('knows of the runs that the successor has found before its first heartbeat', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    target.running = [{ task: `${jobId}.0.0.0`, attempt: 1, percent: 10 }]
    const dispatcher = createDispatcher(clock, [target])
    const server = new OwnerServer('holder-1', clock, new ConfigurationRelay(() => true))
    server.addDispatcher(dispatcher)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    assert.deepEqual(dispatcher.listLingering(), [jobId])
    const self: InstanceEntry = { instance: 'self', incarnation: 'self-1', domain: 'b', address: 'self', power: 1, startedMs: 0 }
    const directory = { findDispatcher: () => undefined } as unknown as Directory
    const connection = new DispatcherConnection({ domain: 'a', self, directory, connector: new SilentConnector(), local: server, relay: new ConfigurationRelay(() => true), clock, log: new NoopLog(), observer: new IdleObserver() })
    connection.start()
    await flushMicrotasks()
    const isConnected = connection.isConnected
    const isListed = connection.isLingering(jobId)
    connection.close()
    server.close()
    dispatcher.stop()
    assert.deepEqual({ isConnected, isListed }, { isConnected: true, isListed: true })
  })
})

/** Guards against forgetting the list of a dispatcher whose welcome, as that of earlier versions, has none. */
describe('an instance that reconnects to a dispatcher of an earlier version', () => {
  it('keeps the list that it has until the first heartbeat', async () => {
    const { peers, connection, follow } = createConnection()
    await follow('holder', 1)
    peers.handler!.onMessage(list)
    assert.equal(connection.isLingering(jobId), true)
    peers.handler!.onClose('reset')
    await flushMicrotasks()
    await flushMicrotasks()
    assert.equal(connection.isConnected, true)
    assert.equal(connection.isLingering(jobId), true)
    connection.close()
  })
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { ConfigurationRelay, type DispatcherMessage, OwnerServer, type PeerHandler } from '../src/index.js'
import { createConnection } from './connection-fixture.js'
import { createDispatcher } from './dispatcher-fixture.js'

/** Time in milliseconds for which the process does not run; longer than all bounds of silence. */
const stallMs = 900

const load = { freeProcessors: 0, usableProcessors: 0, waitMs: 0, queuedJobs: 0, largestFree: 0 }

// After a stall the timers run before the sockets are read. The check for silence took the messages that had not been
// read yet for missing, closed all connections, and all owners connected and submitted their jobs again at once.
describe('a process that was stalled', () => {
  it('keeps its connection to a dispatcher that has sent heartbeats meanwhile', async () => {
    const { clock, peers, connection, follow } = createConnection()
    await follow('first', 1)
    connection.start()
    clock.time += stallMs
    await clock.advance(60)
    peers.handler!.onMessage({ type: 'heartbeat', sentAt: 1, load, configurationVersion: 0 } satisfies DispatcherMessage)
    await clock.advance(60)
    assert.deepEqual(peers.closeReasons, [])
    await clock.advance(600)
    assert.equal(peers.closeReasons[0], 'silent')
    connection.close()
  })

  it('does not count the time for which it did not run as loss of the dispatcher', async () => {
    const { clock, peers, connection, follow } = createConnection()
    await follow('first', 1)
    connection.start()
    peers.tokens.delete('first')
    peers.handler!.onClose('closed by the peer')
    clock.time += stallMs
    await clock.advance(60)
    assert.ok(connection.measureLostMs() >= stallMs)
    assert.ok(connection.measureObservedLostMs() < stallMs / 2)
    connection.close()
  })

  it('keeps the connections of owners that have answered meanwhile', async () => {
    const clock = new ManualClock()
    const server = new OwnerServer('self-1', clock, new ConfigurationRelay(() => true))
    server.addDispatcher(createDispatcher(clock, []))
    const closed: string[] = []
    let handler: PeerHandler | undefined
    server.serve(added => {
      handler = added
      return { send: () => {}, close: reason => { closed.push(reason) } }
    })
    handler!.onMessage({ type: 'hello', instance: 'owner', incarnation: 'owner-1', domain: 'a', sequence: 1 })
    await flushMicrotasks()
    clock.time += stallMs
    await clock.advance(160)
    handler!.onMessage({ type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: 1 })
    await clock.advance(160)
    assert.deepEqual(closed, [])
    await clock.advance(1_000)
    assert.deepEqual(closed.slice(0, 1), ['silent'])
    server.close()
  })
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { ConfigurationRelay, type Dispatcher, type DispatcherMessage, type HeartbeatMessage, type OwnerMessage, OwnerServer, type PeerHandler, type PeerStream } from '../src/index.js'
import { type ConnectionFixture, createConnection } from './connection-fixture.js'

const ownerCount = 20
const newest = { version: 2, text: 'x'.repeat(5_000) }

function createHeartbeat (configurationVersion: number): HeartbeatMessage {
  return { type: 'heartbeat', sentAt: 0, load: { freeProcessors: 0, usableProcessors: 0, waitMs: 0, queuedJobs: 0, largestFree: 0 }, configurationVersion }
}

async function receiveHeartbeats ({ peers, clock }: ConnectionFixture, configurationVersion: number): Promise<void> {
  for (let elapsed = 0; elapsed < 1_000; elapsed += 100) {
    peers.handler!.onMessage(createHeartbeat(configurationVersion))
    await clock.advance(100)
  }
}

/** A server with one dispatcher and many owners, which have a newer configuration than it. */
class OutdatedServer {
  readonly clock = new ManualClock()
  readonly relay = new ConfigurationRelay(() => true)
  readonly sent: DispatcherMessage[] = []
  readonly #server = new OwnerServer('server', this.clock, this.relay)
  readonly #handlers: PeerHandler[] = []

  constructor () {
    this.relay.applyIfNewer({ version: 1, text: '' }, 'store')
    this.#server.addDispatcher({ domain: 'a', addOwner: () => {}, removeOwner: () => {}, enqueueMessage: () => {}, listLingering: () => [], listCancelled: () => ({ entries: [], sequence: 0 }), summarizeLoad: () => createHeartbeat(1).load } as unknown as Dispatcher)
    for (let index = 0; index < ownerCount; index++) this.#connectOwner(index)
  }

  #connectOwner (index: number): void {
    const stream: PeerStream = { send: message => { this.sent.push(message as DispatcherMessage) }, close: () => {} }
    this.#server.serve(handler => {
      this.#handlers.push(handler)
      return stream
    })
    this.#receive(index, { type: 'hello', instance: `i-${index}`, incarnation: `i-${index}`, domain: 'a', sequence: 1 })
  }

  #receive (index: number, message: OwnerMessage): void {
    this.#handlers[index]!.onMessage(message)
  }

  async receiveReplies (forMs: number): Promise<void> {
    for (let elapsed = 0; elapsed < forMs; elapsed += 100) {
      for (let index = 0; index < ownerCount; index++) this.#receive(index, { type: 'heartbeat-reply', configurationVersion: newest.version, heardSentAt: 0 })
      await this.clock.advance(100)
    }
  }

  countSent (type: DispatcherMessage['type']): number {
    return this.sent.filter(message => message.type === type).length
  }

  close (): void {
    this.#server.close()
  }
}

// Guards against copies of a new configuration from all owners, in reply to each heartbeat, to a dispatcher that is about to read it from the store.
describe('a connection whose dispatcher has an older configuration', () => {
  it('sends the configuration only when it is asked', async () => {
    const fixture = createConnection()
    await fixture.follow('first', 1)
    fixture.relay.applyIfNewer(newest, 'store')
    await receiveHeartbeats(fixture, 1)
    const isConfiguration = ({ type }: OwnerMessage): boolean => type === 'configuration'
    assert.equal(fixture.peers.sent.filter(isConfiguration).length, 0)
    fixture.peers.handler!.onMessage({ type: 'configuration-request' })
    assert.equal(fixture.peers.sent.filter(isConfiguration).length, 1)
    fixture.connection.close()
  })

  it('asks for the configuration when the store has not delivered it in time', async () => {
    const fixture = createConnection()
    await fixture.follow('first', 1)
    await receiveHeartbeats(fixture, 2)
    assert.equal(fixture.peers.sent.filter(({ type }) => type === 'configuration-request').length, 1)
    fixture.connection.close()
  })
})

describe('a dispatcher whose owners have a newer configuration', () => {
  it('asks one of them, after the store has not delivered it in time', async () => {
    const server = new OutdatedServer()
    await server.receiveReplies(500)
    const askedBefore = server.countSent('configuration-request')
    await server.receiveReplies(400)
    const askedAfter = server.countSent('configuration-request')
    server.close()
    assert.deepEqual([askedBefore, askedAfter], [0, 1])
  })

  it('asks none when the store delivers it in time', async () => {
    const server = new OutdatedServer()
    await server.receiveReplies(300)
    server.relay.applyIfNewer(newest, 'store')
    await server.receiveReplies(1_000)
    server.close()
    assert.equal(server.countSent('configuration-request'), 0)
  })
})

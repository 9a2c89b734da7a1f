import assert from 'node:assert/strict'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { ConfigurationRelay, type Directory, type DispatcherEntry, DispatcherConnection, DispatcherConnectionObserver, type InstanceEntry, LocalDispatcherRegistry, NoopLog, type OwnerMessage, PeerConnector, type PeerHandler, type PeerOpenResult } from '../src/index.js'

class NoLocalDispatchers extends LocalDispatcherRegistry {
  override hasDispatcher (): boolean { return false }
  override open (): undefined {}
}

class SilentObserver extends DispatcherConnectionObserver {
  override onConnected (): void {}
  override onDisconnected (): void {}
  override onDispatcherMessage (): void {}
  override onLoadChanged (): void {}
}

/** Reaches no instance. */
export class SilentConnector extends PeerConnector {
  override async open (): Promise<PeerOpenResult> { return { kind: 'unreachable', message: 'timeout' } }
}

/** Connects to whatever dispatcher the test has made the holder; each address may be up, not dispatching, silent, refused or unreachable. */
class FakePeers extends PeerConnector {
  readonly tokens = new Map<string, number | 'not-dispatching' | 'refused' | 'silent'>()
  /** Incarnations of the processes at addresses where it is not the one that the row names. */
  readonly incarnations = new Map<string, string>()
  /** Reasons with which the connection under test closed its streams. */
  readonly closeReasons: string[] = []
  handler: PeerHandler | undefined
  readonly sent: OwnerMessage[] = []

  override async open (address: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult> {
    const token = this.tokens.get(address)
    if (token === undefined) return { kind: 'unreachable', message: 'timeout' }
    if (token === 'refused') return { kind: 'refused', message: 'ECONNREFUSED' }
    this.handler = handler
    const reply = token === 'not-dispatching' ? { type: token, incarnation: this.incarnations.get(address) ?? `${address}-1` } : { type: 'welcome', token }
    let isClosed = false
    return {
      kind: 'open',
      stream: {
        send: message => {
          this.sent.push(message as OwnerMessage)
          if ((message as { type: string }).type === 'hello' && token !== 'silent') queueMicrotask(() => { handler.onMessage(reply) })
        },
        // At once, as a network stream does.
        close: reason => {
          if (isClosed) return
          isClosed = true
          this.closeReasons.push(reason)
          handler.onClose(reason)
        }
      }
    }
  }
}

export interface ConnectionFixture {
  readonly clock: ManualClock
  readonly peers: FakePeers
  readonly connection: DispatcherConnection
  /** Puts an instance into the domain's row, and ends the connection. */
  readonly nameHolder: (instance: string, revision: number) => Promise<void>
  /** Puts an instance that does not answer into the domain's row, and ends the connection. */
  readonly nameSilent: (instance: string, revision: number) => Promise<void>
  readonly relay: ConfigurationRelay
  /** Puts an instance into the domain's row and connects to it. */
  readonly follow: (instance: string, revision: number) => Promise<void>
}

/** Creates a connection of an instance that knows no dispatcher yet. */
export function createConnection (): ConnectionFixture {
  const clock = new ManualClock()
  const peers = new FakePeers()
  const self: InstanceEntry = { instance: 'self', incarnation: 'self-1', domain: 'a', address: 'self', power: 1, startedMs: 0 }
  let entry: DispatcherEntry | undefined
  const directory = { findDispatcher: () => entry } as unknown as Directory
  const relay = new ConfigurationRelay(() => true)
  const connection = new DispatcherConnection({ domain: 'a', self, directory, connector: peers, local: new NoLocalDispatchers(), relay, clock, log: new NoopLog(), observer: new SilentObserver() })
  const follow = async (instance: string, revision: number): Promise<void> => {
    entry = { domain: 'a', instance, incarnation: `${instance}-1`, address: instance, successors: [], revision }
    peers.tokens.set(instance, revision * 16)
    connection.refresh()
    await flushMicrotasks()
    assert.equal(connection.isConnected, true)
  }
  const nameHolder = async (instance: string, revision: number): Promise<void> => {
    entry = { domain: 'a', instance, incarnation: `${instance}-1`, address: instance, successors: [], revision }
    peers.handler?.onClose('closed by the peer')
    await flushMicrotasks()
  }
  const nameSilent = async (instance: string, revision: number): Promise<void> => {
    peers.tokens.set(instance, 'silent')
    await nameHolder(instance, revision)
  }
  return { clock, peers, connection, relay, follow, nameHolder, nameSilent }
}

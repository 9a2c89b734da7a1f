import { type AddressInfo, connect, createServer, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { type HeartbeatReply, type LoanGrant } from '@sesamereel/coordination'
import { type BorrowMessage, type IssueReply, type JobReply, PeerService } from '@sesamereel/protocol'
import { type Configuration, emptyConfiguration } from '@sesamereel/state'
import { createPeerServer, PeerClients, peerTimeoutsMs, NoopExchangeObserver, TokenMatcher } from '../src/index.js'

const token = 'a-token-of-the-peers'
const units = { processors: 1, memoryMb: 1, accelerators: 0, parallel: 1 }

class FakePeer extends PeerService {
  calls = 0
  override acceptHeartbeat (): HeartbeatReply { throw new Error('not used') }
  override issueKeys (): IssueReply {
    this.calls++
    return { kind: 'issued', keys: ['d.0.abcdefgh.0'], expiresInMs: 1 }
  }

  override async submitJob (): Promise<JobReply> { throw new Error('not used') }
  override async fetchJob (): Promise<JobReply> { throw new Error('not used') }
  override cancelJob (): JobReply { throw new Error('not used') }
  override lendUnits ({ requests }: BorrowMessage): readonly LoanGrant[] {
    this.calls++
    return requests.map(({ loanId, amount }) => ({ loanId, amount, termMs: 14_000 }))
  }

  override acceptReturn (): void {}
  override readConfiguration (): Configuration { return emptyConfiguration }
}

async function startPeer (t: TestContext): Promise<{ readonly peer: FakePeer, readonly address: string }> {
  const peer = new FakePeer()
  const server = createPeerServer({ address: '127.0.0.1:0', tokens: new TokenMatcher([{ token, value: true as const }]), service: peer })
  const address = await server.listen()
  t.after(async () => { await server.close(100) })
  return { peer, address }
}

function createClients (t: TestContext, address: string, ownToken = token): PeerClients {
  const clients = new PeerClients({ token: ownToken, seat: 'd.1', observer: new NoopExchangeObserver(), findAddress: seat => seat === 'd.0' ? address : undefined })
  t.after(async () => { await clients.close() })
  return clients
}

/** Starts a TCP proxy to a peer; after `stopForwarding`, connections that exist then forward no more data. */
async function startProxy (t: TestContext, address: string): Promise<{ readonly address: string, readonly stopForwarding: () => void, readonly count: () => number }> {
  const [host, port] = address.split(':') as [string, string]
  const sockets = new Set<Socket>()
  let accepted = 0
  const proxy = createServer(client => {
    accepted++
    const server = connect(Number(port), host)
    for (const socket of [client, server]) {
      sockets.add(socket)
      socket.on('error', () => {})
    }
    client.pipe(server).pipe(client)
  })
  await new Promise<void>(resolve => { proxy.listen(0, '127.0.0.1', resolve) })
  t.after(async () => {
    for (const socket of sockets) socket.destroy()
    await new Promise(resolve => { proxy.close(resolve) })
  })
  const stopForwarding = (): void => {
    for (const socket of sockets) {
      socket.unpipe()
      socket.on('data', () => {})
    }
  }
  return { address: `127.0.0.1:${(proxy.address() as AddressInfo).port}`, stopForwarding, count: () => accepted }
}

// Guards against handling a request without the peer token.
test('a wrong token is refused before the service is called', async t => {
  const { peer, address } = await startPeer(t)
  const result = await createClients(t, address, 'another-token-1234').issueKeys(address, { customer: 'c', count: 1 })
  assert.deepEqual([result.kind, peer.calls], ['unknown', 0])
  assert.match(result.kind === 'unknown' ? result.message : '', /peer token/)
})

// Guards against an unknown outcome when nothing was sent, and against a loan that counts as granted without a reply.
test('a refused connection is reported as not sent', async t => {
  const { address } = await startPeer(t)
  const clients = createClients(t, '127.0.0.1:1')
  assert.equal((await clients.issueKeys('127.0.0.1:1', { customer: 'c', count: 1 })).kind, 'not-sent')
  await assert.rejects(clients.borrow('d.0', [{ loanId: 'l1', resource: 'plan:c', amount: units }]))
  await assert.rejects(clients.borrow('d.7', []))
  const grants = await createClients(t, address).borrow('d.0', [{ loanId: 'l1', resource: 'plan:c', amount: units }])
  assert.deepEqual(grants, [{ loanId: 'l1', amount: units, termMs: 14_000 }])
})

// Guards against sending one request after another over a connection that became unresponsive.
test('the call after an unresponsive connection opens a new one', async t => {
  const { peer, address } = await startPeer(t)
  const proxy = await startProxy(t, address)
  const clients = createClients(t, proxy.address)
  const call = async (): Promise<string> => (await clients.issueKeys(proxy.address, { customer: 'c', count: 1 })).kind
  assert.deepEqual(await Promise.all([call(), call(), call()]), ['replied', 'replied', 'replied'])
  const before = proxy.count()
  proxy.stopForwarding()
  const startedAt = performance.now()
  assert.equal(await call(), 'unknown')
  assert.ok(performance.now() - startedAt < peerTimeoutsMs.issueKeys + 200)
  assert.equal(await call(), 'replied')
  assert.deepEqual([proxy.count(), peer.calls], [before + 1, 4])
})

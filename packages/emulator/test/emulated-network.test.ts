import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { ConfigurationRelay, OwnerServer } from '@sesamereel/fleet'
import { EmulatedNetwork, EmulatedPeerNetwork } from '../src/index.js'

describe('the emulated network', () => {
  it('keeps a direction cut until every cut of it has ended, so that one fault does not end another', () => {
    const network = new EmulatedNetwork(new ManualClock())
    const endFirst = network.cut('x', 'y')
    const endSecond = network.partition(['x'], ['y', 'z'])
    endFirst()
    assert.equal(network.isOpen('x', 'y'), false)
    endFirst()
    assert.equal(network.isOpen('x', 'y'), false)
    endSecond()
    assert.equal(network.isOpen('x', 'y'), true)
    assert.equal(network.isOpen('z', 'x'), true)
  })

  it('removes all cuts at once, and an earlier cut that ends later does not end a new one', () => {
    const network = new EmulatedNetwork(new ManualClock())
    const end = network.cut('x', 'y')
    network.heal()
    assert.equal(network.isOpen('x', 'y'), true)
    network.cut('x', 'y')
    end()
    assert.equal(network.isOpen('x', 'y'), false)
  })

  it('refuses streams only while no cut drops them', () => {
    const network = new EmulatedNetwork(new ManualClock())
    const endRefusal = network.partition(['x'], ['y'], 'refuses')
    assert.equal(network.isOpen('y', 'x'), false)
    assert.equal(network.isRefusing('y', 'x'), true)
    const endDrops = network.cut('y', 'x')
    assert.equal(network.isRefusing('y', 'x'), false)
    endDrops()
    endRefusal()
    assert.equal(network.isRefusing('y', 'x'), false)
    assert.equal(network.isOpen('y', 'x'), true)
  })
})

describe('a delayed link', () => {
  it('delivers late and in order, also what is sent after the end of the delay', async () => {
    const clock = new ManualClock()
    const network = new EmulatedNetwork(clock)
    const received: Array<readonly [number, number]> = []
    const send = (message: number): void => { network.deliver('x', 'y', () => received.push([message, clock.now()])) }
    const startedAt = clock.now()
    const end = network.delay('x', 'y', 300)
    send(1)
    end()
    await clock.advance(100)
    send(2)
    network.deliver('y', 'x', () => received.push([3, clock.now()]))
    await clock.advance(400)
    send(4)
    await clock.advance(100)
    assert.deepEqual(received.map(([message, at]) => [message, at - startedAt]), [[3, 100.5], [1, 300.5], [2, 300.5], [4, 500.5]])
  })
})

describe('the streams between emulated instances', () => {
  async function listCloses (disturb: (network: EmulatedPeerNetwork) => void): Promise<readonly string[]> {
    const clock = new ManualClock()
    const network = new EmulatedNetwork(clock)
    const peers = new EmulatedPeerNetwork(network)
    peers.addServer('y', new OwnerServer('y@0', clock, new ConfigurationRelay(() => true)))
    const closes: string[] = []
    const opened = peers.open('x', 'y', 100, { onMessage: () => {}, onClose: reason => closes.push(reason) })
    await clock.advance(10)
    assert.equal((await opened).kind, 'open')
    disturb(peers)
    await clock.advance(10)
    const again = peers.open('x', 'y', 100, { onMessage: () => {}, onClose: () => {} })
    await clock.advance(200)
    return [...closes, (await again).kind]
  }

  it('close when the process ends or the stream is reset, and only fall silent after a power loss or when they are silenced', async () => {
    assert.deepEqual(await listCloses(peers => { peers.removeServer('y') }), ['ECONNRESET', 'refused'])
    assert.deepEqual(await listCloses(peers => { peers.resetStreams('y') }), ['ECONNRESET', 'open'])
    assert.deepEqual(await listCloses(peers => { peers.powerOff('y') }), ['unreachable'])
    assert.deepEqual(await listCloses(peers => { peers.silenceStreams('y') }), ['open'])
  })
})

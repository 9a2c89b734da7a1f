import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { EmulatedNetwork } from '../src/index.js'

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
})

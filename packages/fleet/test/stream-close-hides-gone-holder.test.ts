import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks } from '@sesamereel/coordination'
import { createConnection } from './connection-fixture.js'

/**
 * A holder in whose place a later process answers that it does not dispatch is gone, and its domain can be claimed at
 * once. Guards against the close of the stream, which that answer causes, ending the attempt first: the domain then waited
 * for the grace time of a holder that was never reached, also when the holder was an earlier process of the instance itself.
 */
describe('a connection to an instance that the row names and that does not dispatch', () => {
  it('takes the holder for gone', async () => {
    const { peers, connection, follow, nameHolder } = createConnection()
    await follow('first', 1)
    peers.tokens.set('second', 'not-dispatching')
    peers.incarnations.set('second', 'second-2')
    await nameHolder('second', 2)
    const { isConnected, isHolderGone } = connection
    connection.close()
    assert.deepEqual({ isConnected, isHolderGone }, { isConnected: false, isHolderGone: true })
  })

  it('does not take one for gone that may have claimed the domain just now', async () => {
    const { peers, connection, follow, nameHolder } = createConnection()
    await follow('first', 1)
    peers.tokens.set('second', 'not-dispatching')
    await nameHolder('second', 2)
    const { isHolderGone } = connection
    connection.close()
    assert.equal(isHolderGone, false)
  })

  it('takes one for gone to which it was connected', async () => {
    const { peers, connection, follow } = createConnection()
    await follow('first', 1)
    peers.tokens.set('first', 'not-dispatching')
    peers.handler!.onClose('the dispatcher has ended')
    await flushMicrotasks()
    const { isHolderGone } = connection
    connection.close()
    assert.equal(isHolderGone, true)
  })

  it('does not take one for gone that does not answer', async () => {
    const { connection, follow, nameSilent } = createConnection()
    await follow('first', 1)
    await nameSilent('second', 2)
    await flushMicrotasks()
    const { isHolderGone } = connection
    connection.close()
    assert.equal(isHolderGone, false)
  })
})

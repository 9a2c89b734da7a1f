import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks } from '@sesamereel/coordination'
import { createConnection } from './connection-fixture.js'

describe('a connection to the dispatchers of a domain', () => {
  /**
   * The first dispatcher may still run and renew leases; only the second has ended for certain. Guards
   * against a second takeover that replaces the bound of the first with its own, shorter one.
   */
  it('keeps the time by which the runs of the first of two lost dispatchers have ended', async () => {
    const { clock, peers, connection, follow } = createConnection()
    await follow('first', 1)
    peers.tokens.delete('first')
    peers.handler!.onClose('silent')
    await clock.advance(100)
    await follow('second', 2)
    const firstRunsEndIn = connection.measureQuietMs()
    assert.ok(firstRunsEndIn > 2_000, `${firstRunsEndIn} ms`)
    await clock.advance(100)
    peers.tokens.set('second', 'refused')
    peers.handler!.onClose('ECONNRESET')
    await flushMicrotasks()
    await clock.advance(100)
    await follow('third', 3)
    const quietMs = connection.measureQuietMs()
    connection.close()
    assert.ok(quietMs >= firstRunsEndIn - 200, `${quietMs} ms, although runs of the first dispatcher may exist for ${firstRunsEndIn - 200} ms`)
  })
})

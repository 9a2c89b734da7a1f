import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks } from '@sesamereel/coordination'
import { defaultFleetLimits } from '../src/index.js'
import { createConnection } from './connection-fixture.js'

/**
 * A network partition may reset connections and refuse new ones although the process lives; the
 * runs of the owner's jobs then go on for up to the resubmission time after its last sign of life.
 * Guards against the shorter time that holds only after the end of the process.
 */
describe('a connection whose dispatcher was cut off by a partition that refuses connections', () => {
  it('expects the runs of the dispatcher until the resubmission time has passed', async () => {
    const { clock, peers, connection, follow } = createConnection()
    await follow('first', 1)
    await clock.advance(5_000)
    peers.tokens.set('first', 'refused')
    peers.handler!.onClose('ECONNRESET')
    await flushMicrotasks()
    await clock.advance(100)
    await follow('second', 2)
    const quietMs = connection.measureQuietMs()
    connection.close()
    assert.ok(quietMs >= defaultFleetLimits.resubmitMs - 100, `${quietMs} ms`)
  })
})

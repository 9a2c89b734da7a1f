import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionPool, openSocket } from '../src/index.js'

const unusableAddresses = ['10.0.0.1:99999', '10.0.0.1:123456789012345678901', 'a host:80', '[:80', '10.0.0.1:-1', '10.0.0.1:x', '\ud800:80', '']

/** Guards against an address from another writer's entry that ends the loop of the caller: a call must report it like a host out of reach. */
describe('an address to which no connection can be made', () => {
  for (const address of unusableAddresses) {
    it(`${JSON.stringify(address)} makes a request end as not sent`, async () => {
      const pool = new ConnectionPool({ address, maxConnections: 1, reservedConnections: 0 })
      const results = [1, 2].map(() => pool.send({ method: 'POST', path: '/', body: '{}' }, { replyTimeoutMs: 500 }).result)
      assert.deepEqual((await Promise.all(results)).map(result => result.kind), ['not-sent', 'not-sent'])
      assert.equal(pool.isIdle(), true)
      await pool.close()
    })

    it(`${JSON.stringify(address)} makes the opening of a socket fail without an exception`, async () => {
      assert.equal(typeof await openSocket(address, 500), 'string')
    })
  }
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encodeOrderRows, parseOrderRow } from '../src/index.js'

function createOrders (count: number): ReadonlyArray<{ readonly target: string, readonly task: string, readonly attempt: number }> {
  return Array.from({ length: count }, (_, index) => ({ target: `w-${index % 7}`, task: `00000000000000a1.0.0.${index}`, attempt: 117_000 + index }))
}

// Guards against rows that are too long to be read back, and against odd rows that stop a dispatcher from reading the others.
describe('the rows of outstanding orders', () => {
  it('hold all orders, each row short enough to be read', () => {
    const rows = encodeOrderRows('a', 12_000, createOrders(500))
    assert.ok(rows.length > 1)
    assert.ok(rows.every(({ text }) => text.length <= 4_096))
    const parsed = rows.map(({ text }, index) => parseOrderRow({ key: `a/16/${index}`, value: text, revision: 1 }))
    assert.deepEqual(parsed.flatMap(row => row?.orders ?? []), createOrders(500))
    assert.ok(parsed.every(row => row?.domain === 'a' && row.expiresMs === 12_000))
  })

  it('are left out when they are malformed, as are malformed orders of a row', () => {
    for (const value of [undefined, '', '{', 'null', '[]', '{"domain":1,"orders":[]}', '{"domain":"a","orders":{}}']) {
      assert.equal(parseOrderRow({ key: 'a/16/1', value, revision: 1 }), undefined, value)
    }
    const value = JSON.stringify({ domain: 'a', expiresMs: 'soon', orders: [null, ['w-1'], ['w-1', 'no task', 1], ['w-1', '00000000000000a1.0.0.1', 1.5], ['w-1', '00000000000000a1.0.0.1', 7]] })
    assert.deepEqual(parseOrderRow({ key: 'a/16/1', value, revision: 1 }), { key: 'a/16/1', domain: 'a', expiresMs: undefined, orders: [{ target: 'w-1', task: '00000000000000a1.0.0.1', attempt: 7 }] })
  })
})

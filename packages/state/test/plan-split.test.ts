import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { splitAmount } from '../src/index.js'

const seats = fc.integer({ min: 1, max: 60 })
const amount = fc.integer({ min: 0, max: 5000 })

// Guards against shares that add up to more or less than the limit.
test('the shares of all seats add up to the limit', () => {
  fc.assert(fc.property(seats, amount, fc.nat(), (count, limit, start) => {
    let sum = 0
    for (let i = 0; i < count; i++) sum += splitAmount(limit, count, i, start)
    assert.equal(sum, limit)
  }))
})

// Guards against seats that exceed the larger limit while a change of limit spreads.
test('a larger limit never lowers the share of a seat', () => {
  fc.assert(fc.property(seats, amount, amount, fc.nat(), (count, a, b, start) => {
    const [low, high] = a < b ? [a, b] : [b, a]
    for (let i = 0; i < count; i++) {
      assert.ok(splitAmount(low, count, i, start) <= splitAmount(high, count, i, start))
    }
  }))
})

import { test } from 'node:test'
import assert from 'node:assert/strict'
import { formatKey, parseKey } from '../src/index.js'

// Guards against a key that changes in its text form and is forwarded to the wrong owner.
test('a key survives formatting and parsing', () => {
  const key = { domain: 'gent-1', seat: 2, incarnation: 'k3j9x2ab', sequence: 17 }
  assert.deepEqual(parseKey(formatKey(key)), key)
})

// Guards against malformed keys that pass the parser and reach the job registry.
test('malformed keys are rejected', () => {
  for (const text of ['', 'a.b', 'gent.0.short.1', 'gent.0.k3j9x2ab.-1', 'gent.0.k3j9x2ab.1 ', '../x.0.k3j9x2ab.1']) {
    assert.equal(parseKey(text), undefined, text)
  }
})

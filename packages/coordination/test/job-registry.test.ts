import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { answerLifetimeMs, JobRegistry, keyLifetimeMs } from '../src/index.js'

const identity = { domain: 'gent-1', seat: 0, incarnation: 'abcdefgh' }

function readError (result: { readonly kind: string }): string | undefined {
  return (result as { readonly error?: { readonly name: string } }).error?.name
}

function issueOne (registry: JobRegistry, now: number): string {
  const issued = registry.issue('kalibra', 1, now)
  assert.equal(issued.kind, 'issued')
  return issued.kind === 'issued' ? issued.keys[0]! : ''
}

// Guards against a key that is admitted twice: after the answer or the key expired, after a sweep,
// or for a second customer.
test('a key is admitted at most once', () => {
  const step = fc.record({ key: fc.nat(40), other: fc.boolean(), passMs: fc.constantFrom(0, 1, 59_999, 600_000, 3_600_000), act: fc.constantFrom('admit', 'finish', 'sweep', 'issue') })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const registry = new JobRegistry(identity)
    const admitted = new Set<string>()
    let keys: string[] = []
    let now = 0
    for (const { key, other, passMs, act } of steps) {
      now += passMs
      const chosen = keys[key % Math.max(1, keys.length)] ?? 'gent-1.0.abcdefgh.0'
      if (act === 'issue') {
        const issued = registry.issue(other ? 'guild' : 'kalibra', key + 1, now)
        if (issued.kind === 'issued') keys = [...keys, ...issued.keys]
      } else if (act === 'finish') registry.finish(chosen, { state: 'complete', key: chosen, results: [] }, now)
      else if (act === 'sweep') registry.sweep(now)
      else if (registry.admit({ key: chosen, customer: other ? 'guild' : 'kalibra' }, 'hash', now).kind === 'admitted') {
        assert.ok(!admitted.has(chosen), chosen)
        admitted.add(chosen)
      }
    }
    assert.equal(new Set(keys).size, keys.length)
  }), { seed: 11, numRuns: 2_000 })
})

// Guards against a refusal with a wrong reason, or one that states "not run" without proof.
test('each state of a key has its own reply', () => {
  const registry = new JobRegistry(identity)
  const key = issueOne(registry, 0)
  const spec = { key, customer: 'kalibra' }
  assert.equal(readError(registry.find(key, 'kalibra', 0)), 'JobUnknown')
  assert.equal(readError(registry.admit({ key, customer: 'guild' }, 'a', 0)), 'KeyNotIssued')
  assert.equal(readError(registry.admit({ ...spec, key: key.replace(/0$/, '1') }, 'a', 0)), 'KeyNotIssued')
  assert.equal(readError(registry.admit({ ...spec, key: key.replace(/0$/, '00') }, 'a', 0)), 'KeyMalformed')
  assert.equal(readError(registry.admit({ ...spec, key: 'gent-1.0.zzzzzzzz.0' }, 'a', 0)), 'OutcomeUnknown')
  assert.equal(registry.admit(spec, 'a', 0).kind, 'admitted')
  assert.equal(registry.admit(spec, 'a', 0).kind, 'attached')
  assert.equal(readError(registry.admit(spec, 'b', 0)), 'KeyReused')
  assert.equal(readError(registry.find(key, 'guild', 0)), 'KeyNotIssued')
  const answer = { state: 'complete', key, results: [1] } as const
  registry.finish(key, answer, 5)
  assert.deepEqual(registry.find(key, 'kalibra', 5 + answerLifetimeMs - 1), { kind: 'found', answer })
  assert.deepEqual(registry.listAnswers(), [{ ...spec, bodyHash: 'a', answer }])
  for (const sweep of [false, true]) {
    const late = 5 + answerLifetimeMs
    if (sweep) registry.sweep(late)
    assert.equal(readError(registry.admit(spec, 'a', late)), 'AnswerExpired')
    assert.equal(readError(registry.find(key, 'kalibra', keyLifetimeMs)), 'KeyExpired')
  }
})

// Guards against a running job that is dropped when its key expires.
test('a running job is kept after its key has expired', () => {
  const registry = new JobRegistry(identity)
  const key = issueOne(registry, 0)
  registry.admit({ key, customer: 'kalibra' }, 'a', keyLifetimeMs - 1)
  registry.sweep(keyLifetimeMs + 5)
  assert.equal(registry.find(key, 'kalibra', keyLifetimeMs + 5).kind, 'found')
})

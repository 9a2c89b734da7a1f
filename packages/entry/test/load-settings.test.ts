import { test } from 'node:test'
import assert from 'node:assert/strict'
import { formatProblem } from '@sesamereel/protocol'
import { parseSettings } from '../src/index.js'

const valid = {
  domain: 'gent',
  seat: 0,
  topology: { domains: [{ name: 'gent', seats: 2 }] },
  callerAddress: '127.0.0.1:7400',
  peerAddress: '127.0.0.1:7401',
  platform: { address: '127.0.0.1:7500' },
  callers: [{ token: 'a-token-of-a-caller', customers: '*' }],
  operatorToken: 'a-token-of-operators',
  peerToken: 'a-token-of-the-peers'
}

function listPaths (input: unknown): string[] {
  const loaded = parseSettings(JSON.stringify(input))
  return loaded.kind === 'loaded' ? [] : loaded.problems.map(problem => problem.path)
}

// Guards against an operator who corrects one problem a start.
test('all problems are reported at once', () => {
  assert.deepEqual(listPaths(valid), [])
  const { peerToken, ...rest } = valid
  const wrong = { ...rest, seat: 2, callerAddress: 'localhost:7400', platform: { address: '127.0.0.1:7500', retries: 3 }, colour: 'red' }
  assert.deepEqual(listPaths(wrong).sort(), ['callerAddress', 'colour', 'peerToken', 'platform.retries', 'seat'])
  assert.equal(peerToken.length, 20)
})

// Guards against an instance that splits limits by another topology than its own seat belongs to.
test('domain and seat must be in the topology', () => {
  assert.deepEqual(listPaths({ ...valid, domain: 'brugge' }), ['domain'])
  assert.deepEqual(listPaths({ ...valid, topology: { domains: [{ name: 'gent', seats: 1 }, { name: 'gent', seats: 1 }] } }), ['topology.domains[1].name'])
})

// Guards against tokens in terminals and logs.
test('a token that is too short is not repeated', () => {
  const loaded = parseSettings(JSON.stringify({ ...valid, operatorToken: 'hunter2', callers: [{ token: 'hunter3', customers: '*' }] }))
  assert.ok(loaded.kind === 'invalid' && loaded.problems.length === 2)
  assert.doesNotMatch(loaded.problems.map(formatProblem).join('\n'), /hunter/)
})

// Guards against a stack trace instead of a message for a broken file.
test('text that is not JSON is one problem', () => {
  const loaded = parseSettings('{"domain": ')
  assert.ok(loaded.kind === 'invalid' && loaded.problems.length === 1 && loaded.problems[0]!.expected === 'valid JSON')
})

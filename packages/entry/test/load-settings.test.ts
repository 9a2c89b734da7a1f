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

// Guards against reporting only one problem at a time, so that an operator has to start the
// instance once for each.
test('all problems are reported at once', () => {
  assert.deepEqual(listPaths(valid), [])
  const { peerToken, ...rest } = valid
  const wrong = { ...rest, seat: 2, callerAddress: 'localhost:7400', platform: { address: '127.0.0.1:7500', retries: 3 }, colour: 'red' }
  assert.deepEqual(listPaths(wrong).sort(), ['callerAddress', 'colour', 'peerToken', 'platform.retries', 'seat'])
  assert.equal(peerToken.length, 20)
})

// Guards against an instance that divides the limits by a topology that does not contain its seat.
test('the domain must be in the topology, and domain names must be unique', () => {
  assert.deepEqual(listPaths({ ...valid, domain: 'brugge' }), ['domain'])
  assert.deepEqual(listPaths({ ...valid, topology: { domains: [{ name: 'gent', seats: 1 }, { name: 'gent', seats: 1 }] } }), ['topology.domains[1].name'])
})

// Guards against disclosing tokens in terminals and logs.
test('the message about a short token does not contain the token', () => {
  const loaded = parseSettings(JSON.stringify({ ...valid, operatorToken: 'hunter2', callers: [{ token: 'hunter3', customers: '*' }] }))
  assert.ok(loaded.kind === 'invalid' && loaded.problems.length === 2)
  assert.doesNotMatch(loaded.problems.map(formatProblem).join('\n'), /hunter/)
})

// Guards against a stack trace instead of a message when the settings file is not valid JSON.
test('invalid JSON is reported as one problem', () => {
  const loaded = parseSettings('{"domain": ')
  assert.ok(loaded.kind === 'invalid' && loaded.problems.length === 1 && loaded.problems[0]!.expected === 'valid JSON')
})

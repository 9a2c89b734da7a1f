import assert from 'node:assert/strict'
import { describe, test } from 'node:test'
import { runProgram } from '../src/run-program.js'

const route = { host: 'lab.example', path_prefix: '/x/', service: 'lab', timeout_ms: 1_500, target_latency_ms: 60 }
const target = { service: 'lab', address: '10.0.0.9:8080', zone: 'a', state: 'ready', capacity: { cpu: 1_000 } }

async function check (files: Readonly<Record<string, unknown>>, options: readonly string[] = []): Promise<{ readonly code: number, readonly output: string, readonly errors: string }> {
  const output: string[] = []
  const errors: string[] = []
  const code = await runProgram({
    print: line => { output.push(line) },
    printError: line => { errors.push(line) },
    environment: {},
    readText: async file => typeof files[file] === 'string' ? files[file] : JSON.stringify(files[file]),
    signal: new AbortController().signal
  }, ['check', ...Object.keys(files).flatMap(name => [`--${name}`, name]), ...options])
  return { code, output: output.join('\n'), errors: errors.join('\n') }
}

/** Checks a configuration and returns its problems as `path: found`, after verifying that the exit code agrees with them. */
async function listFound (configuration: unknown, files: Readonly<Record<string, unknown>> = {}): Promise<readonly string[]> {
  const { code, output } = await check({ configuration, ...files }, ['--json'])
  const reports = JSON.parse(output) as ReadonlyArray<{ readonly problems: ReadonlyArray<{ readonly path: string, readonly found: string }> }>
  const found = reports.flatMap(({ problems }) => problems.map(problem => `${problem.path}: ${problem.found}`))
  assert.equal(code, found.length === 0 ? 0 : 2)
  return found
}

const findings: ReadonlyArray<readonly [name: string, configuration: unknown, found: readonly string[], files?: Readonly<Record<string, unknown>>]> = [
  ['no problem in a valid configuration', { version: 8, routes: [route, { ...route, path_prefix: '' }, { ...route, path_prefix: '/x/y/' }] }, [], { 'in-force': { version: 7 }, 'settings-targets': [target] }],
  ['a field of the wrong type', { version: 8, routes: [{ ...route, priority: 'high' }] }, ['routes[0].priority: "high"']],
  ['a missing field', { routes: [] }, ['version: nothing']],
  ['a host and prefix that occur twice, in any case of letters', { version: 8, routes: [route, { ...route, host: 'LAB.example' }] }, ['routes[1]: host and path_prefix of routes[0]']],
  ['a host with a port', { version: 8, routes: [{ ...route, host: 'lab.example:80' }] }, ['routes[0].host: "lab.example:80"']],
  ['a prefix without a slash', { version: 8, routes: [{ ...route, path_prefix: 'x/' }] }, ['routes[0].path_prefix: "x/"']],
  ['a service that no target has', { version: 8, routes: [{ ...route, service: 'press' }] }, ['routes[0].service: "press"'], { 'settings-targets': [target, JSON.stringify(target)] }],
  ['a target that instances ignore', { version: 8, routes: [route] }, ['[0]: 7'], { 'settings-targets': [7, target] }],
  ['targets that are not in a list', { version: 8 }, [': {}'], { 'settings-targets': {} }],
  ['a header limit above that of the parser', { version: 8, limits: { max_header_bytes: 65_537 } }, ['limits.max_header_bytes: 65537']],
  ['an idle time-out below the header time-out', { version: 8, limits: { idle_timeout_ms: 2_999 } }, ['limits.idle_timeout_ms: 2999']],
  ['a time-out at the target latency', { version: 8, routes: [{ ...route, timeout_ms: 60 }] }, ['routes[0].timeout_ms: 60']],
  ['a slack factor below 1', { version: 8, routes: [{ ...route, slack_factor: 0.9 }] }, ['routes[0].slack_factor: 0.9']],
  ['fewer than one attempt', { version: 8, routes: [{ ...route, max_attempts: 0 }] }, ['routes[0].max_attempts: 0']],
  ['a version that is not above the one in force', { version: 8 }, ['version: 8'], { 'in-force': { version: 8 } }],
  ['a version that no instance applies', { version: 0 }, ['version: 0']],
  ['a configuration in force that cannot be decoded', { version: 8 }, ['version: nothing'], { 'in-force': {} }]
]

// Each case guards against a finding that is not reported, or reported at another place or with exit code 0.
describe('check --configuration finds', () => {
  for (const [name, configuration, found, files] of findings) {
    test(name, async () => { assert.deepEqual(await listFound(configuration, files), found) })
  }

  // Guards against a text that is not JSON ending the command without a report.
  test('a text that is not JSON', async () => {
    const { code, output } = await check({ configuration: '{' })
    assert.equal(code, 2)
    assert.match(output, /configuration: 1 problem\n {2}\(top\) .*expected JSON/)
  })

  // Guards against differences without old and new value, and against defaults, order and unreachable queues reported as differences.
  test('what differs from the configuration in force', async () => {
    const inForce = { version: 7, routes: [{ ...route, max_attempts: 1 }, { ...route, path_prefix: '/old/' }, { ...route, path_prefix: '/same/' }, { ...route, path_prefix: '/same/', priority: 9 }] }
    const configuration = { version: 8, limits: { max_body_bytes: 1_000 }, routes: [{ ...route, path_prefix: '/same/', slack_factor: 1 }, { ...route, max_attempts: 3, priority: 2 }, { ...route, path_prefix: '/new/', service: 'press' }] }
    const { code, output } = await check({ configuration, 'in-force': inForce })
    assert.equal(code, 0)
    assert.deepEqual(output.split('\n').slice(1).map(line => line.trim().replace(/ {2,}/g, ' ')), [
      '5 changes from in-force to configuration',
      'changed configuration version 7 -> 8',
      'changed limits max_body_bytes 262144 -> 1000',
      'added queue lab.example/new/ service press, timeout_ms 1500, target_latency_ms 60, slack_factor 1, priority 0, max_attempts 1',
      'removed queue lab.example/old/ service lab, timeout_ms 1500, target_latency_ms 60, slack_factor 1, priority 0, max_attempts 1',
      'changed queue lab.example/x/ priority 0 -> 2, max_attempts 1 -> 3'
    ])
  })

  // Guards against differences that only the text shows.
  test('differences for programs', async () => {
    const { output } = await check({ configuration: { version: 8 }, 'in-force': { version: 7 } }, ['--json'])
    assert.deepEqual(JSON.parse(output), [
      { file: 'configuration', problems: [], changes: [{ subject: 'configuration', kind: 'changed', fields: [{ field: 'version', before: 7, after: 8 }] }] },
      { file: 'in-force', problems: [] }
    ])
  })

  // Guards against flags that are ignored because the configuration to check is missing.
  test('options that need a configuration', async () => {
    assert.equal((await check({ 'in-force': { version: 7 } })).code, 2)
  })
})

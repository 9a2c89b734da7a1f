import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { createResultError } from '@sesamereel/state'
import { type CommandContext, standardInputPath } from '../src/command-context.js'
import { createCommandLine } from '../src/command-line.js'
import { runProgram } from '../src/run-program.js'
import { completeJobReply, createErrorReply, type FakeReply, issuedKeyReply, type ReceivedRequest, startFakeServer, testKey } from './fake-server.js'

interface Run {
  readonly code: number
  readonly output: string
  readonly errors: string
}

async function run (args: readonly string[], files: Readonly<Record<string, unknown>> = {}, server = '127.0.0.1:1'): Promise<Run> {
  const output: string[] = []
  const errors: string[] = []
  const context: CommandContext = {
    print: line => { output.push(line) },
    printError: line => { errors.push(line) },
    environment: { SESAMEREEL_SERVER: server, SESAMEREEL_TOKEN: 'test-token-000001' },
    readText: async file => {
      if (!(file in files)) throw new Error('no such file')
      const content = files[file]
      return typeof content === 'string' ? content : JSON.stringify(content)
    },
    signal: new AbortController().signal
  }
  const code = await runProgram(context, args)
  return { code, output: output.join('\n'), errors: errors.join('\n') }
}

async function start (context: TestContext, handle: (request: ReceivedRequest) => FakeReply): Promise<string> {
  const server = await startFakeServer(handle)
  context.after(server.close)
  return server.address
}

const job = { customer: 'kalibra', tasks: [{ kind: 'lookup', demand: { processors: 1, memoryMb: 1, accelerators: 0 } }] }

// Guards against exit codes that differ from docs/exit-codes.md.
test('submit returns the exit code of the outcome', async context => {
  const withReply = async (reply: FakeReply): Promise<Run> => {
    const server = await start(context, received => received.path === '/v1/keys' ? issuedKeyReply : reply)
    return await run(['submit', '-', '--json', '--timeout', '1'], { [standardInputPath]: job }, server)
  }
  const complete = await withReply(completeJobReply)
  assert.equal(complete.code, 0)
  assert.deepEqual(JSON.parse(complete.output).answer.results, [1])
  assert.equal((await withReply({ status: 200, body: { state: 'failed', key: testKey, failure: { code: 400, message: 'x', taskIndex: 0 } } })).code, 1)
  assert.equal((await withReply(createErrorReply('DemandAbovePlan'))).code, 3)
  assert.equal((await withReply(createErrorReply('OwnerGone'))).code, 4)
  assert.equal((await withReply({ status: 202, body: { state: 'running', key: testKey, done: 0, total: 1 } })).code, 7)
  assert.equal((await run(['submit', 'missing.json'])).code, 2)
})

// Guards against sending an invalid job file, and against reporting only one of its problems.
test('submit reports all problems of a job file at once', async () => {
  const { code, errors } = await run(['submit', 'job.json'], { 'job.json': { customer: '?', tasks: [{ kind: 'a', demand: { processors: -1, memoryMb: 'x' } }] } })
  assert.equal(code, 2)
  for (const path of ['customer', 'tasks[0].demand.processors', 'tasks[0].demand.memoryMb', 'tasks[0].demand.accelerators']) assert.match(errors, new RegExp(path.replace(/[[\]]/g, '\\$&')))
})

// Guards against undetected invalid settings and contradictions between instances, and against tokens in the output.
test('check reports all problems of settings and lists without printing secrets', async () => {
  const settings = {
    domain: 'gent-1',
    seat: 5,
    topology: { domains: [{ name: 'gent-1', seats: 3 }] },
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    platform: { address: '127.0.0.1:3' },
    callers: [{ token: 'caller-token-0001', customers: '*' }],
    operatorToken: 'operator-token-01',
    peerToken: 'peer-token-000001'
  }
  const broken = { ...settings, operatorToken: 'hidden', retries: 'fast', platform: { address: 'host:3' } }
  const other = { ...settings, peerToken: 'peer-token-000002' }
  const { code, output } = await run(
    ['check', '--settings', 'a.json', '--settings', 'b.json', '--settings', 'c.json', '--plans', 'plans.json', '--limits', 'limits.json'],
    { 'a.json': broken, 'b.json': settings, 'c.json': other, 'plans.json': { kalibra: 'gold' }, 'limits.json': { version: 3, limits: {} } }
  )
  assert.equal(code, 2)
  for (const pattern of [/operatorToken .*6 characters.*at least 16/, /retries .*no field of this name/, /platform.address .*IP:PORT/, /seat .*found 5, .*0 to 2/, /peerToken .*b\.json/, /kalibra .*"gold"/]) assert.match(output, pattern)
  assert.doesNotMatch(output, /hidden/)
})

// Guards against an edit without a base version, which could silently undo edits of others.
test('apply needs a base version and reports a conflict with its changes', async context => {
  const conflictReply = { status: 409, body: { ...createResultError('ListConflict', 'test'), version: 7, changes: [{ list: 'plans', name: 'coast', before: 'a', after: 'c' }] } }
  const server = await start(context, received => received.method === 'PUT' ? conflictReply : { status: 200, body: { version: 7, editId: 'other-edit', plans: { guild: 'a' }, limits: {} } })
  assert.equal((await run(['plans', 'apply', 'p.json'], { 'p.json': { guild: 'b' } }, server)).code, 2)
  const conflict = await run(['plans', 'apply', 'p.json'], { 'p.json': { version: 6, plans: { guild: 'b' } } }, server)
  assert.equal(conflict.code, 5)
  assert.match(conflict.errors, /~ {2}guild {2}a -> b/)
  assert.match(conflict.errors, /other-edit/)
  assert.match(conflict.errors, /~ {2}plans {2}coast {2}a -> c/)
})

// Guards against status fields missing from the output, and against misaligned columns.
test('status shows groups as aligned tables', async context => {
  const server = await start(context, () => ({ status: 200, body: { version: 7, targets: [{ id: 't1', health: 'ejected', freeSlots: 8 }, { id: 't10', health: 'ok', freeSlots: 12 }] } }))
  const { code, output } = await run(['status'], {}, server)
  assert.equal(code, 0)
  assert.match(output, /^ {2}id {3}health {3}free slots\n {2}t1 {3}ejected {11}8\n {2}t10 {2}ok {15}12$/m)
})

// Guards against a command without an example, and against ignoring invalid options.
test('each command has an example, and invalid options and arguments are rejected', async () => {
  const cli = createCommandLine({ environment: {} } as unknown as CommandContext)
  assert.ok(cli.commands.length >= 8)
  for (const command of cli.commands) assert.ok(command.examples.length > 0, command.name)
  for (const args of [['submit', 'x', '--serer', 'y'], ['submit'], ['nothing'], ['explain', '999'], ['submit', 'x', '--server', 'host:1']]) {
    assert.equal((await run(args)).code, 2, args.join(' '))
  }
  assert.match((await run(['explain', 'keyexpired'])).output, /302 KeyExpired/)
})

// Guards against accepting invalid files of the platform build; the checks themselves are tested in platform/.
test('check reports the problems of platform files with their paths', async () => {
  const { code, output } = await run(['check', '--platform', 'settings.json', '--deploy', 'system.toml'], { 'settings.json': '{}', 'system.toml': 'build = ' })
  assert.equal(code, 2)
  assert.match(output, /settings\.json: \d+ problems/)
  assert.match(output, /system\.toml: 1 problem\n {2}line 1/)
})

// Guards against a status that does not show which instance dispatches for a domain.
test('status shows the holder of each domain, from the first instance that replies', async context => {
  const status = { instance: 'edge-1', openJobs: 3, configurationVersion: 7, domains: [{ domain: 'a', holder: 'edge-2', token: 176, queuedJobs: 4 }], dispatchers: [] }
  const server = await start(context, received => received.path === '/status' ? { status: 200, body: status } : { status: 404, body: {} })
  const { code, output } = await run(['status', '--fleet', '127.0.0.1:1', '--fleet', server])
  assert.equal(code, 0)
  assert.match(output, /a\s+edge-2\s+176\s+4/)
  assert.equal((await run(['status', '--fleet', '127.0.0.1:1'])).code, 6)
})

// Guards against reporting success for a job that no log line names.
test('explain fails when no log line names the job', async () => {
  const { code, errors } = await run(['explain', '5c0e7a21d94b36f8', '--log', 'a.log'], { 'a.log': 'nothing\n' })
  assert.equal(code, 2)
  assert.match(errors, /none of the 0 log lines/)
})

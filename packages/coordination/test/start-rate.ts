// Measures the task starts per second of one dispatcher for each placement policy, with a runner that
// reports success in the next iteration of the event loop. Run: node packages/coordination/dist/test/start-rate.js
import { type AttemptOrder, type AttemptResult, AttemptRunner, createPlacement, Dispatcher, placementNames, SystemClock } from '../src/index.js'
import { createConfiguration, createTarget, createTask, FakeNetwork } from './fixture.js'

const targetCount = 30
const tasksPerJob = 230
const customers = Array.from({ length: 84 }, (_, i) => `team-${i}`)
const limit = { processors: 1e8, memoryMb: 1e8, accelerators: 100, parallel: 1e5 }

class InstantRunner extends AttemptRunner {
  private pending: Array<() => void> = []

  override startAttempt (_order: AttemptOrder, report: (result: AttemptResult) => void): void {
    if (this.pending.length === 0) setImmediate(() => { for (const finish of this.pending.splice(0)) finish() })
    this.pending.push(() => { report({ kind: 'succeeded', result: null, runMs: 0.1 }) })
  }

  override cancelAttempts (): void {}
}

async function measure (name: typeof placementNames[number], tasks: number): Promise<void> {
  const dispatcher = new Dispatcher({
    identity: { domain: 'gent-1', seat: 0, incarnation: 'k3j9x2ab' },
    topology: { domains: [{ name: 'gent-1', seats: 1 }] },
    clock: new SystemClock(),
    runner: new InstantRunner(),
    loans: new FakeNetwork().createChannel('gent-1.0'),
    placement: createPlacement(name, Math.random),
    random: Math.random,
    isShareUsable: () => true
  })
  dispatcher.applyConfiguration(createConfiguration(1, Object.fromEntries(customers.map(customer => [customer, limit]))))
  dispatcher.applyTargets(Array.from({ length: targetCount }, (_, i) => createTarget(`t${i}`)))
  const cpuBefore = process.cpuUsage()
  const startedAtMs = performance.now()
  const answers: Array<Promise<unknown>> = []
  for (let i = 0; i * tasksPerJob < tasks; i++) {
    const customer = customers[i % customers.length]!
    const issued = dispatcher.issueKeys(customer, 1)
    if (issued.kind === 'refused') throw new Error(issued.error.message)
    const spec = { key: issued.keys[0]!, customer, repeatable: false, tasks: Array.from({ length: tasksPerJob }, () => createTask()) }
    const reply = dispatcher.submit(spec, 'hash')
    if (reply.kind !== 'accepted') throw new Error(JSON.stringify(reply))
    answers.push(dispatcher.waitForAnswer(spec.key, customer, 60_000))
  }
  const submitMs = performance.now() - startedAtMs
  await Promise.all(answers)
  const wallMs = performance.now() - startedAtMs
  const cpu = process.cpuUsage(cpuBefore)
  const started = answers.length * tasksPerJob
  dispatcher.stop()
  console.log(`${name}: ${started} starts, submit ${Math.round(submitMs)} ms, wall ${Math.round(wallMs)} ms, ${Math.round(started / wallMs * 1000)} starts/s, ${Math.round(started / ((cpu.user + cpu.system) / 1e6))} starts per second of processor time`)
}

for (const name of placementNames) await measure(name, 100_000)

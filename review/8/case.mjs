// An order that a lost dispatcher left unanswered is carried out by a restarted worker while its task runs elsewhere.
import { fileURLToPath } from 'node:url'
import { pause, runCase, startSmallFleet } from '../stand-ins-2/fleet.mjs'
import { findOverlaps } from '../stand-ins-2/overlaps.mjs'

const folder = fileURLToPath(new URL('.', import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'
const host = 'nony24.example'
const prefix = '/lohu930/'
const zone = 'gent-a'
const service = 'ijkregister'
const configuration = { version: 7, routes: [{ name: 'r-1', host, path_prefix: prefix, type: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 60, priority: 0, service, max_attempts: 3, slack_factor: 1.6 }], services: [{ name: service, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, enforce_capacity: true, standby: false }] }
const job = { spec: '{"ms":3500}', best_effort: true, phases: [{ count: 4, cpu: 14_000, mem_mb: 64, estimate_ms: 3_500 }] }

/** Number of jobs of a round, which fill the workers of the zone. */
const jobsPerRound = 1
const waitMs = 17_000
const rounds = 7
/** Times in milliseconds from the first delayed order. */
const crashAt = 150
const killAt = 300
const restartAt = 3_200
/** Delayed orders arrive within this time after the restart of their worker. */
const arrivalMs = 250
/** Time in milliseconds after which a killed process is started again. */
const downMs = 3_500

await runCase(folder, async () => await startSmallFleet(folder, configuration, 5), async fleet => {
  let count = 0
  for (let round = 0; round < rounds; round++) {
    const holder = await fleet.waitForDispatcher(zone)
    const dispatcher = fleet.instances.find(({ name }) => name === holder)
    const owners = fleet.instances.filter(instance => instance.zone === zone && instance !== dispatcher)
    const workers = fleet.workers.filter(({ id }) => id.includes(zone)).slice(0, 2)
    const startedAt = fleet.now()
    if (hasTrouble) {
      let orders = 0
      for (const worker of workers) worker.lateOrderMs = () => orders++ % 2 === 1 ? undefined : restartAt - (fleet.now() - startedAt) + 2 + Math.random() * arrivalMs
    }
    const calls = Array.from({ length: jobsPerRound }, (_, index) => fleet.callJob('POST', owners[index % owners.length], { host, prefix, id: (++count).toString(16).padStart(16, '0'), job, waitMs }))
    await pause(crashAt)
    if (hasTrouble) {
      for (const worker of workers) {
        worker.lateOrderMs = undefined
        worker.crash()
      }
      await pause(killAt - crashAt)
      fleet.signal(dispatcher, 'SIGKILL')
      await pause(restartAt - (fleet.now() - startedAt))
      await Promise.all(workers.map(async worker => { await worker.restart() }))
      await pause(downMs + killAt - (fleet.now() - startedAt))
      fleet.startInstance(dispatcher)
    }
    await Promise.all(calls)
    await fleet.waitUntilReady()
    await pause(2_000)
  }
  const twice = findOverlaps(fleet.lines)
  if (twice.length === 0) return undefined
  return `TWICE: ${twice.length} tasks ran twice at the same time, the first: ${JSON.stringify(twice[0])}`
})

// Measures the resources that an instance uses while no job runs, in clusters of several sizes: processor
// time, bytes read and written, resident memory and messages sent.
// Run: npm run capacity:idle
import { readFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { Cluster } from './cluster.js'
import { fitLine } from './capacity-fit.js'
import { callHttp } from './http-call.js'

/** Time in milliseconds between the start of the cluster and the measurement. */
const settleMs = 8_000

/** Length of the measurement in milliseconds. */
const measureMs = 20_000

/** Clock ticks per second of the processor times in /proc/PID/stat. */
const ticksPerSecond = 100

const domainNames = ['gent-1', 'gent-2', 'brugge'] as const

/** Resources that one instance used, in total or per second; resident memory is always the current size. */
interface Usage {
  readonly cpuMs: number
  readonly bytes: number
  readonly residentMb: number
  readonly messages: number
}

/** Reads the usage of an instance since its start from /proc and its metrics. */
async function readUsage (pid: number, callerAddress: string): Promise<Usage> {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  const io = readFileSync(`/proc/${pid}/io`, 'utf8')
  const readCounter = (name: string): number => Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1] ?? 0)
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const reply = await callHttp(callerAddress, '/metrics', { method: 'GET' })
  const text = reply.kind === 'answered' ? String(reply.body) : ''
  const messages = [...text.matchAll(/^sesamereel_messages_total\{.*\} (\d+)$/gm)].reduce((sum, match) => sum + Number(match[1]), 0)
  return {
    cpuMs: (Number(stat[11]) + Number(stat[12])) * 1_000 / ticksPerSecond,
    bytes: readCounter('rchar') + readCounter('wchar'),
    residentMb: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024,
    messages
  }
}

/** Measures the mean usage per second of one instance in an idle cluster. */
async function measureCluster (seats: number): Promise<Usage> {
  const targets = Array.from({ length: 10 }, () => ({ speed: 1, slots: 8 }))
  const limit = { processors: 100_000, memoryMb: 100_000, accelerators: 0, parallel: 100 }
  const cluster = new Cluster({ domains: domainNames.map(name => ({ name, seats, targets })), plans: { kalibra: 'standard' }, limits: { standard: limit }, delayMs: 1 })
  try {
    await cluster.start()
    await delay(settleMs)
    const read = async (): Promise<readonly Usage[]> => await Promise.all(cluster.entries.map(async ({ name, callerAddress }) => await readUsage(cluster.launcher.getPid(name), callerAddress)))
    const before = await read()
    await delay(measureMs)
    const after = await read()
    const mean = (select: (usage: Usage, index: number) => number): number => after.reduce((sum, usage, index) => sum + select(usage, index), 0) / after.length
    const seconds = measureMs / 1_000
    return {
      cpuMs: mean((usage, i) => usage.cpuMs - before[i]!.cpuMs) / seconds,
      bytes: mean((usage, i) => usage.bytes - before[i]!.bytes) / seconds,
      residentMb: mean(usage => usage.residentMb),
      messages: mean((usage, i) => usage.messages - before[i]!.messages) / seconds
    }
  } finally {
    await cluster.close()
  }
}

const points: Array<readonly [instances: number, usage: Usage]> = []
for (const seats of [1, 2, 3, 5]) {
  const usage = await measureCluster(seats)
  points.push([seats * domainNames.length, usage])
  console.log(`${seats * domainNames.length} instances: ${(usage.cpuMs / 10).toFixed(2)}% of a core, ${Math.round(usage.bytes)} B/s, ${usage.messages.toFixed(1)} messages sent/s, ${usage.residentMb.toFixed(0)} MB resident`)
}
for (const name of ['cpuMs', 'bytes', 'messages', 'residentMb'] as const) {
  const { slope, intercept, r2 } = fitLine(points.map(([instances, usage]) => [instances, usage[name]]))
  console.log(`${name}: slope ${slope.toPrecision(3)} per instance, intercept ${intercept.toPrecision(3)}, r2 ${r2.toFixed(3)}`)
}

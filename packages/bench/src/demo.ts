import { randomBytes } from 'node:crypto'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { type JobAnswer } from '@sesamereel/state'
import { Cluster } from './cluster.js'
import { type EntryProcess, tokens } from './cluster-model.js'
import { describeError } from './errors.js'
import { collectStarts } from './history-builder.js'
import { callHttpOrThrow } from './http-call.js'
import { programs } from './programs.js'

const taskCount = 120

const domains = ['gent-1', 'gent-2', 'brugge']

/** The fields of a span in the JSON form of OTLP that are printed. */
interface Span {
  readonly name: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly startTimeUnixNano: string
  readonly endTimeUnixNano: string
}

/** Spans of one name that are printed below one parent. */
const maxShownSpans = 3

function print (line: string): void {
  process.stdout.write(line + '\n')
}

/**
 * Ends the demo with a reason when something is not as it must be.
 */
function verify (condition: boolean, reason: string): asserts condition {
  if (!condition) throw new Error(reason)
}

function createTraceparent (traceId: string): string {
  return `00-${traceId}-${randomBytes(8).toString('hex')}-01`
}

/** One audit of a municipality: many lookups, each with its own result. */
function createJob (): { customer: string, tasks: ReadonlyArray<Readonly<Record<string, unknown>>> } {
  return {
    customer: 'kalibra',
    tasks: Array.from({ length: taskCount }, (_, index) => {
      const workMs = 50 + (index * 37) % 200
      return {
        kind: 'lookup',
        payload: { workMs, tag: `meter-${index}`, result: `certificate of meter-${index}` },
        demand: { processors: 1_000, memoryMb: 256, accelerators: 0 },
        expectedMs: workMs
      }
    })
  }
}

async function printTrace (entries: readonly EntryProcess[], traceId: string): Promise<void> {
  const spans = new Map<string, Span & { readonly instance: string }>()
  for (const entry of entries) {
    const { spans: found } = await callHttpOrThrow(entry.callerAddress, `/v1/traces/${traceId}`, { token: tokens.caller }) as { spans: readonly Span[] }
    for (const span of found) spans.set(span.spanId, { ...span, instance: entry.name })
  }
  verify(spans.size > 0, `no instance has spans of trace ${traceId}`)
  const instances = new Set([...spans.values()].map(({ instance }) => instance))
  verify(instances.size > 1, `all spans of trace ${traceId} are from ${[...instances].join()}, expected a hop to another instance`)
  print(`\ntrace ${traceId}: ${spans.size} spans at ${instances.size} instances`)
  const ordered = [...spans.values()].sort((a, b) => Number(BigInt(a.startTimeUnixNano) - BigInt(b.startTimeUnixNano)))
  const printBelow = (parent: string | undefined, depth: number): void => {
    const shown = new Map<string, number>()
    for (const span of ordered) {
      const known = span.parentSpanId !== undefined && spans.has(span.parentSpanId) ? span.parentSpanId : undefined
      if (known !== parent) continue
      const count = (shown.get(span.name) ?? 0) + 1
      shown.set(span.name, count)
      if (count > maxShownSpans) continue
      const durationMs = Number(BigInt(span.endTimeUnixNano) - BigInt(span.startTimeUnixNano)) / 1e6
      print(`  ${'  '.repeat(depth)}${span.name} at ${span.instance}, ${durationMs.toFixed(1)} ms`)
      printBelow(span.spanId, depth + 1)
    }
    for (const [name, count] of shown) {
      if (count > maxShownSpans) print(`  ${'  '.repeat(depth)}and ${count - maxShownSpans} more spans ${name}`)
    }
  }
  printBelow(undefined, 0)
}

async function runDemo (cluster: Cluster): Promise<void> {
  await cluster.start()
  const { entries, launcher } = cluster
  print(`started platform, ${cluster.targets.length} targets in ${domains.length} domains and ${entries.length} entry instances: ${entries.map(({ name }) => name).join(', ')}`)
  const balancer = await launcher.startStandIn('balancer', 'balancer', { backends: entries.map(({ callerAddress }) => callerAddress) })
  const job = createJob()
  const file = join(launcher.folder, 'audit.json')
  writeFileSync(file, JSON.stringify(job))

  const traceId = randomBytes(16).toString('hex')
  const submitted = await launcher.runProgram(
    [programs.commandLine, 'submit', file, '--server', balancer.addresses['api']!, '--token', tokens.caller, '--json'],
    { TRACEPARENT: createTraceparent(traceId) }
  )
  verify(submitted.code === 0, `sesamereel submit ended with exit code ${String(submitted.code)}: ${submitted.stdout}${submitted.stderr}`)
  const outcome = JSON.parse(submitted.stdout) as { key: string, answer: JobAnswer }
  print(`\nanswer to job ${outcome.key}:\n${JSON.stringify(outcome.answer, undefined, 2)}`)
  const { answer } = outcome
  verify(answer.state === 'complete', `the answer is ${answer.state}, expected complete`)
  verify(answer.results.length === taskCount, `the answer has ${answer.results.length} results, expected ${taskCount}`)
  const wrong = answer.results.findIndex((result, index) => result !== `certificate of meter-${index}`)
  verify(wrong === -1, `result ${wrong} is ${JSON.stringify(answer.results[wrong])}`)

  const owner = outcome.key.split('.').slice(0, 2).join('.')
  const other = entries.find(({ domain, seat }) => `${domain}.${seat}` !== owner)!
  const again = await callHttpOrThrow(other.callerAddress, '/v1/jobs?waitMs=10000', { method: 'POST', token: tokens.caller, body: { key: outcome.key, ...job }, headers: { traceparent: createTraceparent(traceId) } })
  verify(JSON.stringify(again) === JSON.stringify(answer), `resubmitted through ${other.name}, the job got another answer: ${JSON.stringify(again).slice(0, 300)}`)
  print(`\nresubmitted through ${other.name}: the same answer`)

  const starts = collectStarts(cluster.readRecords(), cluster.records)
  const tags = new Set(starts.map(({ tag }) => tag))
  print(`task starts counted by the targets: ${starts.length} for ${taskCount} tasks`)
  for (const { id, spec } of cluster.targets) print(`  ${id} at speed ${spec.speed}: ${starts.filter(({ target }) => target === id).length}`)
  verify(starts.length === taskCount && tags.size === taskCount, `the targets counted ${starts.length} starts of ${tags.size} tasks, expected ${taskCount}`)

  await printTrace(entries, traceId)

  const codes = await Promise.all(entries.map(async ({ name }) => await cluster.stopEntry(name)))
  verify(codes.every(code => code === 0), `exit codes of the entry instances after SIGTERM: ${codes.join(', ')}`)
  print(`\nall ${codes.length} entry instances stopped gracefully with exit code 0`)
}

const startedAt = performance.now()
const cluster = new Cluster({
  domains: domains.map(name => ({ name, seats: 1, targets: [{ speed: 0.7, slots: 8 }, { speed: 1.4, slots: 8 }] })),
  plans: { kalibra: 'register' },
  limits: { register: { processors: 64_000, memoryMb: 64_000, accelerators: 0, parallel: 48 } },
  delayMs: 1
})
try {
  await runDemo(cluster)
  print(`done in ${((performance.now() - startedAt) / 1_000).toFixed(1)} s`)
} catch (error) {
  process.exitCode = 1
  process.stderr.write(`demo failed: ${describeError(error)}\n`)
} finally {
  await cluster.close()
}

import { readFileSync, writeFileSync } from 'node:fs'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as delay } from 'node:timers/promises'
import { type ClientCounts, JobClient, type JobOutcome } from '@sesamereel/cli'
import { findLimit, type ResourceVector } from '@sesamereel/state'
import { computeIdealResponseMs } from './load-ideal.js'
import { generateJob, type LoadJob } from './load-jobs.js'
import { type LoadClientPlan, loadClientPlanSchema, type LoadClientResult } from './load-client-plan.js'
import { listPlans, profiles } from './load-profiles.js'
import { LoadRandom } from './load-random.js'
import { computeSummary, type JobSample } from './load-samples.js'

/** Keys that a client requests at a time. */
const keyBlock = 100

/** Open-loop load generator: submits each job at its planned arrival, whether or not earlier jobs have been answered. */
class LoadClient {
  readonly #plan: LoadClientPlan
  readonly #random: LoadRandom
  readonly #clients: readonly JobClient[]
  readonly #limits: ReadonlyMap<string, ResourceVector>
  readonly #samples: JobSample[] = []
  readonly #latenessMs: number[] = []
  readonly #pendingJobs = new Map<number, { readonly arrivalMs: number, readonly job: LoadJob }>()

  constructor (plan: LoadClientPlan) {
    this.#plan = plan
    this.#random = new LoadRandom(plan.seed)
    // One client per server, used round-robin, takes the place of the platform's load balancer.
    this.#clients = plan.servers.map((_, startServer) => new JobClient({ servers: plan.servers, startServer, token: plan.token, keyBlockSize: keyBlock }))
    const profile = profiles[plan.profile]
    const configuration = { version: 1, editId: '', plans: listPlans(profile), limits: profile.limits }
    this.#limits = new Map(profile.customers.map(({ name }) => [name, findLimit(configuration, name)!]))
  }

  async run (): Promise<LoadClientResult> {
    const monitor = monitorEventLoopDelay({ resolution: 1 })
    await delay(Math.max(0, this.#plan.startAt - Date.now()))
    const usage = process.cpuUsage()
    const startedAt = performance.now() - (Date.now() - this.#plan.startAt)
    monitor.enable()
    await this.#submitAll(startedAt)
    monitor.disable()
    const { user, system } = process.cpuUsage(usage)
    const cores = (user + system) / 1_000 / (performance.now() - startedAt)
    const deadline = performance.now() + this.#plan.graceMs
    while (this.#pendingJobs.size > 0 && performance.now() < deadline) await delay(20)
    for (const { arrivalMs, job } of this.#pendingJobs.values()) this.#record(arrivalMs, performance.now() - startedAt - arrivalMs, job, 'pending')
    return {
      samples: this.#samples,
      counts: sumCounts(this.#clients.map(client => client.readCounts())),
      loopDelay: { p50: monitor.percentile(50) / 1e6, p99: monitor.percentile(99) / 1e6, max: monitor.max / 1e6 },
      lateness: computeSummary(this.#latenessMs),
      cores
    }
  }

  async #submitAll (startedAt: number): Promise<void> {
    const meanIntervalMs = 1_000 / this.#plan.jobsPerSecond
    let arrivalMs = this.#random.sampleExponential(meanIntervalMs)
    for (let jobNumber = 0; arrivalMs < this.#plan.durationMs; jobNumber++) {
      const untilArrivalMs = startedAt + arrivalMs - performance.now()
      if (untilArrivalMs > 0) await delay(untilArrivalMs)
      this.#submit(jobNumber, arrivalMs, startedAt)
      arrivalMs += this.#random.sampleExponential(meanIntervalMs)
    }
  }

  #submit (jobNumber: number, arrivalMs: number, startedAt: number): void {
    const job = generateJob(this.#random, profiles[this.#plan.profile], `${this.#plan.name}.${jobNumber}`)
    const client = this.#clients[jobNumber % this.#clients.length]!
    this.#pendingJobs.set(jobNumber, { arrivalMs, job })
    this.#latenessMs.push(Math.max(0, performance.now() - startedAt - arrivalMs))
    const timeoutMs = this.#plan.durationMs + this.#plan.graceMs
    client.submit({ customer: job.customer, repeatable: job.repeatable, tasks: job.tasks }, { timeoutMs }).then(outcome => {
      if (this.#pendingJobs.delete(jobNumber)) this.#record(arrivalMs, performance.now() - startedAt - arrivalMs, job, classifyOutcome(outcome, job))
    }, (error: unknown) => {
      this.#pendingJobs.delete(jobNumber)
      this.#record(arrivalMs, 0, job, `client error ${String(error)}`)
    })
  }

  #record (arrivalMs: number, responseMs: number, job: LoadJob, outcome: string): void {
    const idealMs = computeIdealResponseMs({
      tasks: job.tasks.map(task => ({ workMs: task.payload.workMs, demand: task.demand })),
      limit: this.#limits.get(job.customer)!,
      slotSpeeds: this.#plan.slotSpeeds,
      clientDelayMs: profiles[this.#plan.profile].clientDelayMs
    })
    this.#samples.push({ arrivalMs, responseMs, idealMs, customer: job.customer, tasks: job.tasks.length, outcome })
  }
}

/**
 * Classifies the outcome of a job. A complete answer whose results differ from those of the job's tasks is `wrong`.
 */
function classifyOutcome (outcome: JobOutcome, job: LoadJob): string {
  switch (outcome.kind) {
    case 'answered': {
      const { answer } = outcome
      if (answer.state === 'failed') return `failed ${answer.failure.code}`
      const hasExpectedResults = answer.results.length === job.tasks.length && job.tasks.every((task, index) => answer.results[index] === task.payload.result)
      return hasExpectedResults ? 'complete' : 'wrong'
    }
    case 'refused':
      return `refused ${outcome.error.code}`
    case 'unknown':
      return `unknown ${outcome.error?.code ?? ''}`.trim()
    default:
      return outcome.kind
  }
}

function sumCounts (all: readonly ClientCounts[]): ClientCounts {
  const sum = (name: keyof ClientCounts): number => all.reduce((total, counts) => total + counts[name], 0)
  return { askKeys: sum('askKeys'), submit: sum('submit'), resubmit: sum('resubmit'), wait: sum('wait'), cancel: sum('cancel'), lost: sum('lost') }
}

const plan = loadClientPlanSchema.parse(JSON.parse(readFileSync(process.argv[2]!, 'utf8')))
const result = await new LoadClient(plan).run()
writeFileSync(plan.resultFile, JSON.stringify(result))
// Exits explicitly: open requests and connections would keep the process alive.
process.exit(0)

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { RandomSource } from '@sesamereel/emulator'
import { BackgroundTasks } from './background-tasks.js'
import { CallerSession } from './caller-session.js'
import { Cluster } from './cluster.js'
import { type ClusterSpec } from './cluster-model.js'
import { describeError } from './errors.js'
import { FaultInjector } from './fault-injector.js'
import { buildHistory } from './history-builder.js'
import { checkHistory } from './history-checker.js'
import { type History } from './history-records.js'
import { checkExpectations } from './scenario-expectations.js'
import { ScenarioFaults } from './scenario-faults.js'
import { type GroupJob, ScenarioJobs } from './scenario-jobs.js'
import { computeServed } from './scenario-measures.js'
import { ScenarioOperators } from './scenario-operators.js'
import { ScenarioProcesses } from './scenario-processes.js'
import { type Expectations, type Scenario, type ScenarioStep, type StepHandlers } from './scenario-schema.js'

/** Outcome of one run of a scenario. */
export interface ScenarioResult {
  /** Failed steps, expectations that do not hold, and violations; empty when the scenario passes. */
  readonly problems: readonly string[]
  /** Folder with logs, records and history, when it was kept. */
  readonly folder?: string
  /** Figures for the report. */
  readonly figures: Readonly<Record<string, number>>
}

/** Runs one scenario on a cluster of its own. */
export class ScenarioRunner {
  readonly #scenario: Scenario
  readonly #random: RandomSource
  readonly #cluster: Cluster
  readonly #injector: FaultInjector
  readonly #session = new CallerSession()
  readonly #groups = new Map<string, GroupJob[]>()
  readonly #marks = new Map<string, number>()
  readonly #problems: string[] = []
  readonly #submissions = new BackgroundTasks(this.#problems)
  /** Steps that run beside the next ones until a `join` step. */
  readonly #joinable = new BackgroundTasks(this.#problems)
  readonly #jobs: ScenarioJobs
  readonly #operators: ScenarioOperators
  readonly #faults: ScenarioFaults
  readonly #handlers: StepHandlers

  /**
   * @param scenario - what to run
   * @param seed - varies the waits between steps by up to 5%
   */
  constructor (scenario: Scenario, seed: number) {
    this.#scenario = scenario
    this.#random = new RandomSource(seed)
    this.#cluster = new Cluster(createClusterSpec(scenario))
    this.#injector = new FaultInjector(this.#cluster)
    const processes = new ScenarioProcesses(this.#cluster, group => this.#groups.get(group)?.[0]?.job.record.key)
    this.#jobs = new ScenarioJobs({ session: this.#session, processes, submissions: this.#submissions }, this.#groups)
    this.#operators = new ScenarioOperators(this.#session, processes)
    this.#faults = new ScenarioFaults({ cluster: this.#cluster, injector: this.#injector, processes, joinable: this.#joinable })
    this.#handlers = this.#createHandlers()
  }

  /**
   * Runs the steps until one fails, then checks the whole history against the invariants.
   *
   * @param keepFolder - after a failure, keeps the logs and records and writes the history beside them
   */
  async run (keepFolder = false): Promise<ScenarioResult> {
    let isKept = false
    try {
      await this.#cluster.start()
      await this.#runSteps()
      await this.#faults.heal()
      await this.#submissions.wait()
      await this.#joinable.wait()
      const history = this.#readHistory()
      for (const { invariant, message } of checkHistory(history)) this.#problems.push(`${invariant}: ${message}`)
      isKept = keepFolder && this.#problems.length > 0
      const { folder } = this.#cluster.launcher
      if (isKept) writeFileSync(join(folder, 'history.json'), JSON.stringify(history, undefined, 1))
      return { problems: this.#problems, ...(isKept ? { folder } : {}), figures: computeFigures(history) }
    } finally {
      await this.#cluster.close(isKept)
    }
  }

  async #runSteps (): Promise<void> {
    for (const [index, step] of this.#scenario.steps.entries()) {
      try {
        await this.#runStep(step)
      } catch (error) {
        this.#problems.push(`step ${index + 1} (${Object.keys(step).join()}): ${describeError(error)}`)
        return
      }
    }
  }

  async #runStep (step: ScenarioStep): Promise<void> {
    const [[name, value]] = Object.entries(step) as [[keyof StepHandlers, unknown]]
    const handle = this.#handlers[name] as (value: unknown) => Promise<void> | void
    await handle(value)
  }

  #createHandlers (): StepHandlers {
    const faults = this.#faults
    return {
      submit: async step => { await this.#jobs.submit(step) },
      resubmit: async step => { await this.#jobs.resubmit(step) },
      cancel: async step => { await this.#jobs.cancel(step) },
      fetch: step => { this.#joinable.add('fetch in the background', this.#jobs.fetch(step)) },
      settle: async step => { await this.#jobs.settle(step) },
      edit: async step => { await this.#operators.edit(step) },
      race: async step => { await this.#operators.race(step) },
      readLists: async step => { await this.#operators.readLists(step) },
      wait: async ms => { await delay(ms * this.#random.pickInteger(950, 1_050) / 1_000) },
      mark: name => { this.#marks.set(name, Date.now()) },
      kill: name => { faults.kill(name) },
      pause: name => { faults.pause(name) },
      resume: async name => { await faults.resume(name) },
      replace: async step => { await faults.replace(step) },
      stop: async step => { await faults.stop(step) },
      join: async () => { await this.#joinable.wait() },
      platform: async step => { await faults.disturbPlatform(step) },
      cut: async step => { await faults.cut(step) },
      silence: async part => { await faults.silence(part) },
      target: async step => { await faults.disturbTarget(step) },
      leave: async name => { await this.#cluster.markLeaving(name) },
      unlist: async name => { await faults.removeFromList(name) },
      heal: async () => { await faults.heal() },
      expect: expectations => { this.#expect(expectations) }
    }
  }

  #expect (expectations: Expectations): void {
    this.#problems.push(...checkExpectations(expectations, {
      groups: this.#groups,
      history: this.#readHistory(),
      marks: this.#marks,
      lastExitCode: this.#faults.lastExitCode
    }))
  }

  #readHistory (): History {
    return buildHistory({
      jobs: this.#session.jobs,
      calls: this.#session.calls,
      faults: this.#injector.records,
      records: this.#cluster.readRecords(),
      processes: this.#cluster.records
    })
  }
}

function createClusterSpec ({ cluster }: Scenario): ClusterSpec {
  const { domains, slots, plans, limits, delayMs } = cluster
  return {
    domains: Object.entries(domains).map(([name, { seats, targets }]) => ({ name, seats, targets: targets.map(speed => ({ speed, slots })) })),
    plans,
    limits,
    delayMs
  }
}

function computeFigures (history: History): Readonly<Record<string, number>> {
  return { jobs: history.jobs.length, calls: history.calls.length, starts: history.starts.length, ...computeServed(history) }
}

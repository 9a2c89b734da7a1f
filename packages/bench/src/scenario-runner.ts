import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { type LimitList } from '@sesamereel/state'
import { type CallerJob, CallerSession, type Destination, type JobPlan, type JobStanding, judgeReply } from './caller-session.js'
import { Cluster, type EntryProcess } from './cluster.js'
import { type ActiveFault, FaultInjector } from './fault-injector.js'
import { buildHistory } from './history-builder.js'
import { checkHistory } from './history-checker.js'
import { type History } from './history-records.js'
import { type HttpCallResult } from './http-call.js'
import { computePeakParallelism } from './peak-parallelism.js'
import { RandomSource } from '@sesamereel/emulator'
import { countBy, formatCounts } from './counts.js'
import { runWithConcurrencyLimit } from './concurrency-limit.js'
import { computeServed, countMost, readCode } from './scenario-measures.js'
import { type Bounds, type Expectations, type Scenario, type ScenarioStep, type SubmitStep } from './scenario-schema.js'

/** Follow-ups of many jobs at once are limited, so that callers do not compete for the machine. */
const maxFollowers = 64

interface GroupJob {
  readonly job: CallerJob
  readonly submittedAt: number
  standing: JobStanding
  answeredAt: number | undefined
}

export interface ScenarioResult {
  readonly problems: readonly string[]
  /** Folder with logs, records and history, when it was kept. */
  readonly folder?: string
  /** Figures for the report. */
  readonly figures: Readonly<Record<string, number>>
}

/** Runs one scenario on a cluster of its own. */
export class ScenarioRunner {
  readonly #scenario: Scenario
  readonly #cluster: Cluster
  readonly #faults: FaultInjector
  readonly #session = new CallerSession()
  readonly #groups = new Map<string, GroupJob[]>()
  readonly #marks = new Map<string, number>()
  readonly #background: Array<Promise<void>> = []
  /** Steps that run beside the next ones until a join step. */
  readonly #joinable: Array<Promise<void>> = []
  readonly #active: ActiveFault[] = []
  readonly #paused = new Map<string, ActiveFault>()
  readonly #problems: string[] = []
  readonly #random: RandomSource
  #lastExitCode: number | null | undefined
  #turn = 0

  /**
   * @param scenario - what to run
   * @param seed - varies the waits between steps by up to 5%
   */
  constructor (scenario: Scenario, seed: number) {
    this.#scenario = scenario
    this.#random = new RandomSource(seed)
    const { domains, slots, plans, limits, delayMs } = scenario.cluster
    this.#cluster = new Cluster({
      domains: Object.entries(domains).map(([name, { seats, targets }]) => ({ name, seats, targets: targets.map(speed => ({ speed, slots })) })),
      plans,
      limits,
      delayMs
    })
    this.#faults = new FaultInjector(this.#cluster)
  }

  /**
   * Runs all steps, then checks the whole history against the invariants.
   *
   * @param keepFolder - after a failure, keeps the logs and records and writes the history beside them
   */
  async run (keepFolder = false): Promise<ScenarioResult> {
    let isKept = false
    try {
      await this.#cluster.start()
      for (const [index, step] of this.#scenario.steps.entries()) {
        try {
          await this.#runStep(step)
        } catch (error) {
          this.#problems.push(`step ${index + 1} (${Object.keys(step).join()}): ${error instanceof Error ? error.message : String(error)}`)
          break
        }
      }
      await this.#heal()
      await Promise.all([...this.#background, ...this.#joinable])
      const history = this.#readHistory()
      for (const { invariant, message } of checkHistory(history)) this.#problems.push(`${invariant}: ${message}`)
      isKept = keepFolder && this.#problems.length > 0
      if (isKept) writeFileSync(join(this.#cluster.launcher.folder, 'history.json'), JSON.stringify(history, undefined, 1))
      return { problems: this.#problems, ...(isKept ? { folder: this.#cluster.launcher.folder } : {}), figures: { jobs: history.jobs.length, calls: history.calls.length, starts: history.starts.length, ...computeServed(history) } }
    } finally {
      await this.#cluster.close(isKept)
    }
  }

  async #runStep (step: ScenarioStep): Promise<void> {
    if ('submit' in step) await this.#submit(step.submit)
    else if ('resubmit' in step) await this.#resubmit(step.resubmit)
    else if ('cancel' in step) await this.#forEachJob(step.cancel.group, step.cancel.via, async (to, { job }) => { await this.#session.cancel(to, job) })
    else if ('fetch' in step) {
      const { group, via, waitMs } = step.fetch
      this.#runBeside('fetch', this.#forEachJob(group, via, async (to, { job }) => { await this.#session.fetch(to, job, waitMs) }))
    } else if ('settle' in step) await this.#settle(step.settle)
    else if ('edit' in step) await this.#edit(step.edit)
    else if ('race' in step) await this.#race(step.race)
    else if ('readLists' in step) await Promise.all(step.readLists.via.map(async seat => await this.#session.readLists(this.#findEntry(seat))))
    else if ('wait' in step) await delay(step.wait * this.#random.pickInteger(950, 1_050) / 1_000)
    else if ('mark' in step) this.#marks.set(step.mark, Date.now())
    else if ('expect' in step) this.#expect(step.expect)
    else await this.#runFaultStep(step)
  }

  async #runFaultStep (step: ScenarioStep): Promise<void> {
    if ('kill' in step) this.#cluster.killProcess(this.#findProcess(step.kill))
    else if ('pause' in step) {
      const name = this.#findProcess(step.pause)
      this.#paused.set(step.pause, this.#faults.pauseProcess(name))
    } else if ('resume' in step) {
      await this.#paused.get(step.resume)?.end()
      this.#paused.delete(step.resume)
    } else if ('replace' in step) {
      const name = typeof step.replace === 'string' ? step.replace : step.replace.seat
      const [domain, seat] = this.#resolveSeat(name).split('.') as [string, string]
      const started = this.#cluster.startEntry(domain, Number(seat)).then(() => {})
      if (typeof step.replace === 'string') await started
      else this.#runBeside('replace', started)
    } else if ('stop' in step) {
      const { name } = this.#findEntry(step.stop.seat)
      const stopped = this.#cluster.stopEntry(name).then(code => { this.#lastExitCode = code })
      if (step.stop.background) this.#runBeside('stop', stopped)
      else await stopped
    } else if ('join' in step) await Promise.all(this.#joinable)
    else if ('platform' in step) this.#active.push(await this.#faults.disturbPlatform(`platform ${Object.keys(step.platform).join()}`, step.platform))
    else if ('cut' in step) await this.#cut(step.cut)
    else if ('silence' in step) await this.#silence(step.silence)
    else if ('target' in step) {
      const { id, ...faults } = step.target
      await this.#cluster.setTargetFaults(id, faults)
      this.#faults.note(`target ${Object.keys(faults).join()}`)
    } else if ('leave' in step) await this.#cluster.markLeaving(step.leave)
    else if ('unlist' in step) await this.#cluster.removeFromList(this.#findProcess(step.unlist))
    else if ('heal' in step) await this.#heal()
  }

  #runBeside (name: string, step: Promise<void>): void {
    this.#joinable.push(step.catch((error: unknown) => { this.#problems.push(`${name} in the background: ${String(error)}`) }))
  }

  /** Resolves `owner:GROUP` to the seat that issued the first key of the group. */
  #resolveSeat (name: string): string {
    if (!name.startsWith('owner:')) return name
    const key = this.#groups.get(name.slice('owner:'.length))?.[0]?.job.record.key
    if (key === undefined) throw new Error(`no key was issued for ${name}`)
    return key.split('.').slice(0, 2).join('.')
  }

  #findEntry (seat: string): EntryProcess {
    const entry = this.#cluster.findEntry(this.#resolveSeat(seat))
    if (entry === undefined) throw new Error(`no entry instance is in seat ${JSON.stringify(seat)}`)
    return entry
  }

  /** Takes the next of the seats in which there is an instance, dead or alive. */
  #takeDestination (via: readonly string[]): Destination | undefined {
    const entries = via.map(seat => this.#cluster.findEntry(this.#resolveSeat(seat))).filter(entry => entry !== undefined)
    return entries[this.#turn++ % Math.max(1, entries.length)]
  }

  /** A name with a dot or `owner:` is a seat, any other one a target. */
  #findProcess (name: string): string {
    return /[.:]/.test(name) ? this.#findEntry(name).name : name
  }

  async #cut (cut: Extract<ScenarioStep, { cut: unknown }>['cut']): Promise<void> {
    if (cut.between !== undefined) this.#active.push(await this.#faults.cutDomains(cut.between[0], cut.between[1], cut.direction))
    for (const domain of cut.platform ?? []) this.#active.push(await this.#faults.cutPlatform(domain, cut.direction))
  }

  async #silence (part: 'peers' | 'targets' | 'platform' | 'all'): Promise<void> {
    const prefixes = { peers: ['peer:'], targets: ['target:'], platform: ['platform@'], all: ['peer:', 'target:', 'platform@'] }[part]
    await this.#faults.silenceLinks(name => prefixes.some(prefix => name.startsWith(prefix)))
  }

  async #heal (): Promise<void> {
    for (const fault of [...this.#active.splice(0), ...this.#paused.values()]) await fault.end()
    this.#paused.clear()
  }

  async #submit (step: SubmitStep): Promise<void> {
    const seats = step.via ?? this.#listSeats()
    const [low, high] = typeof step.workMs === 'number' ? [step.workMs, step.workMs] : step.workMs
    const plan: JobPlan = {
      customer: step.customer,
      tasks: step.tasks,
      workMs: Array.from({ length: step.tasks }, (_, index) => low + Math.round((high - low) * index / Math.max(1, step.tasks - 1))),
      kind: step.kind,
      ...(step.demand === undefined ? {} : { demand: step.demand }),
      ...(step.repeatable === undefined ? {} : { repeatable: step.repeatable }),
      ...(step.timeoutMs === undefined ? {} : { timeoutMs: step.timeoutMs })
    }
    const group = this.#groups.get(step.group) ?? []
    this.#groups.set(step.group, group)
    const submitAll = async (): Promise<void> => {
      const startedAt = Date.now()
      const submissions: Array<Promise<void>> = []
      for (let i = 0; i < step.jobs; i++) {
        if (step.perSecond !== undefined) await delay(Math.max(0, startedAt + i * 1_000 / step.perSecond - Date.now()))
        submissions.push(this.#submitOne(group, seats[i % seats.length]!, plan))
        if (submissions.length % maxFollowers === 0 && step.perSecond === undefined) await Promise.all(submissions)
      }
      await Promise.all(submissions)
    }
    if (step.background) this.#background.push(submitAll().catch((error: unknown) => { this.#problems.push(`background submissions: ${String(error)}`) }))
    else await submitAll()
  }

  async #submitOne (group: GroupJob[], seat: string, plan: JobPlan): Promise<void> {
    const to = this.#takeDestination([seat])
    if (to === undefined) return
    const submittedAt = Date.now()
    const job = await this.#session.createJob(to, plan)
    if (job === undefined) return
    const member: GroupJob = { job, submittedAt, standing: 'unknown', answeredAt: undefined }
    group.push(member)
    this.#observe(member, await this.#session.submit(to, job))
  }

  async #resubmit (step: { group: string, via: readonly string[], times: number }): Promise<void> {
    for (let i = 0; i < step.times; i++) {
      await this.#forEachJob(step.group, step.via, async (to, member) => { this.#observe(member, await this.#session.submit(to, member.job)) })
    }
  }

  async #settle (step: { groups?: readonly string[], via: readonly string[], timeoutMs: number }): Promise<void> {
    await Promise.all(this.#background)
    const until = Date.now() + step.timeoutMs
    const select = (): Destination | undefined => this.#takeDestination(step.via)
    const names = step.groups ?? [...this.#groups.keys()]
    const open = names.flatMap(name => this.#groups.get(name) ?? []).filter(({ answeredAt }) => answeredAt === undefined)
    await runWithConcurrencyLimit(open, maxFollowers, async member => {
      member.standing = await this.#session.waitForEnd(select, member.job, until)
      if (member.standing === 'complete' || member.standing === 'failed') member.answeredAt = Date.now()
    })
  }

  async #forEachJob (group: string, via: readonly string[], act: (to: Destination, member: GroupJob) => Promise<void>): Promise<void> {
    const members = this.#groups.get(group) ?? []
    await runWithConcurrencyLimit(members, maxFollowers, async member => {
      const to = this.#takeDestination(via)
      if (to !== undefined) await act(to, member)
    })
  }

  #observe (member: GroupJob, reply: HttpCallResult): void {
    const standing = judgeReply(reply)
    if (member.standing === 'complete' || member.standing === 'failed') return
    member.standing = standing
    if (standing === 'complete' || standing === 'failed') member.answeredAt = Date.now()
  }

  async #edit (step: { via: string, limits: LimitList, tries: number }): Promise<void> {
    for (let i = 0; i < step.tries; i++) {
      const to = this.#findEntry(step.via)
      const lists = await this.#session.readLists(to)
      if (lists.kind === 'answered' && lists.status === 200) {
        const { version, limits } = lists.body as { version: number, limits: LimitList }
        const reply = await this.#session.editList(to, 'limits', version, { ...limits, ...step.limits })
        if (reply.kind === 'answered' && reply.status === 200) return
      }
      if (i + 1 < step.tries) await delay(500)
    }
  }

  /** Each operator raises or lowers the limit of one plan on the version that it has just read. */
  async #race (step: { via: readonly string[], plan: string, rounds: number }): Promise<void> {
    for (let round = 0; round < step.rounds; round++) {
      await Promise.all(step.via.map(async (seat, index) => {
        const to = this.#findEntry(seat)
        const lists = await this.#session.readLists(to)
        if (lists.kind !== 'answered' || lists.status !== 200) return
        const { version, limits } = lists.body as { version: number, limits: LimitList }
        const limit = limits[step.plan]!
        await this.#session.editList(to, 'limits', version, { ...limits, [step.plan]: { ...limit, parallel: limit.parallel + 1 + index } })
      }))
    }
  }

  #listSeats (): readonly string[] {
    return this.#cluster.entries.map(({ domain, seat }) => `${domain}.${seat}`)
  }

  #readHistory (): History {
    return buildHistory({
      jobs: this.#session.jobs,
      calls: this.#session.calls,
      faults: this.#faults.records,
      records: this.#cluster.readRecords(),
      processes: this.#cluster.records
    })
  }

  #expect (expectations: Expectations): void {
    const { group } = expectations
    const members = group === undefined ? [...this.#groups.values()].flat() : this.#groups.get(group) ?? []
    const names = new Set(members.map(({ job }) => job.record.job))
    const tags = new Set(members.flatMap(({ job }) => job.record.tags))
    const history = this.#readHistory()
    const starts = history.starts.filter(({ tag }) => tags.has(tag))
    const label = group === undefined ? 'all jobs' : `group ${group}`
    const standings = countBy(members.map(({ standing }) => standing))
    const known = this.#problems.length
    for (const standing of ['complete', 'failed', 'gone', 'rejected', 'unknown'] as const) {
      this.#compare(`${label}: ${standing} jobs`, standings.get(standing) ?? 0, expectations[standing])
    }
    if (this.#problems.length > known) this.#problems.push(`${label}: ${formatCounts(standings)}; replies: ${formatCounts(countBy(history.calls.map(({ op, reply }) => `${op}:${readCode(reply)}`)))}`)
    const submissions = history.calls.filter(({ op, job }) => op === 'submit' && job !== undefined && names.has(job))
    for (const [code, bounds] of Object.entries(expectations.codes ?? {})) {
      this.#compare(`${label}: submissions answered with ${code}`, submissions.filter(call => readCode(call.reply) === code).length, bounds)
    }
    this.#compare(`${label}: task starts`, starts.length, expectations.starts)
    this.#compare(`${label}: starts of one task`, countMost(starts), expectations.startsPerTask)
    if (expectations.answeredWithinMs !== undefined) {
      const times = members.map(member => (member.answeredAt ?? Infinity) - member.submittedAt)
      this.#compare(`${label}: slowest answer in ms`, Math.max(0, ...times), { atMost: expectations.answeredWithinMs })
    }
    this.#compare('accepted edits', history.calls.filter(({ op, reply }) => op === 'edit' && reply.kind === 'answered' && reply.status === 200).length, expectations.edits)
    if (expectations.exitCode !== undefined && this.#lastExitCode !== expectations.exitCode) this.#problems.push(`exit code of the planned stop is ${String(this.#lastExitCode)}, expected ${expectations.exitCode}`)
    this.#expectAtTargets(expectations, history)
  }

  #expectAtTargets ({ shareAt, startsAt, parallel }: Expectations, history: History): void {
    if (shareAt !== undefined) {
      const since = history.starts.filter(({ at }) => at >= this.#findMark(shareAt.since))
      const share = since.filter(({ target }) => target === shareAt.target).length / Math.max(1, since.length)
      if (since.length === 0) this.#problems.push(`no starts since ${shareAt.since}, so the share of ${shareAt.target} says nothing`)
      this.#compare(`share of the starts at ${shareAt.target} since ${shareAt.since}`, share, { atMost: shareAt.atMost })
    }
    if (startsAt !== undefined) {
      const count = history.starts.filter(({ at, target }) => at >= this.#findMark(startsAt.since) && target === startsAt.target).length
      this.#compare(`starts at ${startsAt.target} since ${startsAt.since}`, count, startsAt)
    }
    if (parallel !== undefined) {
      const since = parallel.since === undefined ? 0 : this.#findMark(parallel.since)
      const starts = history.starts.filter(({ customer }) => customer === parallel.customer)
      this.#compare(`most parallel tasks of ${parallel.customer}`, computePeakParallelism(starts, since), parallel)
    }
  }

  #findMark (name: string): number {
    const at = this.#marks.get(name)
    if (at === undefined) throw new Error(`there is no mark ${JSON.stringify(name)}`)
    return at
  }

  #compare (label: string, value: number, bounds: Bounds | undefined): void {
    if (bounds === undefined) return
    const { equals, atLeast, atMost } = bounds
    if (equals !== undefined && value !== equals) this.#problems.push(`${label}: ${value}, expected ${equals}`)
    if (atLeast !== undefined && value < atLeast) this.#problems.push(`${label}: ${value}, expected at least ${atLeast}`)
    if (atMost !== undefined && value > atMost) this.#problems.push(`${label}: ${value}, expected at most ${atMost}`)
  }
}

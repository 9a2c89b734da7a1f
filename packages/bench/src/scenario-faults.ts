import { type BackgroundTasks } from './background-tasks.js'
import { type Cluster } from './cluster.js'
import { type ActiveFault, type FaultInjector } from './fault-injector.js'
import { type ScenarioProcesses } from './scenario-processes.js'
import { type StepValue } from './scenario-schema.js'

/** Prefixes of the names of the links that a `silence` step selects. */
const linkPrefixes: Readonly<Record<StepValue<'silence'>, readonly string[]>> = {
  peers: ['peer:'],
  targets: ['target:'],
  platform: ['platform@'],
  all: ['peer:', 'target:', 'platform@']
}

/** What the faults of a scenario work with. */
export interface ScenarioFaultsContext {
  readonly cluster: Cluster
  readonly injector: FaultInjector
  readonly processes: ScenarioProcesses
  /** Steps that run beside the next ones until a `join` step. */
  readonly joinable: BackgroundTasks
}

/** Causes the faults of a scenario and controls its processes. */
export class ScenarioFaults {
  readonly #cluster: Cluster
  readonly #injector: FaultInjector
  readonly #processes: ScenarioProcesses
  readonly #joinable: BackgroundTasks
  readonly #active: ActiveFault[] = []
  /** Pauses by the name that the `pause` step gave. */
  readonly #pauses = new Map<string, ActiveFault>()
  #lastExitCode: number | null | undefined

  constructor ({ cluster, injector, processes, joinable }: ScenarioFaultsContext) {
    this.#cluster = cluster
    this.#injector = injector
    this.#processes = processes
    this.#joinable = joinable
  }

  /** Exit code of the last planned stop; null when it had to be killed, undefined before the first stop. */
  get lastExitCode (): number | null | undefined { return this.#lastExitCode }

  /** Kills a process. */
  kill (name: string): void {
    this.#cluster.killProcess(this.#processes.findProcess(name))
  }

  /** Pauses a process until it is resumed or all faults end. */
  pause (name: string): void {
    this.#pauses.set(name, this.#injector.pauseProcess(this.#processes.findProcess(name)))
  }

  /**
   * Resumes a paused process.
   *
   * @param name - the name that the `pause` step gave, because a seat may have a successor by now
   */
  async resume (name: string): Promise<void> {
    await this.#pauses.get(name)?.end()
    this.#pauses.delete(name)
  }

  /** Starts a new process in a seat. */
  async replace (step: StepValue<'replace'>): Promise<void> {
    const name = typeof step === 'string' ? step : step.seat
    const [domain, seat] = this.#processes.resolveSeat(name).split('.') as [string, string]
    const started = this.#cluster.startEntry(domain, Number(seat)).then(() => {})
    if (typeof step === 'string') await started
    else this.#joinable.add('replace in the background', started)
  }

  /** Stops an instance gracefully. */
  async stop ({ seat, background }: StepValue<'stop'>): Promise<void> {
    const { name } = this.#processes.findEntry(seat)
    const stopped = this.#cluster.stopEntry(name).then(code => { this.#lastExitCode = code })
    if (background) this.#joinable.add('stop in the background', stopped)
    else await stopped
  }

  /** Causes faults of the platform. */
  async disturbPlatform (faults: StepValue<'platform'>): Promise<void> {
    this.#active.push(await this.#injector.disturbPlatform(`platform ${Object.keys(faults).join()}`, faults))
  }

  /** Partitions domains from each other or from the platform. */
  async cut ({ between, platform, direction }: StepValue<'cut'>): Promise<void> {
    if (between !== undefined) this.#active.push(await this.#injector.cutDomains(between[0], between[1], direction))
    for (const domain of platform ?? []) this.#active.push(await this.#injector.cutPlatform(domain, direction))
  }

  /** Makes the existing connections of some links unresponsive. */
  async silence (part: StepValue<'silence'>): Promise<void> {
    await this.#injector.silenceLinks(name => linkPrefixes[part].some(prefix => name.startsWith(prefix)))
  }

  /** Sets faults of a target; they last until another step changes them. */
  async disturbTarget ({ id, ...faults }: StepValue<'target'>): Promise<void> {
    await this.#cluster.setTargetFaults(id, faults)
    this.#injector.note(`target ${Object.keys(faults).join()}`)
  }

  /** Removes a process from the instance list. */
  async removeFromList (name: string): Promise<void> {
    await this.#cluster.removeFromList(this.#processes.findProcess(name))
  }

  /** Ends all platform faults, partitions and pauses. */
  async heal (): Promise<void> {
    for (const fault of [...this.#active.splice(0), ...this.#pauses.values()]) await fault.end()
    this.#pauses.clear()
  }
}

import { LifeCycle } from '@sesamereel/coordination'
import { type Settings } from '@sesamereel/protocol'
import { addDispatcherGauges } from './dispatcher-gauges.js'
import { heartbeatIntervalMs } from './heartbeat-exchange.js'
import { parsePlacementPolicy } from './placement-choice.js'
import { PeriodicTask } from './periodic-task.js'
import { type Cradle, wireInstance } from './wiring.js'

/** Interval in milliseconds between two polls of the platform. */
const pollIntervalMs = 1_000

/** Time in milliseconds for open requests to finish when a server closes. A forwarded wait takes up to 2 s to end. */
const closeTimeoutMs = 10_000

/** Maximum time in milliseconds for a superseded instance to drain: the start window, the longest lease and a margin. */
const supersededDrainTimeoutMs = 12_000

/** Exit codes of the process by the way it ends. */
export const exitCodes = { stopped: 0, failed: 1, invalidSettings: 2, superseded: 3 } as const

/** Entry instance with all its components, from start to end. */
export class Instance {
  readonly #parts: Cradle
  readonly #lifeCycle: LifeCycle
  #shutdown: Promise<number> | undefined
  #resolveEnded!: (code: number) => void
  /** Resolves with the exit code when the instance has ended. */
  readonly ended: Promise<number>

  constructor (settings: Settings) {
    this.ended = new Promise(resolve => { this.#resolveEnded = resolve })
    this.#parts = wireInstance(settings, () => { this.#end(async () => await this.#drainSuperseded()) }).cradle
    const { log } = this.#parts
    this.#lifeCycle = new LifeCycle((component, error) => { log.logError(component, error) })
    this.#addComponents()
  }

  /** Addresses that the servers listen on; tests need them when the operating system assigns the ports. */
  addresses: { caller: string, peer: string } = { caller: '', peer: '' }

  /**
   * Starts all components. The instance becomes ready some time afterwards.
   *
   * @throws the error of a component that fails to start
   */
  async start (): Promise<void> {
    const { log } = this.#parts
    log.log('info', 'starting', { node: process.version, pid: process.pid, placement: parsePlacementPolicy(process.env['SESAMEREEL_PLACEMENT']) })
    await this.#lifeCycle.start()
    log.log('info', 'started', { callers: this.addresses.caller, peers: this.addresses.peer })
  }

  /**
   * Begins the planned stop. Has no effect when the instance is already stopping.
   */
  stop (): void {
    this.#end(async () => {
      await this.#parts.plannedStop.run()
      return exitCodes.stopped
    })
  }

  #end (finish: () => Promise<number>): void {
    const { log } = this.#parts
    this.#shutdown ??= finish().catch((error: unknown) => {
      log.logError('stop', error)
      return exitCodes.failed
    }).then(async code => {
      await this.#lifeCycle.stop()
      log.log('info', 'stopped', { code })
      this.#resolveEnded(code)
      return code
    })
  }

  /** Drains the instance after a later holder has taken the seat: finishes its jobs and archives the answers, within the time limit. */
  async #drainSuperseded (): Promise<number> {
    const { clock, plannedStop } = this.#parts
    let stopTimer: () => void = () => {}
    const timeout = new Promise<void>(resolve => { stopTimer = clock.startTimer(supersededDrainTimeoutMs, resolve) })
    await Promise.race([plannedStop.run(), timeout])
    stopTimer()
    return exitCodes.superseded
  }

  #addComponents (): void {
    const { apiServer, clock, dispatcher, heartbeats, keeper, log, metrics, peerServer, peers, platform, targetClient, tracing, watch } = this.#parts
    const repeat = (name: string, intervalMs: number, run: () => Promise<void>): void => {
      const task = new PeriodicTask(clock, intervalMs, run, error => { log.logError(name, error) })
      this.#lifeCycle.add({ name, start: async () => { await task.start() }, stop: async () => { await task.stop() } })
    }
    addDispatcherGauges(metrics, dispatcher)
    this.#lifeCycle.add({ name: 'metrics', stop: () => { metrics.stop() } })
    this.#lifeCycle.add({ name: 'tracing', stop: async () => { await tracing.stop() } })
    this.#lifeCycle.add({ name: 'platform', stop: async () => { await platform.close() } })
    this.#lifeCycle.add({ name: 'peers', stop: async () => { await peers.close() } })
    this.#lifeCycle.add({ name: 'targets', start: () => { targetClient.start() }, stop: async () => { await targetClient.stop() } })
    this.#lifeCycle.add({ name: 'dispatcher', stop: () => { dispatcher.stop() } })
    this.#lifeCycle.add({ name: 'peer-server', start: async () => { this.addresses.peer = await peerServer.listen() }, stop: async () => { await peerServer.close(closeTimeoutMs) } })
    this.#lifeCycle.add({ name: 'api-server', start: async () => { this.addresses.caller = await apiServer.listen() }, stop: async () => { await apiServer.close(closeTimeoutMs) } })
    repeat('instance-list', pollIntervalMs, async () => { await watch.pollInstances() })
    repeat('configuration', pollIntervalMs, async () => { await watch.pollConfiguration() })
    // The first round asks peers for earlier holders of the seat, so it comes before the claim.
    repeat('heartbeats', heartbeatIntervalMs, async () => { await heartbeats.sendRound() })
    this.#lifeCycle.add({
      name: 'seat-claim',
      start: async () => {
        await keeper.start()
        // All peers have to know the new holder before this instance serves callers.
        await heartbeats.sendRound(true)
      }
    })
    repeat('seat', heartbeatIntervalMs, async () => { await keeper.claimOrConfirm() })
  }
}

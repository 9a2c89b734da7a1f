import { LifeCycle } from '@sesamereel/coordination'
import { type Settings } from '@sesamereel/protocol'
import { addDispatcherGauges } from './dispatcher-gauges.js'
import { heartbeatIntervalMs } from './heartbeat-exchange.js'
import { parsePlacementPolicy } from './placement-choice.js'
import { PeriodicTask } from './periodic-task.js'
import { type Cradle, wireInstance } from './wiring.js'

/** Pause in milliseconds between two polls of the platform. */
const pollIntervalMs = 1_000

/** Time in milliseconds that responses under way have when a server stops; a forwarded wait takes up to 2 s to end. */
const closeGraceMs = 10_000

/** A superseded instance ends after this time in milliseconds at the latest: start window, longest lease and margin. */
const supersededDrainMs = 12_000

/** How a process ends; also its exit code. */
export const exitCodes = { stopped: 0, failed: 1, invalidSettings: 2, superseded: 3 } as const

/** One running instance. */
export class Instance {
  readonly #parts: Cradle
  readonly #lifeCycle: LifeCycle
  #ending: Promise<number> | undefined
  #reportEnd!: (code: number) => void
  /** Resolves with the exit code when the instance has ended. */
  readonly ended: Promise<number>

  constructor (settings: Settings) {
    this.ended = new Promise(resolve => { this.#reportEnd = resolve })
    this.#parts = wireInstance(settings, () => { this.#end(async () => await this.#leaveSeat()) }).cradle
    const { log } = this.#parts
    this.#lifeCycle = new LifeCycle((component, error) => { log.logError(component, error) })
    this.#addComponents()
  }

  /** Addresses that the servers listen on, for tests that let the system assign ports. */
  addresses: { caller: string, peer: string } = { caller: '', peer: '' }

  /**
   * Starts all parts; the instance becomes ready by itself afterwards.
   */
  async start (): Promise<void> {
    const { log } = this.#parts
    log.log('info', 'starting', { node: process.version, pid: process.pid, placement: parsePlacementPolicy(process.env['SESAMEREEL_PLACEMENT']) })
    await this.#lifeCycle.start()
    log.log('info', 'started', { callers: this.addresses.caller, peers: this.addresses.peer })
  }

  /**
   * Begins the planned stop; a second call has no effect.
   */
  stop (): void {
    this.#end(async () => {
      await this.#parts.plannedStop.run()
      return exitCodes.stopped
    })
  }

  #end (finish: () => Promise<number>): void {
    const { log } = this.#parts
    this.#ending ??= finish().catch((error: unknown) => {
      log.logError('stop', error)
      return exitCodes.failed
    }).then(async code => {
      await this.#lifeCycle.stop()
      log.log('info', 'stopped', { code })
      this.#reportEnd(code)
      return code
    })
  }

  /** A later holder has the seat: finishes what runs, hands over the answers and ends. */
  async #leaveSeat (): Promise<number> {
    const { clock, plannedStop } = this.#parts
    let stopTimer: () => void = () => {}
    const limit = new Promise<void>(resolve => { stopTimer = clock.startTimer(supersededDrainMs, resolve) })
    await Promise.race([plannedStop.run(), limit])
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
    this.#lifeCycle.add({ name: 'peer-server', start: async () => { this.addresses.peer = await peerServer.listen() }, stop: async () => { await peerServer.close(closeGraceMs) } })
    this.#lifeCycle.add({ name: 'api-server', start: async () => { this.addresses.caller = await apiServer.listen() }, stop: async () => { await apiServer.close(closeGraceMs) } })
    repeat('instance-list', pollIntervalMs, async () => { await watch.pollInstances() })
    repeat('configuration', pollIntervalMs, async () => { await watch.pollConfiguration() })
    // The first round asks peers for earlier holders of the seat, so it precedes the claim.
    repeat('heartbeats', heartbeatIntervalMs, async () => { await heartbeats.sendRound() })
    this.#lifeCycle.add({
      name: 'seat-claim',
      start: async () => {
        await keeper.start()
        // All peers must learn of the new holder before callers do.
        await heartbeats.sendRound(true)
      }
    })
    repeat('seat', heartbeatIntervalMs, async () => { await keeper.claimOrConfirm() })
  }
}

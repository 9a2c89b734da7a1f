import { type Clock } from '@sesamereel/coordination'
import { DomainDrains, type EventLog, type MetadataStore, type RowChange, type StoreRow, TableEvidenceObserver, TableObserver, TableWatch } from '@sesamereel/fleet'

/** Table of the emulated store in which the operator requests drains; the key is the domain. */
export const emulatedDrainTable = 'drains'

/** Interval in milliseconds at which the table is listed, as by the platform build. */
const relistIntervalMs = 3_000

/** Passes rows of the table on as requests to drain domains. */
class DrainReader extends TableEvidenceObserver {
  readonly #drains: DomainDrains

  constructor (drains: DomainDrains) {
    super()
    this.#drains = drains
  }

  override onListed (rows: readonly StoreRow[], revision: number, sentElapsed: number): void {
    this.#drains.applyList(rows.map(({ key, revision }) => ({ key, domain: key, revision })), revision, sentElapsed)
  }

  override onChanges (changes: readonly RowChange[]): void {
    this.#drains.applyChanges(changes.map(({ key, revision, deleted }) => ({ key, domain: key, revision, deleted })))
  }
}

/** Ignores the rows, which the reader of the evidence gets already. */
class NoTableObserver extends TableObserver {
  override onRows (): void {}
}

/** The drains of one emulated instance, and the watch by which it reads them. */
export interface EmulatedDrains {
  readonly state: DomainDrains
  readonly read: () => void
  readonly start: () => void
  readonly close: () => void
}

/**
 * Creates the drains of an instance. The watch has a fixed jitter, so that the random choices of earlier seeds stay as they are.
 *
 * @param instance - name of the instance
 * @param domains - all failure domains
 * @param drainBoundMs - time in milliseconds after the write of a request from which no task may start in the domain
 * @returns the drains; their watch is not started
 */
export function createEmulatedDrains (instance: string, domains: readonly string[], drainBoundMs: number, store: MetadataStore, clock: Clock, log: EventLog): EmulatedDrains {
  const state = new DomainDrains({ instance, domains, drainBoundMs, clock, log })
  const watch = new TableWatch(store, emulatedDrainTable, { relistIntervalMs, batchingPauseMs: 0, evidence: new DrainReader(state), listsDuringWatch: true, random: () => 0.5 }, clock, log, new NoTableObserver())
  return { state, read: () => { watch.relist() }, start: () => { watch.start() }, close: () => { watch.close() } }
}

import { type Configuration, createResultError } from '@sesamereel/state'
import { createValidationError, createRequestError, type EditReply, type ListEdit, OperatorService } from '@sesamereel/transport'
import { applyEdit, diffConfigurations, findMissingLimits } from './configuration-edit.js'
import { type ConfigurationStore, parseConfigurationRow } from './configuration-store.js'

/** Number of versions in memory, from which the changes are reported to an operator whose edit conflicts. */
const maxRecordedVersions = 50

export interface ListEditorOptions {
  readonly store: ConfigurationStore
  /** Reads the lists in force. */
  readonly readInForce: () => Configuration
  /** Explains why the instance has no lists in force yet; undefined when it has. */
  readonly explainStarting: () => string | undefined
  /** Applies committed lists if they are newer than those in force. */
  readonly applyIfNewer: (configuration: Configuration) => void
  readonly describeInstance: () => unknown
  /** Logs the outcome of an edit. */
  readonly observeEdit: (edit: ListEdit, outcome: string, version: number | undefined) => void
}

/** Handles the requests of operators. Of several competing edits, the table service accepts one. */
export class ListEditor extends OperatorService {
  readonly #options: ListEditorOptions
  readonly #recordedVersions = new Map<number, Configuration>()

  constructor (options: ListEditorOptions) {
    super()
    this.#options = options
  }

  /**
   * Records a version, so that later changes to it can be reported.
   */
  recordVersion (configuration: Configuration): void {
    this.#recordedVersions.set(configuration.version, configuration)
    while (this.#recordedVersions.size > maxRecordedVersions) this.#recordedVersions.delete(this.#recordedVersions.keys().next().value!)
  }

  override async readLists (): Promise<Configuration> {
    // A starting instance has no lists in force yet; empty lists in the reply would look as if all entries had been deleted.
    const reason = this.#options.explainStarting()
    if (reason !== undefined) throw createRequestError('NotReady', reason)
    const read = await this.#readNewest()
    return read ?? this.#options.readInForce()
  }

  override async editList (edit: ListEdit): Promise<EditReply> {
    const reply = await this.#commitEdit(edit)
    const outcome = reply.kind === 'refused' ? reply.error.name : reply.dryRun ? 'checked' : 'applied'
    this.#options.observeEdit(edit, outcome, reply.version)
    return reply
  }

  override readStatus (): unknown {
    return this.#options.describeInstance()
  }

  async #commitEdit (edit: ListEdit): Promise<EditReply> {
    const current = await this.#readNewest()
    if (current === undefined) {
      return { kind: 'refused', error: createResultError('StoreUnavailable', 'the table service could not be read before the edit') }
    }
    if (current.editId === edit.editId && !edit.dryRun) return { kind: 'applied', version: current.version, changes: [], dryRun: false }
    if (current.version !== edit.baseVersion) return this.#refuseConflict(edit, current)
    const next = applyEdit(current, edit)
    const problems = findMissingLimits(next, edit)
    if (problems.length > 0) return { kind: 'refused', error: createValidationError('ListInvalid', problems).resultError }
    const changes = diffConfigurations(current, next)
    if (edit.dryRun) return { kind: 'applied', version: current.version, changes, dryRun: true }
    const result = await this.#options.store.write(next)
    switch (result.kind) {
      case 'committed':
        this.#applyIfNewer(next)
        return { kind: 'applied', version: next.version, changes, dryRun: false }
      case 'conflict': {
        const winner = result.rows[0] === undefined ? undefined : parseConfigurationRow(result.rows[0])
        return this.#refuseConflict(edit, winner ?? current)
      }
      case 'failed': return { kind: 'refused', error: createResultError('StoreUnavailable', result.message) }
      case 'unknown': return { kind: 'refused', error: createResultError('EditOutcomeUnknown', `edit ${JSON.stringify(edit.editId)} on version ${edit.baseVersion}: ${result.message}`) }
    }
  }

  #refuseConflict (edit: ListEdit, current: Configuration): EditReply {
    const base = this.#recordedVersions.get(edit.baseVersion)
    const error = createResultError('ListConflict', `baseVersion: found ${edit.baseVersion}, expected the current version ${current.version}`, 'baseVersion')
    return { kind: 'refused', error, version: current.version, changes: base === undefined ? [] : diffConfigurations(base, current) }
  }

  /**
   * Reads the lists from the store. The read may be stale, so the lists in force are returned if
   * they are newer.
   *
   * @returns undefined when the store did not return the lists
   */
  async #readNewest (): Promise<Configuration | undefined> {
    const read = await this.#options.store.read()
    if (read.kind !== 'found') return undefined
    this.#applyIfNewer(read.value)
    const inForce = this.#options.readInForce()
    return inForce.version > read.value.version ? inForce : read.value
  }

  #applyIfNewer (configuration: Configuration): void {
    this.recordVersion(configuration)
    this.#options.applyIfNewer(configuration)
  }
}

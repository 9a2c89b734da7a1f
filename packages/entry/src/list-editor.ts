import { type Configuration, createResultError } from '@sesamereel/state'
import { createValidationError, createRequestError, type EditReply, type ListEdit, OperatorService } from '@sesamereel/transport'
import { applyEdit, diffConfigurations, findMissingLimits } from './configuration-edit.js'
import { type ConfigurationStore, parseConfigurationRow } from './configuration-store.js'

/** Versions that are kept to tell the loser of a race what changed. */
const keptVersions = 50

export interface ListEditorOptions {
  readonly store: ConfigurationStore
  /** Reads the lists in force. */
  readonly readInForce: () => Configuration
  /** Tells why the instance has no lists in force yet; undefined when it has. */
  readonly explainStarting: () => string | undefined
  /** Puts committed lists in force. */
  readonly applyIfNewer: (configuration: Configuration) => void
  readonly describeInstance: () => unknown
  /** Notes an edit for the log. */
  readonly observeEdit: (edit: ListEdit, outcome: string, version: number | undefined) => void
}

/** Carries out the operators' requests; the table service decides between edits. */
export class ListEditor extends OperatorService {
  readonly #options: ListEditorOptions
  readonly #history = new Map<number, Configuration>()

  constructor (options: ListEditorOptions) {
    super()
    this.#options = options
  }

  /**
   * Keeps a version, to tell later what changed since.
   */
  recordVersion (configuration: Configuration): void {
    this.#history.set(configuration.version, configuration)
    while (this.#history.size > keptVersions) this.#history.delete(this.#history.keys().next().value!)
  }

  override async readLists (): Promise<Configuration> {
    // An instance that has just started applies no lists yet; showing empty ones would look like a reversion.
    const reason = this.#options.explainStarting()
    if (reason !== undefined) throw createRequestError('NotReady', reason)
    const read = await this.#readNewest()
    return read ?? this.#options.readInForce()
  }

  override async editList (edit: ListEdit): Promise<EditReply> {
    const reply = await this.#decideEdit(edit)
    const outcome = reply.kind === 'refused' ? reply.error.name : reply.dryRun ? 'checked' : 'applied'
    this.#options.observeEdit(edit, outcome, reply.version)
    return reply
  }

  override readStatus (): unknown {
    return this.#options.describeInstance()
  }

  async #decideEdit (edit: ListEdit): Promise<EditReply> {
    const current = await this.#readNewest()
    if (current === undefined) {
      return { kind: 'refused', error: createResultError('StoreUnavailable', 'the table service did not answer the read before the edit') }
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
        this.#offer(next)
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
    const base = this.#history.get(edit.baseVersion)
    const error = createResultError('ListConflict', `baseVersion: found ${edit.baseVersion}, expected the current version ${current.version}`, 'baseVersion')
    return { kind: 'refused', error, version: current.version, changes: base === undefined ? [] : diffConfigurations(base, current) }
  }

  /** A read may be older than the lists in force, so the newer of both counts. */
  async #readNewest (): Promise<Configuration | undefined> {
    const read = await this.#options.store.read()
    if (read.kind !== 'found') return undefined
    this.#offer(read.value)
    const inForce = this.#options.readInForce()
    return inForce.version > read.value.version ? inForce : read.value
  }

  #offer (configuration: Configuration): void {
    this.recordVersion(configuration)
    this.#options.applyIfNewer(configuration)
  }
}

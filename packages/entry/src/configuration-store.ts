import { configurationRow, configurationSchema, type Row } from '@sesamereel/protocol'
import { type Configuration, emptyConfiguration } from '@sesamereel/state'
import { type PlatformClient, type ReadResult, type TransactResult } from '@sesamereel/transport'

/** Reads and writes the row of the table service that holds the plans and limits lists. */
export class ConfigurationStore {
  readonly #platform: PlatformClient

  constructor (platform: PlatformClient) {
    this.#platform = platform
  }

  /**
   * Reads the committed lists.
   *
   * @returns the lists; empty lists with version 0 when none have been written yet
   */
  async read (): Promise<ReadResult<Configuration>> {
    const read = await this.#platform.readRows([configurationRow])
    if (read.kind !== 'found') return read
    const configuration = parseConfigurationRow(read.value[0]!)
    return configuration === undefined ? { kind: 'unavailable', message: 'the row configuration/current is malformed: expected the plans and limits lists' } : { kind: 'found', value: configuration }
  }

  /**
   * Writes the lists if the committed version is still the preceding one.
   *
   * @param configuration - new lists; their version is the committed version plus one
   */
  async write (configuration: Configuration): Promise<TransactResult> {
    return await this.#platform.transact([{ ...configurationRow, version: configuration.version - 1 }], [{ ...configurationRow, value: configuration }])
  }
}

/**
 * Parses the row that holds the lists. The version is taken from the row, not from its value.
 *
 * @returns the lists, or undefined when the value of the row is malformed
 */
export function parseConfigurationRow (row: Row): Configuration | undefined {
  if (row.version === 0) return emptyConfiguration
  const parsed = configurationSchema.safeParse(row.value)
  return parsed.success ? { ...parsed.data, version: row.version } : undefined
}

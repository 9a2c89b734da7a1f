import { configurationRow, configurationSchema, type Row } from '@sesamereel/protocol'
import { type Configuration, emptyConfiguration } from '@sesamereel/state'
import { type PlatformClient, type ReadResult, type TransactResult } from '@sesamereel/transport'

/** The row of the table service that holds both lists. */
export class ConfigurationStore {
  readonly #platform: PlatformClient

  constructor (platform: PlatformClient) {
    this.#platform = platform
  }

  /**
   * Reads the newest committed lists.
   *
   * @returns the lists; version 0 when none were written yet
   */
  async read (): Promise<ReadResult<Configuration>> {
    const read = await this.#platform.readRows([configurationRow])
    if (read.kind !== 'found') return read
    const configuration = parseConfigurationRow(read.value[0]!)
    return configuration === undefined ? { kind: 'unavailable', message: 'the row configuration/current does not hold two lists' } : { kind: 'found', value: configuration }
  }

  /**
   * Writes the lists if the committed version is the one before.
   *
   * @param configuration - lists with the next version
   */
  async write (configuration: Configuration): Promise<TransactResult> {
    return await this.#platform.transact([{ ...configurationRow, version: configuration.version - 1 }], [{ ...configurationRow, value: configuration }])
  }
}

/**
 * Parses the row of the lists. The version of the row counts, not the one inside of the value.
 *
 * @returns the lists, or undefined when the row holds something else
 */
export function parseConfigurationRow (row: Row): Configuration | undefined {
  if (row.version === 0) return emptyConfiguration
  const parsed = configurationSchema.safeParse(row.value)
  return parsed.success ? { ...parsed.data, version: row.version } : undefined
}

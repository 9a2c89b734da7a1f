import { type ConfigurationChange, decodeConfiguration, diffConfigurations, type FieldChange, listConfigurationProblems, listContradictions, listNeverMatchingRoutes, listServicesWithoutTarget, listTargetValueProblems, listVersionProblems } from '@sesamereel/platform'
import { formatFound, type Problem } from '@sesamereel/protocol'
import { type CommandContext, CommandError } from './command-context.js'
import { exitCodes } from './exit-codes.js'
import { formatCount, formatTable } from './format-table.js'
import { readJsonFile, readTextFile } from './input-files.js'

/** Names of the files with which a configuration is checked. */
export interface ConfigurationFlags {
  /** Operator's configuration of the platform build. */
  readonly configuration?: string
  /** Configuration in force, with which it is compared. */
  readonly inForce?: string
  /** JSON array of the values of the rows with which targets register themselves. */
  readonly settingsTargets?: string
}

/** Result of the check of a configuration. */
export interface ConfigurationReport {
  /** Problems of each file that was read. */
  readonly findings: ReadonlyArray<readonly [file: string, problems: readonly Problem[]]>
  /** Differences from the configuration in force; absent unless both can be decoded. */
  readonly changes?: readonly ConfigurationChange[]
}

/**
 * Checks a configuration with the decoder of the instances, and compares it with the one in force.
 *
 * @param context - reads the files
 * @param flags - names of the files
 * @returns the problems and differences; empty when no file is named
 * @throws CommandError when a file is missing or the targets' file is not JSON
 */
export async function checkConfiguration (context: CommandContext, flags: ConfigurationFlags): Promise<ConfigurationReport> {
  const { configuration: file, inForce: inForceFile, settingsTargets: targetsFile } = flags
  if (file === undefined) {
    if (inForceFile === undefined && targetsFile === undefined) return { findings: [] }
    throw new CommandError('--in-force and --settings-targets need --configuration FILE', exitCodes.invalidInput.code)
  }
  const text = await readTextFile(context, file)
  const problems = [...listConfigurationProblems(text)]
  const findings: Array<readonly [string, readonly Problem[]]> = [[file, problems]]
  const configuration = decodeConfiguration(text)
  if (configuration !== undefined) problems.push(...listNeverMatchingRoutes(configuration), ...listContradictions(configuration))
  if (targetsFile !== undefined) {
    const values = await readJsonFile(context, targetsFile)
    findings.push([targetsFile, listTargetFileProblems(values)])
    if (configuration !== undefined && Array.isArray(values)) problems.push(...listServicesWithoutTarget(configuration, values))
  }
  if (inForceFile === undefined) {
    if (configuration !== undefined) problems.push(...listVersionProblems(configuration))
    return { findings }
  }
  const inForceText = await readTextFile(context, inForceFile)
  const inForce = decodeConfiguration(inForceText)
  if (inForceFile !== file) findings.push([inForceFile, listConfigurationProblems(inForceText)])
  if (configuration === undefined || inForce === undefined) return { findings }
  problems.push(...listVersionProblems(configuration, inForce))
  return { findings, changes: diffConfigurations(inForce, configuration) }
}

/** @param values - content of the targets' file */
function listTargetFileProblems (values: unknown): readonly Problem[] {
  return Array.isArray(values) ? listTargetValueProblems(values) : [{ path: '', found: formatFound(values), expected: 'array' }]
}

/**
 * Formats the differences from the configuration in force.
 *
 * @param flags - names of the compared files
 * @param changes - the differences
 * @returns a heading and one line for each change
 */
export function formatConfigurationChanges ({ configuration, inForce }: ConfigurationFlags, changes: readonly ConfigurationChange[]): readonly string[] {
  const rows = changes.map(({ subject, kind, fields }) => [kind, subject, fields.map(formatFieldChange).join(', ')])
  return [`${changes.length === 0 ? 'no changes' : formatCount(changes.length, 'change')} from ${inForce} to ${configuration}`, ...formatTable(rows, { indent: '  ' })]
}

function formatFieldChange ({ field, before, after }: FieldChange): string {
  return `${field} ${[before, after].filter(value => value !== undefined).join(' -> ')}`
}

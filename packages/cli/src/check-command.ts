import { type ListName, type Problem, type Settings } from '@sesamereel/protocol'
import { listDeployProblems, listSettingsProblems as listPlatformProblems } from '@sesamereel/platform'
import { type LimitList, type PlanList } from '@sesamereel/state'
import { checkConfiguration, type ConfigurationFlags, formatConfigurationChanges } from './check-configuration.js'
import { type CommandContext, CommandError } from './command-context.js'
import { listProblemsBetweenFiles, listSettingsProblems, listUnknownPlans, listZeroParallelLimits } from './cross-checks.js'
import { exitCodes } from './exit-codes.js'
import { formatCount } from './format-table.js'
import { fileSchemas, formatProblems, listListFileProblems, listSchemaProblems, readJsonFile, readListFile, readTextFile } from './input-files.js'

export interface CheckFlags extends ConfigurationFlags {
  /** One or more settings files; several files are also compared with each other. */
  readonly settings?: string | readonly string[]
  readonly plans?: string
  readonly limits?: string
  readonly job?: string
  /** Settings files of the platform build. */
  readonly platform?: string | readonly string[]
  /** Deploy file of the platform build. */
  readonly deploy?: string
  readonly json?: boolean
}

/** Problems found in each checked file, keyed by file name. */
type ProblemsByFile = Map<string, readonly Problem[]>

/**
 * Checks files without contacting a server and prints all problems found in them.
 *
 * @returns the exit code
 */
export async function runCheck (context: CommandContext, flags: CheckFlags): Promise<number> {
  const findings: ProblemsByFile = new Map()
  const settingsFiles = flags.settings === undefined ? [] : typeof flags.settings === 'string' ? [flags.settings] : flags.settings
  await checkSettings(context, settingsFiles, findings)
  await checkLists(context, flags, findings)
  if (flags.job !== undefined) findings.set(flags.job, listSchemaProblems(fileSchemas.job, await readJsonFile(context, flags.job)))
  const platformFiles = flags.platform === undefined ? [] : typeof flags.platform === 'string' ? [flags.platform] : flags.platform
  for (const file of platformFiles) findings.set(file, listPlatformProblems(await readTextFile(context, file)))
  if (flags.deploy !== undefined) findings.set(flags.deploy, listDeployProblems(await readTextFile(context, flags.deploy)))
  const { findings: configurationFindings, changes } = await checkConfiguration(context, flags)
  for (const [file, problems] of configurationFindings) findings.set(file, problems)
  if (findings.size === 0) throw new CommandError('nothing to check: use --settings, --plans, --limits, --job, --platform, --deploy or --configuration FILE', exitCodes.invalidInput.code)
  const invalid = [...findings].filter(([, problems]) => problems.length > 0)
  if (flags.json === true) {
    context.print(JSON.stringify([...findings].map(([file, problems]) => ({ file, problems, ...(file === flags.configuration && { changes }) }))))
  } else {
    for (const [file, problems] of invalid) for (const line of formatProblems(file, problems)) context.print(line)
    if (invalid.length === 0) context.print(`${formatCount(findings.size, 'file')} checked, no problems`)
    if (changes !== undefined) for (const line of formatConfigurationChanges(flags, changes)) context.print(line)
  }
  return invalid.length === 0 ? exitCodes.success.code : exitCodes.invalidInput.code
}

async function checkSettings (context: CommandContext, files: readonly string[], findings: ProblemsByFile): Promise<void> {
  const valid: Array<{ file: string, settings: Settings }> = []
  for (const file of files) {
    const input = await readJsonFile(context, file)
    const problems = listSchemaProblems(fileSchemas.settings, input)
    if (problems.length === 0) {
      const settings = fileSchemas.settings.parse(input)
      valid.push({ file, settings })
      findings.set(file, listSettingsProblems(settings))
    } else {
      findings.set(file, problems)
    }
  }
  for (const [file, problems] of listProblemsBetweenFiles(valid)) findings.set(file, [...findings.get(file)!, ...problems])
}

async function checkLists (context: CommandContext, flags: CheckFlags, findings: ProblemsByFile): Promise<void> {
  for (const list of ['plans', 'limits'] as const satisfies readonly ListName[]) {
    const file = flags[list]
    if (file !== undefined) findings.set(file, listListFileProblems(list, await readJsonFile(context, file)))
  }
  const { plans, limits } = flags
  const isValid = (file: string | undefined): file is string => file !== undefined && findings.get(file)!.length === 0
  if (!isValid(limits)) return
  const limitList = (await readListFile(context, 'limits', limits)).content as LimitList
  findings.set(limits, listZeroParallelLimits(limitList))
  if (!isValid(plans)) return
  const planList = (await readListFile(context, 'plans', plans)).content as PlanList
  findings.set(plans, listUnknownPlans(planList, limitList))
}

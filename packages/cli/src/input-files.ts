import { jobSpecSchema, limitListSchema, type ListName, listProblems, planListSchema, type Problem, settingsSchema } from '@sesamereel/protocol'
import { z } from 'zod'
import { type CommandContext, CommandError, standardInputPath } from './command-context.js'
import { exitCodes } from './exit-codes.js'
import { formatTable } from './format-table.js'
import { type JobRequest } from './job-outcome.js'
import { type ListContent } from './list-diff.js'

const versionSchema = z.int().min(0)

/** Schemas of the JSON files that the program reads, keyed by the name of their committed JSON Schema. */
export const fileSchemas = {
  job: jobSpecSchema.omit({ key: true }),
  plans: z.union([z.strictObject({ version: versionSchema, plans: planListSchema }), planListSchema]),
  limits: z.union([z.strictObject({ version: versionSchema, limits: limitListSchema }), limitListSchema]),
  settings: settingsSchema
} as const

/** Content of a list file, with the version of the list when the file states it. */
export interface ListFile {
  readonly version?: number
  readonly content: ListContent
}

/**
 * Reads a file as JSON.
 *
 * @throws CommandError when the file cannot be read or is not JSON
 */
export async function readJsonFile (context: CommandContext, file: string): Promise<unknown> {
  const content = await readTextFile(context, file)
  try {
    return JSON.parse(content)
  } catch (error) {
    throw new CommandError(`${formatFileName(file)} is not JSON: ${(error as Error).message}`, exitCodes.invalidInput.code)
  }
}

/**
 * Reads a file as text.
 *
 * @throws CommandError when the file cannot be read
 */
export async function readTextFile (context: CommandContext, file: string): Promise<string> {
  try {
    return await context.readText(file)
  } catch (error) {
    throw new CommandError(`${formatFileName(file)} cannot be read: ${(error as Error).message}`, exitCodes.invalidInput.code)
  }
}

function formatFileName (file: string): string {
  return file === standardInputPath ? 'standard input' : file
}

/**
 * Reads a job file.
 *
 * @throws CommandError that lists all problems of the file
 */
export async function readJobFile (context: CommandContext, file: string): Promise<JobRequest> {
  const input = await readJsonFile(context, file)
  throwOnProblems(file, listSchemaProblems(fileSchemas.job, input))
  return input as JobRequest
}

/**
 * Reads a file that holds the plans list or the limits list.
 *
 * @throws CommandError that lists all problems of the file
 */
export async function readListFile (context: CommandContext, list: ListName, file: string): Promise<ListFile> {
  const input = await readJsonFile(context, file)
  throwOnProblems(file, listListFileProblems(list, input))
  return isVersioned(input) ? { version: input.version, content: input[list] as ListContent } : { content: input as ListContent }
}

/**
 * Lists the problems of a list file. A numeric field `version` marks the form with a version;
 * it cannot be an entry of the list, since neither list has numbers as values.
 *
 * @returns the problems; empty when the file is valid
 */
export function listListFileProblems (list: ListName, input: unknown): readonly Problem[] {
  const [versioned, plain] = fileSchemas[list].options
  return listSchemaProblems(isVersioned(input) ? versioned : plain, input)
}

/**
 * Validates an input against a schema.
 *
 * @returns the problems; empty when the input is valid
 */
export function listSchemaProblems (schema: z.ZodType, input: unknown): readonly Problem[] {
  const parsed = schema.safeParse(input)
  return parsed.success ? [] : listProblems(parsed.error, input)
}

/**
 * Formats the problems of a file as aligned lines.
 *
 * @param file - name of the file
 * @param problems - its problems
 * @returns a heading and one line for each problem
 */
export function formatProblems (file: string, problems: readonly Problem[]): readonly string[] {
  const rows = problems.map(({ path, found, expected }) => [path === '' ? '(top)' : path, `found ${found},`, `expected ${expected}`])
  return [`${file}: ${problems.length === 1 ? '1 problem' : `${problems.length} problems`}`, ...formatTable(rows, { indent: '  ' })]
}

function isVersioned (input: unknown): input is { readonly version: number } & Readonly<Record<string, unknown>> {
  return typeof input === 'object' && input !== null && typeof (input as { version?: unknown }).version === 'number'
}

function throwOnProblems (file: string, problems: readonly Problem[]): void {
  if (problems.length > 0) throw new CommandError(formatProblems(file, problems).join('\n'), exitCodes.invalidInput.code)
}

import { resultCodes } from '@sesamereel/state'
import { z } from 'zod'
import { exitCodes } from './exit-codes.js'
import { fileSchemas } from './input-files.js'

/** A generated file that is committed to the repository. */
export interface ReferenceFile {
  /** Path from the root of the repository. */
  readonly path: string
  readonly content: string
}

/**
 * Renders all generated reference files.
 *
 * @returns the JSON Schemas and the tables of result and exit codes
 */
export function renderReferenceFiles (): readonly ReferenceFile[] {
  const schemas = Object.entries(fileSchemas).map(([name, schema]) => ({
    path: `schemas/${name}.json`,
    content: `${JSON.stringify({ title: `sesamereel ${name}`, ...z.toJSONSchema(schema, { io: 'input' }) }, null, 2)}\n`
  }))
  return [...schemas, { path: 'docs/errors.md', content: renderErrors() }, { path: 'docs/exit-codes.md', content: renderExitCodes() }]
}

function renderErrors (): string {
  const rows = Object.values(resultCodes).map(row => `| ${row.code} | ${row.name} | ${row.status} | ${row.title} | ${row.notRun ? 'yes' : 'no'} | ${row.hint} |`)
  return [
    '# Result codes',
    '',
    'Every refusal and failure has a number, a name, a title, a message that names the offending',
    'value, and a hint. 1xx: the request is wrong; 2xx: the request cannot be served now; 3xx: the',
    'outcome is unknown or gone; 4xx: an accepted job failed (inside the answer, with HTTP status',
    '200); 5xx: the operators\' lists. "Not run: yes" proves that nothing of the request was or will',
    'be run; "no" makes no claim.',
    '',
    '`sesamereel explain CODE` prints one row. `npm run reference` writes this page from',
    '`packages/state/src/result-codes.ts`.',
    '',
    '| code | name | HTTP status | title | not run | hint |',
    '|---|---|---|---|---|---|',
    ...rows,
    ''
  ].join('\n')
}

function renderExitCodes (): string {
  return [
    '# Exit codes of sesamereel',
    '',
    'Each code has one meaning in every command. `npm run reference` writes this page from',
    '`packages/cli/src/exit-codes.ts`.',
    '',
    '| code | name | meaning |',
    '|---|---|---|',
    ...Object.entries(exitCodes).map(([name, { code, meaning }]) => `| ${code} | ${name} | ${meaning} |`),
    ''
  ].join('\n')
}

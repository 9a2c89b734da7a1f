import { readFileSync } from 'node:fs'
import { join } from 'node:path'

/** A record that a stand-in wrote. */
export type RawRecord = Readonly<Record<string, unknown>>

/**
 * Returns the path of the file that a stand-in appends its records to.
 *
 * @param folder - folder of the launcher
 * @param name - name of the stand-in
 */
export function buildRecordPath (folder: string, name: string): string {
  return join(folder, `${name}.records`)
}

/**
 * Reads the records of some stand-ins, in the order of the names.
 *
 * @param folder - folder of the launcher
 * @param names - names of stand-ins; one without a file has no records
 */
export function readRecordFiles (folder: string, names: readonly string[]): readonly RawRecord[] {
  return names.flatMap(name => {
    const lines = readFileIfAny(buildRecordPath(folder, name)).split('\n')
    return lines.filter(line => line !== '').map(line => JSON.parse(line) as RawRecord)
  })
}

function readFileIfAny (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    return ''
  }
}

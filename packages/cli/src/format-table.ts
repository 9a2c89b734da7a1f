/**
 * Formats rows as aligned columns, two spaces apart and without trailing spaces.
 *
 * @param rows - cells of each row; the first row may be the headings
 * @param options - `indent` is prefixed to each line, `right` holds the indexes of the columns to align right
 * @returns one line for each row
 */
export function formatTable (rows: ReadonlyArray<readonly string[]>, options: { readonly indent?: string, readonly right?: readonly number[] } = {}): readonly string[] {
  const widths: number[] = []
  for (const row of rows) {
    row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, cell.length) })
  }
  return rows.map(row => {
    const cells = row.map((cell, column) => options.right?.includes(column) === true ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!))
    return `${options.indent ?? ''}${cells.join('  ')}`.trimEnd()
  })
}

/**
 * Formats a duration with its unit.
 *
 * @param ms - milliseconds
 * @returns for example "87 ms" or "1.84 s"
 */
export function formatDuration (ms: number): string {
  return ms < 1_000 ? `${Math.round(ms)} ms` : `${(ms / 1_000).toFixed(2)} s`
}

/**
 * Formats a count with its noun.
 *
 * @param count - number of items
 * @param singular - noun in the singular; the plural adds "s"
 * @returns for example "1 task" or "230 tasks"
 */
export function formatCount (count: number, singular: string): string {
  return `${count} ${singular}${count === 1 ? '' : 's'}`
}

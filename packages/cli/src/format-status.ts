import { formatTable } from './format-table.js'

type Fields = Readonly<Record<string, unknown>>

/**
 * Formats the status of an instance. Every field of the reply is shown: single values first,
 * then each group as a table with one row for an element and one column for a field.
 *
 * @param status - body of `GET /v1/status`
 * @param server - server that replied
 * @returns the lines
 */
export function formatStatus (status: unknown, server: string): readonly string[] {
  const fields = isFields(status) ? Object.entries(status) : []
  const single = fields.filter(([, value]) => !isGroup(value)).map(([name, value]) => [formatName(name), formatCell(value)])
  const lines = [...formatTable([['server', server], ...single])]
  for (const [name, value] of fields) {
    if (isGroup(value)) lines.push('', formatName(name), ...formatGroup(value))
  }
  return lines
}

function formatGroup (group: readonly unknown[] | Fields): readonly string[] {
  const rows = Array.isArray(group)
    ? group.map(element => isFields(element) ? element : { value: element })
    : Object.entries(group).map(([name, element]) => isFields(element) ? { name, ...element } : { name, value: element })
  if (rows.length === 0) return ['  none']
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = rows.map(row => columns.map(column => formatCell((row as Fields)[column])))
  const right = columns.flatMap((column, index) => rows.every(row => typeof ((row as Fields)[column] ?? 0) === 'number') ? [index] : [])
  const headings = columns.map(column => column === 'name' || column === 'value' ? '' : formatName(column))
  const hasHeadings = headings.some(heading => heading !== '')
  return formatTable(hasHeadings ? [headings, ...cells] : cells, { indent: '  ', right })
}

/** Writes a field name as words, for example "configuration version". */
function formatName (name: string): string {
  return name.replace(/([a-z0-9])([A-Z])/g, '$1 $2').toLowerCase()
}

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'number') return String(Math.round(value * 1_000) / 1_000)
  if (typeof value === 'boolean') return value ? 'yes' : 'no'
  if (typeof value === 'string') return value === '' ? '-' : value
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(formatCell).join(',')
  return Object.entries(value).map(([name, part]) => `${name}=${formatCell(part)}`).join(' ')
}

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isGroup (value: unknown): value is readonly unknown[] | Fields {
  return typeof value === 'object' && value !== null
}

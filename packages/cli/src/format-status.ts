import { formatTable } from './format-table.js'

type JsonObject = Readonly<Record<string, unknown>>

/**
 * Formats the status of an instance. Every field of the reply is shown: scalar values first,
 * then each array or object as a table with one row per element and one column per field.
 *
 * @param status - body of `GET /v1/status`
 * @param server - address of the server that replied
 * @returns the lines
 */
export function formatStatus (status: unknown, server: string): readonly string[] {
  const fields = isJsonObject(status) ? Object.entries(status) : []
  const single = fields.filter(([, value]) => !isGroup(value)).map(([name, value]) => [formatName(name), formatCell(value)])
  const lines = [...formatTable([['server', server], ...single])]
  for (const [name, value] of fields) {
    if (isGroup(value)) lines.push('', formatName(name), ...formatGroup(value))
  }
  return lines
}

function formatGroup (group: readonly unknown[] | JsonObject): readonly string[] {
  const rows = Array.isArray(group)
    ? group.map(element => isJsonObject(element) ? element : { value: element })
    : Object.entries(group).map(([name, element]) => isJsonObject(element) ? { name, ...element } : { name, value: element })
  if (rows.length === 0) return ['  none']
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = rows.map(row => columns.map(column => formatCell((row as JsonObject)[column])))
  const right = columns.flatMap((column, index) => rows.every(row => typeof ((row as JsonObject)[column] ?? 0) === 'number') ? [index] : [])
  const headings = columns.map(column => column === 'name' || column === 'value' ? '' : formatName(column))
  const hasHeadings = headings.some(heading => heading !== '')
  return formatTable(hasHeadings ? [headings, ...cells] : cells, { indent: '  ', right })
}

/** Splits a camelCase field name into lower-case words, for example "configuration version". */
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

function isJsonObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isGroup (value: unknown): value is readonly unknown[] | JsonObject {
  return typeof value === 'object' && value !== null
}

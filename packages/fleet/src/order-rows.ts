import { parseTaskName } from './job-types.js'
import { type AnnouncedStart } from './messages.js'
import { type StoreRow } from './metadata-store.js'

/** Store table with the start orders that got no answer. Rows are written once, and removed when their orders can't be carried out any more. */
export const orderTable = 'sesamereel-orders'

/** Longest text in characters of a row; clients of the store read no longer ones than 4 KiB. */
const maxRowLength = 3_500

/** Orders of one row. */
export interface OrderRow {
  readonly key: string
  /** Failure domain of the orders' targets. */
  readonly domain: string
  /** Time of the store's steady clock in milliseconds from which none of the orders can be carried out any more; undefined if the writer didn't know that clock. */
  readonly expiresMs: number | undefined
  readonly orders: readonly AnnouncedStart[]
}

/** Text of a row. */
interface OrderRowText {
  readonly domain: string
  readonly expiresMs?: number
  readonly orders: ReadonlyArray<readonly [target: string, task: string, attempt: number]>
}

/** @returns the key of a row; no other process writes it, and no other dispatcher of this one */
export function formatOrderKey (domain: string, writer: string, sequence: number): string {
  return `${domain}/${writer}/${sequence}`
}

/**
 * Encodes orders as texts of rows, each short enough for one row.
 *
 * @param expiresMs - as in `OrderRow`
 * @returns the texts, each with its orders
 */
export function encodeOrderRows (domain: string, expiresMs: number | undefined, orders: readonly AnnouncedStart[]): ReadonlyArray<{ readonly text: string, readonly orders: readonly AnnouncedStart[] }> {
  const text = JSON.stringify({ domain, ...(expiresMs === undefined ? {} : { expiresMs }), orders: orders.map(({ target, task, attempt }) => [target, task, attempt]) } satisfies OrderRowText)
  if (text.length <= maxRowLength || orders.length <= 1) return [{ text, orders }]
  const half = Math.ceil(orders.length / 2)
  return [...encodeOrderRows(domain, expiresMs, orders.slice(0, half)), ...encodeOrderRows(domain, expiresMs, orders.slice(half))]
}

/** @returns the orders of a row; undefined if it is malformed */
export function parseOrderRow ({ key, value }: StoreRow): OrderRow | undefined {
  if (value === undefined) return undefined
  try {
    const { domain, expiresMs, orders } = JSON.parse(value) as Partial<Record<keyof OrderRowText, unknown>>
    if (typeof domain !== 'string' || !Array.isArray(orders)) return undefined
    return { key, domain, expiresMs: typeof expiresMs === 'number' && Number.isFinite(expiresMs) ? expiresMs : undefined, orders: orders.map(parseOrder).filter(order => order !== undefined) }
  } catch {
    // The caller logs rows that can't be parsed.
    return undefined
  }
}

function parseOrder (entry: unknown): AnnouncedStart | undefined {
  if (!Array.isArray(entry)) return undefined
  const [target, task, attempt] = entry as unknown[]
  if (typeof target !== 'string' || typeof task !== 'string' || parseTaskName(task) === undefined) return undefined
  return typeof attempt === 'number' && Number.isSafeInteger(attempt) ? { target, task, attempt } : undefined
}

/** @returns the value rounded for a log line or a message; undefined if it is absent or infinite */
export function roundIfFinite (value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value)
}

/**
 * Hashes a text with 32-bit FNV-1a and a final mix of the bits. All instances must compute the same value for a text,
 * since the split of limits and the choice of a customer's home depend on it.
 *
 * @returns an unsigned 32-bit number
 */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i)
    hash = Math.imul(hash, 0x01000193)
  }
  // Without this mixing, FNV-1a leaves the high bits of short, similar texts nearly equal.
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}

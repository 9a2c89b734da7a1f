import { createHash, timingSafeEqual } from 'node:crypto'

/** Maps bearer tokens to values, in a time that doesn't depend on the token. */
export class TokenMatcher<T> {
  readonly #entries: ReadonlyArray<{ readonly digest: Buffer, readonly value: T }>

  constructor (entries: ReadonlyArray<{ readonly token: string, readonly value: T }>) {
    this.#entries = entries.map(({ token, value }) => ({ digest: computeDigest(token), value }))
  }

  /**
   * Matches the value of an `Authorization` header.
   *
   * @param header - header value, if the request has one
   * @returns the value of the token, or undefined for a missing or wrong token
   */
  matchHeader (header: string | undefined): T | undefined {
    const token = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(header ?? '')?.[1]
    if (token === undefined) return undefined
    const digest = computeDigest(token)
    let match: T | undefined
    for (const entry of this.#entries) {
      if (timingSafeEqual(entry.digest, digest)) match = entry.value
    }
    return match
  }
}

/** Computes a digest of fixed length, which the constant-time comparison requires. */
function computeDigest (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}

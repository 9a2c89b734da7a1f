import { parseKey, type ResultError } from '@sesamereel/state'

/** A block of keys, or why there is none. */
export type KeyReply =
  | { readonly kind: 'issued', readonly keys: readonly string[], readonly expiresInMs: number }
  | { readonly kind: 'refused', readonly error: ResultError }
  | { readonly kind: 'unreachable', readonly message: string }

/** Fraction of a key's lifetime within which it is used, so that a slow submission still arrives before the key expires. */
const usableLifetimeFraction = 0.5

/** The next block is requested when less than this fraction of the last one is left. */
const refillThresholdFraction = 0.25

/** Lower bound in milliseconds for the lifetime of a key: with a shorter one, each key would cost a request of its own. */
const minLifetimeMs = 1_000

interface PooledKey {
  readonly key: string
  readonly usableUntil: number
}

/** Holds unused keys per customer and requests new ones in blocks. */
export class KeyPool {
  readonly #requestKeys: (customer: string) => Promise<KeyReply>
  readonly #now: () => number
  readonly #keys = new Map<string, PooledKey[]>()
  #lastBlockSize = 0
  readonly #pendingRequests = new Map<string, Promise<KeyReply>>()

  /**
   * @param requestKeys - requests a block of keys from a server
   * @param now - reads a monotonic clock in milliseconds
   */
  constructor (requestKeys: (customer: string) => Promise<KeyReply>, now: () => number = () => performance.now()) {
    this.#requestKeys = requestKeys
    this.#now = now
  }

  /**
   * Takes an unused key. Concurrent calls for the same customer share one request for keys.
   *
   * @param customer - customer that the key is for
   * @returns the key, or why there is none
   */
  async take (customer: string): Promise<{ readonly kind: 'key', readonly key: string } | Exclude<KeyReply, { kind: 'issued' }>> {
    for (;;) {
      const key = this.#takePooled(customer)
      if (key !== undefined) {
        this.#refillEarly(customer)
        return { kind: 'key', key }
      }
      const reply = await this.#refill(customer)
      if (reply.kind !== 'issued') return reply
    }
  }

  /**
   * Removes the unused keys of the incarnation that issued a key.
   *
   * @param key - key whose owner failed to serve a request
   */
  removeKeysOfIncarnation (key: string): void {
    const parsedKey = parseKey(key)
    if (parsedKey === undefined) return
    for (const [customer, pooled] of this.#keys) {
      this.#keys.set(customer, pooled.filter(entry => parseKey(entry.key)?.incarnation !== parsedKey.incarnation))
    }
  }

  #takePooled (customer: string): string | undefined {
    const pooled = this.#keys.get(customer)
    const now = this.#now()
    for (let entry = pooled?.shift(); entry !== undefined; entry = pooled?.shift()) {
      if (entry.usableUntil > now) return entry.key
    }
    return undefined
  }

  /** Requests the next block in the background before the current one is used up, so that jobs do not wait for keys. */
  #refillEarly (customer: string): void {
    const left = this.#keys.get(customer)?.length ?? 0
    if (left > 0 && left < this.#lastBlockSize * refillThresholdFraction) this.#refill(customer).catch(() => {})
  }

  #refill (customer: string): Promise<KeyReply> {
    const running = this.#pendingRequests.get(customer)
    if (running !== undefined) return running
    const request = this.#requestAndStore(customer).finally(() => { this.#pendingRequests.delete(customer) })
    this.#pendingRequests.set(customer, request)
    return request
  }

  async #requestAndStore (customer: string): Promise<KeyReply> {
    const askedAt = this.#now()
    const reply = await this.#requestKeys(customer)
    if (reply.kind === 'issued') {
      this.#lastBlockSize = reply.keys.length
      const usableUntil = askedAt + Math.max(reply.expiresInMs, minLifetimeMs) * usableLifetimeFraction
      const pooled = this.#keys.get(customer) ?? []
      this.#keys.set(customer, [...pooled, ...reply.keys.map(key => ({ key, usableUntil }))])
    }
    return reply
  }
}

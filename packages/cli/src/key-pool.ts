import { parseKey, type ResultError } from '@sesamereel/state'

/** A block of keys, or why there is none. */
export type KeyReply =
  | { readonly kind: 'issued', readonly keys: readonly string[], readonly expiresInMs: number }
  | { readonly kind: 'refused', readonly error: ResultError }
  | { readonly kind: 'unreachable', readonly message: string }

/** Part of the lifetime of a key after which it is not used any more, so that a slow submission still comes in time. */
const usableLifetime = 0.5

/** Part of a block that is left when the next block is asked for. */
const earlyPart = 0.25

/** A shorter lifetime is not believed, since each key would then cost a request of its own. */
const shortestLifetimeMs = 1_000

interface PooledKey {
  readonly key: string
  readonly usableUntil: number
}

/** Keeps unused keys by customer and asks for them in blocks. */
export class KeyPool {
  readonly #ask: (customer: string) => Promise<KeyReply>
  readonly #now: () => number
  readonly #keys = new Map<string, PooledKey[]>()
  #lastBlock = 0
  readonly #asking = new Map<string, Promise<KeyReply>>()

  /**
   * @param ask - asks a server for a block of keys
   * @param now - reads a monotonic clock in milliseconds
   */
  constructor (ask: (customer: string) => Promise<KeyReply>, now: () => number = () => performance.now()) {
    this.#ask = ask
    this.#now = now
  }

  /**
   * Takes a key that was never used. Callers that come at the same time share one request.
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
   * Drops the unused keys of the incarnation that issued a key.
   *
   * @param key - key whose owner is gone or leaving
   */
  removeKeysOfIncarnation (key: string): void {
    const gone = parseKey(key)
    if (gone === undefined) return
    for (const [customer, pooled] of this.#keys) {
      this.#keys.set(customer, pooled.filter(entry => parseKey(entry.key)?.incarnation !== gone.incarnation))
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

  /** Asks for the next block in the background, so that no job has to wait for it. */
  #refillEarly (customer: string): void {
    const left = this.#keys.get(customer)?.length ?? 0
    if (left > 0 && left < this.#lastBlock * earlyPart) this.#refill(customer).catch(() => {})
  }

  #refill (customer: string): Promise<KeyReply> {
    const running = this.#asking.get(customer)
    if (running !== undefined) return running
    const asking = this.#askAndStore(customer).finally(() => { this.#asking.delete(customer) })
    this.#asking.set(customer, asking)
    return asking
  }

  async #askAndStore (customer: string): Promise<KeyReply> {
    const askedAt = this.#now()
    const reply = await this.#ask(customer)
    if (reply.kind === 'issued') {
      this.#lastBlock = reply.keys.length
      const usableUntil = askedAt + Math.max(reply.expiresInMs, shortestLifetimeMs) * usableLifetime
      const pooled = this.#keys.get(customer) ?? []
      this.#keys.set(customer, [...pooled, ...reply.keys.map(key => ({ key, usableUntil }))])
    }
    return reply
  }
}

import { IncarnationTokens } from './incarnation-tokens.js'
import { PollPacer } from './poll-pacer.js'
import { UnansweredOrders } from './unanswered-orders.js'

/** Largest number of targets whose contexts are kept; each takes at most a few hundred bytes beside its unanswered orders. */
const maxTargets = 10_000

/** What the sessions of one dispatcher with one target share, and what outlives each of them. */
export interface SessionContext {
  /** Start orders that any session with the target has left unanswered. */
  readonly unansweredOrders: UnansweredOrders
  readonly tokens: IncarnationTokens
  readonly pollPacer: PollPacer
  /** Returns the milliseconds since the list of targets was last known to be current. */
  readonly measureListAgeMs: () => number
  /** Returns whether an incarnation of the target that starts now may carry out an order of this or an earlier dispatcher. */
  readonly mayCarryOut: (now: number) => boolean
}

/**
 * Creates the context of a session that shares nothing.
 *
 * @param readToken - returns the dispatcher's current token
 * @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out
 * @returns the context
 */
export function createSessionContext (readToken: () => number, lateOrderMs: number): SessionContext {
  const unansweredOrders = new UnansweredOrders(lateOrderMs)
  return { unansweredOrders, tokens: new IncarnationTokens(readToken), pollPacer: new PollPacer(), measureListAgeMs: () => 0, mayCarryOut: now => unansweredOrders.list(now).length > 0 }
}

/** The contexts of one dispatcher's sessions, by the ids of the targets. */
export class SessionContexts {
  readonly #lateOrderMs: number
  readonly #readToken: () => number
  readonly #requestToken: () => void
  readonly #measureListAgeMs: () => number
  readonly #pollPacer = new PollPacer()
  /** The least recently used first. */
  readonly #contexts = new Map<string, SessionContext>()
  /** Monotonic times in milliseconds until which targets may carry out orders of earlier dispatchers, by the ids of the targets. */
  readonly #earlierOrdersUntil = new Map<string, number>()
  /** The highest token that was sent to a target whose context was evicted. */
  #evictedToken = 0

  /**
   * @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out
   * @param readToken - returns the dispatcher's current token
   * @param requestToken - asks for a higher one
   * @param measureListAgeMs - returns the milliseconds since the list of targets was last known to be current
   */
  constructor (lateOrderMs: number, readToken: () => number, requestToken: () => void, measureListAgeMs: () => number) {
    this.#lateOrderMs = lateOrderMs
    this.#readToken = readToken
    this.#requestToken = requestToken
    this.#measureListAgeMs = measureListAgeMs
  }

  /** @returns the context of the sessions with a target */
  find (targetId: string): SessionContext {
    const context = this.#contexts.get(targetId) ?? this.#createContext(targetId)
    this.#contexts.delete(targetId)
    this.#contexts.set(targetId, context)
    this.#evict()
    return context
  }

  /** Records that a target may carry out orders of earlier dispatchers until the given monotonic time in milliseconds. */
  awaitIncarnations (targetId: string, until: number): void {
    this.#earlierOrdersUntil.set(targetId, Math.max(until, this.#earlierOrdersUntil.get(targetId) ?? until))
  }

  /** Forgets the orders of earlier dispatchers that can't be carried out any more. */
  expire (now: number): void {
    for (const [targetId, until] of this.#earlierOrdersUntil) if (until <= now) this.#earlierOrdersUntil.delete(targetId)
  }

  #createContext (targetId: string): SessionContext {
    const unansweredOrders = new UnansweredOrders(this.#lateOrderMs)
    const tokens = new IncarnationTokens(this.#readToken, this.#requestToken, this.#evictedToken)
    const mayCarryOut = (now: number): boolean => now < (this.#earlierOrdersUntil.get(targetId) ?? 0) || unansweredOrders.list(now).length > 0
    return { unansweredOrders, tokens, pollPacer: this.#pollPacer, measureListAgeMs: this.#measureListAgeMs, mayCarryOut }
  }

  #evict (): void {
    if (this.#contexts.size <= maxTargets) return
    const [oldest] = this.#contexts.keys()
    const { tokens } = this.#contexts.get(oldest!)!
    this.#contexts.delete(oldest!)
    this.#evictedToken = Math.max(this.#evictedToken, tokens.highestSent)
  }
}

import { tokensPerHolder } from './fencing-tokens.js'

/** Number of incarnations under one token from which a higher token is requested, so that it is available before it is needed. */
const renewalStep = 2

/**
 * The fencing tokens of one dispatcher's requests to one target. Each incarnation of the target gets a higher token than
 * all effective requests that were sent before it was known. A target refuses lower tokens than it has seen in its incarnation,
 * so that one answered request rules out that a delayed request to an earlier incarnation is carried out. The tokens
 * outlive a session, as a later session with the target must not use lower ones.
 */
export class IncarnationTokens {
  readonly #readToken: () => number
  readonly #requestToken: () => void
  readonly #minToken: number
  /** Token of the dispatcher to which `#step` is added. */
  #base = -Infinity
  #step = 0
  #highestSent = -1
  /** The highest token of the requests that would change something in a later incarnation. */
  #highestEffective = -1
  #bornMs: number | undefined
  /** Lowest token that fences all requests to incarnations before the present one. */
  #required = 0

  /**
   * @param readToken - returns the dispatcher's current token
   * @param requestToken - asks for a higher token for the dispatcher, as the steps of this one run out
   * @param minToken - lowest token to use
   */
  constructor (readToken: () => number, requestToken: () => void = () => {}, minToken = 0) {
    this.#readToken = readToken
    this.#requestToken = requestToken
    this.#minToken = minToken
  }

  /** Token of the next request. */
  get current (): number {
    const base = this.#readToken()
    if (base !== this.#base) {
      this.#base = base
      this.#step = 0
    }
    return Math.max(base + this.#step, this.#minToken)
  }

  /** The highest token that was sent to the target; -1 before the first. */
  get highestSent (): number { return this.#highestSent }

  /**
   * Takes the token for a request and records that it was sent.
   *
   * @param isEffective - whether the request would change something in a later incarnation, other than to stop a run
   * @returns the token of the request, which is about to be sent
   */
  take (isEffective: boolean): number {
    const token = this.current
    this.#highestSent = Math.max(this.#highestSent, token)
    if (isEffective) this.#highestEffective = Math.max(this.#highestEffective, token)
    return token
  }

  /**
   * Raises the token for the next incarnation before it is met, so that its first answer confirms the fence. To be called
   * only while no effective request is sent.
   */
  prepareIncarnation (): void {
    this.#advance(this.#highestEffective + 1)
  }

  /**
   * Chooses the token for an incarnation that a session meets.
   *
   * @param bornMs - Unix time in milliseconds at which the incarnation started, if the target states it
   * @returns the lowest token that fences all requests to earlier incarnations, 0 if there were none; `current` is lower
   *   when no higher one is left
   */
  beginIncarnation (bornMs: number | undefined): number {
    const isKnown = bornMs === undefined || this.#bornMs === undefined || this.#bornMs === bornMs
    this.#bornMs = bornMs ?? this.#bornMs
    if (isKnown) return this.#required
    this.#required = this.#highestEffective + 1
    this.#advance(this.#required)
    return this.#required
  }

  /** Raises the token by one step if it is below the required one, and requests a higher base when the steps run out. */
  #advance (required: number): void {
    if (this.current >= required) return
    if (this.#step + 1 < tokensPerHolder) this.#step++
    if (this.#step >= renewalStep || this.current < required) this.#requestToken()
  }
}

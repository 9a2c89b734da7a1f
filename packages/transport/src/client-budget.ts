/** Listeners of a process. Each has a part of the connections that the others can't take. */
export type ListenerName = 'callers' | 'readiness' | 'metrics'

/** Limits that a client can reach; also the values of the label `limit` of the counter. */
export type ClientLimit = 'connections' | 'requests' | 'heap' | 'buffers' | 'pipelined' | 'unread' | 'unrequested-bytes' | 'idle' | 'header-size' | 'body-size' | 'job-size' | 'timeout'

/** Resources that clients of one process may use together. */
export interface ClientBudgetLimits {
  readonly connections: Readonly<Record<ListenerName, number>>
  /** Maximum number of callers' requests in progress. */
  readonly requests: number
  /** Maximum number of requests in progress on one connection. */
  readonly pipelined: Readonly<Record<ListenerName, number>>
  /** Estimated bytes of the heap that headers and requests in progress may take. */
  readonly heapBytes: number
  /** Bytes outside the heap that request bodies and unread answers may take. */
  readonly bufferBytes: number
}

/** Number of waiting connections that are compared when one has to be evicted; bounds the cost of a decision. */
const comparedConnections = 64

/** Smallest weight of a client that has sent nearly all that it announced, so that stopping just short of the end protects nobody. */
const minMissingFraction = 0.25

/** What one connection uses, and for how long its client has kept the process waiting. */
export class ClientEntry {
  readonly listener: ListenerName
  /** Number of requests in progress. */
  requestCount = 0
  heapBytes = 0
  bufferBytes = 0
  /** Time since which the process waits for the client; undefined while the process itself works on the client's requests. */
  waitingSinceMs: number | undefined
  /** Bytes that the client announced and has sent of the body that it is sending. */
  announcedBytes = 0
  receivedBytes = 0

  constructor (listener: ListenerName) {
    this.listener = listener
  }

  /**
   * Computes how strongly a client is preferred for eviction: the time for which it has owed progress, times the part that it still
   * owes. Single bytes don't restart this time, so that sending or reading very slowly protects nobody.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds, weighted; 0 while the process works on the client's requests
   */
  computeOwedTime (nowMs: number): number {
    if (this.waitingSinceMs === undefined) return 0
    const missing = this.announcedBytes === 0 ? 1 : 1 - this.receivedBytes / this.announcedBytes
    return (nowMs - this.waitingSinceMs) * Math.max(minMissingFraction, missing)
  }
}

/** A connection to close, with the inputs of the decision. */
export interface Eviction {
  readonly entry: ClientEntry
  readonly waitedMs: number
  readonly announcedBytes: number
  readonly receivedBytes: number
}

/** Decision about an additional use of a resource: connections to close first, and whether the use fits then. */
export interface BudgetDecision {
  readonly evicted: readonly Eviction[]
  readonly isGranted: boolean
}

const granted: BudgetDecision = { evicted: [], isGranted: true }

/**
 * Decides which client goes first when a process is short of connections, memory or requests. It handles crowds of clients that open
 * connections and send nothing, stop their requests half-way, send or read very slowly, or announce large bodies. The client that has
 * kept the process waiting for longest with most still to send is evicted first. A connection for which the process is working is never
 * evicted, so that an ordinary request that has arrived is answered. It has no input, output or clock of its own.
 */
export class ClientBudget {
  readonly #limits: ClientBudgetLimits
  /** Connections whose client is waited for, by the time since which it is; the longest waiting first. */
  readonly #waiting: Readonly<Record<ListenerName, Set<ClientEntry>>> = { callers: new Set(), readiness: new Set(), metrics: new Set() }
  /** The waiting connections that hold memory, in the same order. */
  readonly #holding = new Set<ClientEntry>()
  readonly #connectionCounts: Record<ListenerName, number> = { callers: 0, readiness: 0, metrics: 0 }
  #reservedDescriptors = 0
  #requestCount = 0
  #heapBytes = 0
  #bufferBytes = 0

  constructor (limits: ClientBudgetLimits) {
    this.#limits = limits
  }

  /** Use of each resource at present. */
  get usage (): { readonly connections: Readonly<Record<ListenerName, number>>, readonly requests: number, readonly heapBytes: number, readonly bufferBytes: number } {
    return { connections: { ...this.#connectionCounts }, requests: this.#requestCount, heapBytes: this.#heapBytes, bufferBytes: this.#bufferBytes }
  }

  /**
   * Reserves descriptors for connections to targets and other instances. They reduce the callers' part, but never below a quarter.
   *
   * @returns the connections to close, because there are more than the part allows now
   */
  reserveDescriptors (count: number, nowMs: number): readonly Eviction[] {
    this.#reservedDescriptors = count
    const evicted: Eviction[] = []
    while (this.#connectionCounts.callers > this.#countAllowedConnections('callers')) {
      const victim = this.#evict(this.#waiting.callers, nowMs)
      if (victim === undefined) break
      evicted.push(victim)
    }
    return evicted
  }

  /** Adds a connection that was just accepted. If it doesn't fit, the entry is not added. */
  addConnection (entry: ClientEntry, nowMs: number): BudgetDecision {
    const { listener } = entry
    let decision = granted
    if (this.#connectionCounts[listener] >= this.#countAllowedConnections(listener)) {
      const evicted = this.#evict(this.#waiting[listener], nowMs)
      if (evicted === undefined) return { evicted: [], isGranted: false }
      decision = { evicted: [evicted], isGranted: true }
    }
    this.#connectionCounts[listener]++
    this.#startWaiting(entry, nowMs)
    return decision
  }

  /** Removes a connection that has ended, with all that it uses. Further calls have no effect. */
  removeConnection (entry: ClientEntry): void {
    if (entry.requestCount < 0) return
    this.#stopWaiting(entry)
    this.#connectionCounts[entry.listener]--
    if (entry.listener === 'callers') this.#requestCount -= entry.requestCount
    this.#heapBytes -= entry.heapBytes
    this.#bufferBytes -= entry.bufferBytes
    entry.heapBytes = 0
    entry.bufferBytes = 0
    entry.requestCount = -1
  }

  /**
   * Adds a request whose header has arrived.
   *
   * @returns false if the connection has too many requests in progress; the request is counted nevertheless
   */
  beginRequest (entry: ClientEntry): boolean {
    this.#stopWaiting(entry)
    // Until here these were the bytes of an incomplete header.
    if (entry.requestCount === 0) this.#changeBytes(entry, 'heap', -entry.heapBytes)
    entry.requestCount++
    if (entry.listener === 'callers') this.#requestCount++
    return entry.requestCount <= this.#limits.pipelined[entry.listener]
  }

  /** Notes that a request was answered and its answer has been passed on. */
  endRequest (entry: ClientEntry, nowMs: number): void {
    if (entry.requestCount <= 0) return
    entry.requestCount--
    if (entry.listener === 'callers') this.#requestCount--
    if (entry.requestCount > 0) return
    this.#changeBytes(entry, 'heap', -entry.heapBytes)
    this.#startWaiting(entry, nowMs)
  }

  /** Decides whether the request that a connection has begun fits among the requests in progress. */
  checkRequestCount (nowMs: number): BudgetDecision {
    if (this.#requestCount <= this.#limits.requests) return granted
    const evicted: Eviction[] = []
    while (this.#requestCount > this.#limits.requests) {
      const victim = this.#evict(this.#holding, nowMs)
      if (victim === undefined) return { evicted, isGranted: false }
      evicted.push(victim)
    }
    return { evicted, isGranted: true }
  }

  /**
   * Notes that the process waits for a client to send a body or to read an answer.
   *
   * @param announcedBytes - length of the body; the size limit if it was not announced; 0 for an answer
   */
  waitForClient (entry: ClientEntry, announcedBytes: number, nowMs: number): void {
    if (entry.requestCount <= 0 || entry.waitingSinceMs !== undefined) return
    entry.announcedBytes = announcedBytes
    entry.receivedBytes = 0
    this.#startWaiting(entry, nowMs)
  }

  /** Notes that a body is complete, or an answer was read, so that it is the process's turn. */
  endWait (entry: ClientEntry): void {
    if (entry.requestCount > 0) this.#stopWaiting(entry)
  }

  /**
   * Adds bytes that a connection holds in the heap or in buffers.
   *
   * @returns the connections to close, which may include this one; not granted if the bytes don't fit
   */
  addBytes (entry: ClientEntry, kind: 'heap' | 'buffers', bytes: number, nowMs: number): BudgetDecision {
    if (entry.requestCount < 0) return { evicted: [], isGranted: false }
    this.#changeBytes(entry, kind, bytes)
    if (bytes <= 0 || this.#fits(kind)) return granted
    const evicted: Eviction[] = []
    while (!this.#fits(kind)) {
      const victim = this.#evict(this.#holding, nowMs)
      if (victim === undefined) {
        this.#changeBytes(entry, kind, -bytes)
        return { evicted, isGranted: false }
      }
      evicted.push(victim)
      if (victim.entry === entry) return { evicted, isGranted: false }
    }
    return { evicted, isGranted: true }
  }

  #countAllowedConnections (listener: ListenerName): number {
    const limit = this.#limits.connections[listener]
    return listener === 'callers' ? Math.max(Math.floor(limit / 4), limit - this.#reservedDescriptors) : limit
  }

  #fits (kind: 'heap' | 'buffers'): boolean {
    return kind === 'heap' ? this.#heapBytes <= this.#limits.heapBytes : this.#bufferBytes <= this.#limits.bufferBytes
  }

  #changeBytes (entry: ClientEntry, kind: 'heap' | 'buffers', bytes: number): void {
    if (kind === 'heap') {
      entry.heapBytes += bytes
      this.#heapBytes += bytes
    } else {
      entry.bufferBytes += bytes
      this.#bufferBytes += bytes
    }
    if (entry.waitingSinceMs !== undefined) this.#holding.add(entry)
  }

  #startWaiting (entry: ClientEntry, nowMs: number): void {
    entry.waitingSinceMs = nowMs
    this.#waiting[entry.listener].add(entry)
    if (entry.requestCount > 0 || entry.heapBytes + entry.bufferBytes > 0) this.#holding.add(entry)
  }

  #stopWaiting (entry: ClientEntry): void {
    entry.waitingSinceMs = undefined
    entry.announcedBytes = 0
    entry.receivedBytes = 0
    this.#waiting[entry.listener].delete(entry)
    this.#holding.delete(entry)
  }

  /** Removes the candidate that has owed progress for longest, of the first that are compared; undefined if there is none. */
  #evict (candidates: ReadonlySet<ClientEntry>, nowMs: number): Eviction | undefined {
    let worst: ClientEntry | undefined
    let worstTime = -1
    let compared = 0
    for (const entry of candidates) {
      const time = entry.computeOwedTime(nowMs)
      if (time > worstTime) {
        worst = entry
        worstTime = time
      }
      if (++compared === comparedConnections) break
    }
    if (worst === undefined) return undefined
    const eviction = { entry: worst, waitedMs: nowMs - (worst.waitingSinceMs ?? nowMs), announcedBytes: worst.announcedBytes, receivedBytes: worst.receivedBytes }
    this.removeConnection(worst)
    return eviction
  }
}

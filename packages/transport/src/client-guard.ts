import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { type BudgetDecision, type ClientBudget, ClientEntry, type ClientLimit, type Eviction, type ListenerName } from './client-budget.js'

/** Interval in milliseconds at which incomplete headers, unread answers and silent connections are looked for. */
const sweepIntervalMs = 250

/** Number of sweeps after which the reserved descriptors are counted again. */
const sweepsPerReservation = 4

/** Estimated heap in bytes of a request in progress. */
const requestHeapBytes = 8_192

/** Estimated heap in bytes of each name or value of a header field. */
const headerTextHeapBytes = 48

/** Estimated heap in bytes for each byte of an incomplete header, which may consist of very short fields. */
const headerHeapRatio = 12

/** Bytes of an incomplete header that the parser takes at most. */
const maxIncompleteHeaderBytes = 65_536

/** Bytes beside a legal body that a client may send after its request was answered: headers, and the lengths of chunks. */
const unrequestedSlackBytes = 2 * 65_536

/** Time in milliseconds without a request after which a connection is closed: longer than a request may take to arrive. */
const maxWaitMs = 35_000

/** Time in milliseconds for which a connection stays open after an answer to a request that can't be parsed, so that the client can read it. */
const failedLingerMs = 1_000

/** Inputs of a decision about a client that reached a limit. */
export interface ClientLimitReport {
  readonly limit: ClientLimit
  readonly listener: ListenerName
  /** `evicted`: another client's use caused it; `closed`: its own use; `refused`: it was not accepted. */
  readonly outcome: 'evicted' | 'closed' | 'refused'
  readonly waitedMs?: number
  readonly announcedBytes?: number
  readonly receivedBytes?: number
}

/** Receives each decision against a client. */
export abstract class ClientLimitObserver {
  abstract onClientLimit (report: ClientLimitReport): void
}

/** A connection with its entry in the budget. */
interface GuardedConnection {
  readonly socket: Socket
  readonly entry: ClientEntry
  /** Bytes that had been read from the socket when the last request ended. */
  readBytes: number
  /** Bytes of unread answers that are counted in the budget, apart from those of a body that the client sends meanwhile. */
  unreadBytes: number
  /** Time at which a request could not be parsed. */
  failedMs?: number
  /** Request whose body the client sends; the next one of a pipelining client begins before the one before it is known to be complete. */
  sending?: IncomingMessage
}

/** Applies the budget of a process to the connections of its listeners. */
export class ClientGuard {
  readonly #budget: ClientBudget
  readonly #observer: ClientLimitObserver
  readonly #now: () => number
  readonly #countReservedDescriptors: () => number
  readonly #connections = new Map<Socket, GuardedConnection>()
  readonly #sockets = new Map<ClientEntry, Socket>()
  readonly #timer: NodeJS.Timeout
  #sweepCount = 0
  /** The operator's limits; their usual values apply until a configuration has arrived. */
  #idleTimeoutMs = 15_000
  #maxBodyBytes = 262_144

  /**
   * @param budget - decides which connections are closed
   * @param observer - receives each decision against a client
   * @param now - returns a monotonic time in milliseconds
   * @param countReservedDescriptors - returns the number of descriptors that connections other than clients' need
   */
  constructor (budget: ClientBudget, observer: ClientLimitObserver, now: () => number, countReservedDescriptors: () => number) {
    this.#budget = budget
    this.#observer = observer
    this.#now = now
    this.#countReservedDescriptors = countReservedDescriptors
    this.#timer = setInterval(() => { this.#sweep() }, sweepIntervalMs).unref()
  }

  /**
   * Applies the operator's limits.
   *
   * @param idleTimeoutMs - time after which a connection that has never sent anything is closed
   * @param maxBodyBytes - largest legal body, which a client may go on sending after its request was answered
   */
  applyLimits (idleTimeoutMs: number, maxBodyBytes: number): void {
    this.#idleTimeoutMs = idleTimeoutMs
    this.#maxBodyBytes = maxBodyBytes
  }

  /** Stops the periodic checks. */
  close (): void {
    clearInterval(this.#timer)
  }

  /** Adds a connection that was accepted, or closes it if there is no room. */
  addConnection (socket: Socket, listener: ListenerName): void {
    const entry = new ClientEntry(listener)
    const { evicted, isGranted } = this.#budget.addConnection(entry, this.#now())
    this.#closeEvicted(evicted, 'connections', 'evicted')
    if (!isGranted) {
      this.#observer.onClientLimit({ limit: 'connections', listener, outcome: 'refused' })
      socket.destroy()
      return
    }
    this.#connections.set(socket, { socket, entry, readBytes: 0, unreadBytes: 0 })
    this.#sockets.set(entry, socket)
    socket.once('close', () => { this.#forget(socket, entry) })
  }

  /**
   * Adds a request whose header has arrived.
   *
   * @returns false if the connection was closed, so that the request must not be handled
   */
  beginRequest (request: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.#connections.get(request.socket)
    if (connection === undefined || request.socket.destroyed) return false
    const { entry } = connection
    if (!this.#budget.beginRequest(entry)) {
      this.#closeOwn(connection, 'pipelined')
      stopParser(request.socket)
      return false
    }
    response.once('close', () => {
      connection.readBytes = connection.socket.bytesRead
      this.#budget.endRequest(entry, this.#now())
    })
    return this.addHeap(request.socket, requestHeapBytes + request.rawHeaders.length * headerTextHeapBytes + 2 * (request.url?.length ?? 0)) || this.#closeOwn(connection, 'heap')
  }

  /** @returns false if there is no room for another request in progress */
  hasRequestRoom (): boolean {
    const { evicted, isGranted } = this.#budget.checkRequestCount(this.#now())
    this.#closeEvicted(evicted, 'requests', 'evicted')
    if (!isGranted) this.#observer.onClientLimit({ limit: 'requests', listener: 'callers', outcome: 'refused' })
    return isGranted
  }

  /**
   * Adds estimated bytes of the heap that the requests of a connection hold until they have been answered.
   *
   * @returns false if they don't fit
   */
  addHeap (socket: Socket, bytes: number): boolean {
    return this.#addBytes(socket, 'heap', bytes)
  }

  /**
   * Adds bytes of buffers that a connection holds; negative when they are released.
   *
   * @returns false if they don't fit; the connection may have been closed then
   */
  addBuffers (socket: Socket, bytes: number): boolean {
    return this.#addBytes(socket, 'buffers', bytes)
  }

  /**
   * Notes that a client begins to send a body.
   *
   * @param announcedBytes - length of the body; the size limit if it was not announced
   */
  beginBody (request: IncomingMessage, announcedBytes: number): void {
    const connection = this.#connections.get(request.socket)
    if (connection === undefined) return
    connection.sending = request
    this.#budget.waitForClient(connection.entry, announcedBytes, this.#now())
  }

  /** Notes how many bytes of a body have arrived. */
  updateBody (request: IncomingMessage, receivedBytes: number): void {
    const connection = this.#connections.get(request.socket)
    if (connection?.sending === request && connection.entry.waitingSinceMs !== undefined) connection.entry.receivedBytes = receivedBytes
  }

  /** Notes that a body is complete. The client is waited for further if it already sends the next one. */
  endBody (request: IncomingMessage): void {
    const connection = this.#connections.get(request.socket)
    if (connection?.sending !== request) return
    delete connection.sending
    this.#budget.endWait(connection.entry)
  }

  /** Reports that a request was refused because of its own size or time, which needs no decision of the budget. */
  reportRefusal (socket: Socket, limit: ClientLimit): void {
    const entry = this.#connections.get(socket)?.entry
    if (entry !== undefined) this.#observer.onClientLimit({ limit, listener: entry.listener, outcome: 'refused' })
  }

  /**
   * Notes that a request could not be parsed and was answered, so that the connection is closed after a short time.
   *
   * @param limit - limit that the request exceeded; absent if it was malformed
   */
  markFailed (socket: Socket, limit?: ClientLimit): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.failedMs = this.#now()
    if (limit !== undefined) this.reportRefusal(socket, limit)
  }

  #addBytes (socket: Socket, kind: 'heap' | 'buffers', bytes: number): boolean {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return bytes <= 0
    const decision = this.#budget.addBytes(connection.entry, kind, bytes, this.#now())
    if (decision.evicted.length > 0) this.#closeEvicted(decision.evicted, kind, 'evicted')
    return decision.isGranted
  }

  #closeEvicted (evicted: BudgetDecision['evicted'], limit: ClientLimit, outcome: 'evicted' | 'closed'): void {
    for (const { entry, ...inputs } of evicted) {
      this.#observer.onClientLimit({ limit, listener: entry.listener, outcome, ...inputs })
      this.#sockets.get(entry)?.destroy()
    }
  }

  /** Closes a connection because of its client's own use. */
  #closeOwn (connection: GuardedConnection, limit: ClientLimit): false {
    const { entry } = connection
    const eviction: Eviction = { entry, waitedMs: this.#now() - (entry.waitingSinceMs ?? this.#now()), announcedBytes: entry.announcedBytes, receivedBytes: entry.receivedBytes }
    this.#budget.removeConnection(entry)
    this.#closeEvicted([eviction], limit, 'closed')
    return false
  }

  #forget (socket: Socket, entry: ClientEntry): void {
    this.#budget.removeConnection(entry)
    this.#connections.delete(socket)
    this.#sockets.delete(entry)
  }

  /** Checks all connections, and at times counts the reserved descriptors again. */
  #sweep (): void {
    const nowMs = this.#now()
    if (this.#sweepCount++ % sweepsPerReservation === 0) this.#closeEvicted(this.#budget.reserveDescriptors(this.#countReservedDescriptors(), nowMs), 'connections', 'evicted')
    for (const connection of [...this.#connections.values()]) {
      if (!connection.socket.destroyed) this.#checkConnection(connection, nowMs)
    }
  }

  #checkConnection (connection: GuardedConnection, nowMs: number): void {
    const { entry } = connection
    this.#countUnread(connection)
    if (connection.socket.destroyed) return
    if (connection.failedMs !== undefined && nowMs - connection.failedMs > failedLingerMs) this.#closeOwn(connection, 'idle')
    else if (entry.requestCount > 0) this.#checkAnswers(connection, nowMs)
    else this.#checkIdle(connection, nowMs)
  }

  /** Counts answers that the client has not read, and lets the client be evicted as long as there are any. */
  #checkAnswers (connection: GuardedConnection, nowMs: number): void {
    const { entry, socket } = connection
    const isUnread = socket.writableLength > 0
    const isReading = entry.waitingSinceMs !== undefined && entry.announcedBytes === 0
    if (isUnread && isReading && nowMs - entry.waitingSinceMs! > maxWaitMs) this.#closeOwn(connection, 'unread')
    else if (isUnread && entry.waitingSinceMs === undefined) this.#budget.waitForClient(entry, 0, nowMs)
    else if (!isUnread && isReading) this.#budget.endWait(entry)
  }

  /** Counts the bytes of answers that the client has not read, and releases those that it has read. */
  #countUnread (connection: GuardedConnection): void {
    const added = connection.socket.writableLength - connection.unreadBytes
    if (added !== 0 && this.#addBytes(connection.socket, 'buffers', added)) connection.unreadBytes += added
  }

  /** Closes a connection that never sends a request, or sends on after its answer, and counts the bytes of an incomplete header. */
  #checkIdle (connection: GuardedConnection, nowMs: number): void {
    const { entry, socket } = connection
    const waitedMs = nowMs - (entry.waitingSinceMs ?? nowMs)
    const bytes = socket.bytesRead - connection.readBytes
    if (bytes > this.#maxBodyBytes + unrequestedSlackBytes) this.#closeOwn(connection, 'unrequested-bytes')
    else if (waitedMs > (socket.bytesRead === 0 ? this.#idleTimeoutMs : maxWaitMs)) this.#closeOwn(connection, 'idle')
    else {
      const heapBytes = Math.min(bytes, maxIncompleteHeaderBytes) * headerHeapRatio
      if (heapBytes !== entry.heapBytes && !this.#addBytes(socket, 'heap', heapBytes - entry.heapBytes)) this.#closeOwn(connection, 'heap')
    }
  }
}

/**
 * Stops the parser of a connection that was closed in the middle of the bytes that were read from it. Otherwise it goes on to create
 * thousands of requests that nobody handles; a few dozen such connections in one turn of the event loop filled the heap. The result 2 means that no
 * HTTP message follows. The parser is no published member of a socket, so it may be absent, and the requests are then only ignored.
 */
function stopParser (socket: Socket & { readonly parser?: { onIncoming: unknown } | null }): void {
  if (socket.parser !== undefined && socket.parser !== null) socket.parser.onIncoming = () => 2
}

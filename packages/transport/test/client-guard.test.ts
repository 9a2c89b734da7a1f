import assert from 'node:assert/strict'
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { EventEmitter, once } from 'node:events'
import { type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { describe, it, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { ClientBudget, ClientGuard, ClientLimitObserver, type ClientLimitReport, defaultListenerLimits, HttpListener } from '../src/index.js'

const request = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'

/** The part of a socket that the guard reads. */
class FakeSocket extends EventEmitter {
  destroyed = false
  writableLength = 0
  bytesRead = 0

  destroy (): void { this.destroyed = true }
}

/** Keeps all decisions against clients. */
class RecordingObserver extends ClientLimitObserver {
  readonly reports: ClientLimitReport[] = []

  override onClientLimit (report: ClientLimitReport): void {
    this.reports.push(report)
  }
}

interface Setting {
  readonly listener: HttpListener
  readonly observer: RecordingObserver
  readonly open: () => Promise<Socket>
}

/** Starts a listener with room for three connections and short time-outs for headers. */
async function startListener (t: TestContext, idleTimeoutMs: number, handler: RequestListener): Promise<Setting> {
  const observer = new RecordingObserver()
  const budget = new ClientBudget({ connections: { callers: 3, readiness: 1, metrics: 1 }, requests: 10, pipelined: { callers: 4, readiness: 1, metrics: 1 }, heapBytes: 10_000_000, bufferBytes: 1_000_000 })
  const guard = new ClientGuard(budget, observer, () => performance.now(), () => 0)
  guard.applyLimits(idleTimeoutMs, 262_144)
  const listener = new HttpListener('127.0.0.1:0', handler, { ...defaultListenerLimits, headerTimeoutMs: 100 }, { guard, name: 'callers' })
  listener.applyLimits({ headerTimeoutMs: 100, idleTimeoutMs, maxHeaderBytes: 32_768 })
  const address = await listener.listen()
  const sockets: Socket[] = []
  t.after(async () => {
    for (const socket of sockets) socket.destroy()
    await listener.close(0)
    guard.close()
  })
  const open = async (): Promise<Socket> => {
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    await once(socket, 'connect')
    return socket
  }
  return { listener, observer, open }
}

async function readAll (socket: Socket): Promise<string> {
  let text = ''
  socket.setEncoding('utf8').on('data', chunk => { text += chunk })
  await once(socket, 'close')
  return text
}

async function readSome (socket: Socket): Promise<string> {
  const [chunk] = await once(socket, 'data') as [Buffer]
  return chunk.toString()
}

describe('client guard', () => {
  // Guards against closing the idle connections of ordinary callers by the time-out for headers.
  it('keeps an unused connection longer than the time-out for headers', async t => {
    const { open, observer } = await startListener(t, 60_000, (_, response) => { response.end('ok') })
    const socket = await open()
    await sleep(500)
    socket.write(request)
    assert.match(await readSome(socket), /^HTTP\/1.1 200/)
    assert.deepEqual(observer.reports, [])
  })

  it('closes an unused connection after the idle time-out', async t => {
    const { open, observer } = await startListener(t, 300, (_, response) => { response.end('ok') })
    assert.equal(await readAll(await open()), '')
    assert.deepEqual(observer.reports.map(({ limit, outcome }) => `${limit} ${outcome}`), ['idle closed'])
  })

  it('answers an incomplete header with 408 and closes its connection although the client does not', async t => {
    const { open, observer } = await startListener(t, 60_000, (_, response) => { response.end('ok') })
    const socket = await open()
    socket.write(request.slice(0, 20))
    assert.match(await readAll(socket), /^HTTP\/1.1 408/)
    assert.deepEqual(observer.reports.map(({ limit, outcome }) => `${limit} ${outcome}`), ['timeout refused'])
  })

  // Guards against a job whose answer is lost because its connection was taken for an idle one.
  it('never evicts a connection whose request is served, and answers it while the listener closes', async t => {
    let answer = (): void => {}
    const { listener, open, observer } = await startListener(t, 60_000, (_, response) => { answer = () => { response.end('late') } })
    const served = await open()
    served.write(request)
    const text = readAll(served)
    const others: Socket[] = []
    for (let count = 0; count < 10; count++) others.push(await open())
    await Promise.all(others.slice(0, 8).map(async socket => { if (!socket.destroyed) await once(socket, 'close') }))
    assert.equal(observer.reports.length, 8)
    const closed = listener.close(10_000)
    answer()
    assert.match(await text, /late/)
    await closed
  })

  it('closes a connection with too many requests in progress, and handles none beyond the limit', async t => {
    let handled = 0
    const { open, observer } = await startListener(t, 60_000, () => { handled++ })
    const socket = await open()
    socket.write(request.repeat(1_000))
    await readAll(socket)
    assert.equal(handled, 4)
    assert.deepEqual(observer.reports.map(({ limit, outcome }) => `${limit} ${outcome}`), ['pipelined closed'])
  })

  // Guards against pipelined requests that fill the heap although their connection was closed: they are held until the event loop turns.
  it('creates no request after it has closed a connection', async t => {
    const sockets = new Set<Socket>()
    const { open } = await startListener(t, 60_000, request => { sockets.add(request.socket) })
    const parsed: unknown[] = []
    const onRequest = (message: unknown): void => { parsed.push(message) }
    subscribe('http.server.request.start', onRequest)
    t.after(() => { unsubscribe('http.server.request.start', onRequest) })
    const socket = await open()
    socket.write(request.repeat(2_000))
    await readAll(socket)
    assert.equal(sockets.size, 1)
    assert.equal(parsed.length, 5)
  })

  // Guards against clients that send bodies without end to a path that doesn't read them.
  it('closes a connection that sends on after its answer', async t => {
    const { open, observer } = await startListener(t, 60_000, (_, response) => { response.end('ok') })
    const socket = await open()
    socket.resume()
    socket.write('POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n')
    socket.write(Buffer.alloc(1_000_000))
    await once(socket, 'close')
    assert.equal(observer.reports[0]!.limit, 'unrequested-bytes')
  })

  // Guards against bodies that are no longer counted because answers on the same connection are unread, so that the process holds more than its memory.
  it('counts a body beside unread answers, and releases both', async t => {
    t.mock.timers.enable({ apis: ['setInterval'] })
    const budget = new ClientBudget({ connections: { callers: 3, readiness: 1, metrics: 1 }, requests: 10, pipelined: { callers: 4, readiness: 1, metrics: 1 }, heapBytes: 10_000_000, bufferBytes: 1_000_000 })
    const guard = new ClientGuard(budget, new RecordingObserver(), () => performance.now(), () => 0)
    const socket = new FakeSocket()
    const connection = socket as unknown as Socket
    guard.addConnection(connection, 'callers')
    const responses = [new EventEmitter(), new EventEmitter()]
    const message = { socket, rawHeaders: [], url: '/x' } as unknown as IncomingMessage
    for (const response of responses) assert.ok(guard.beginRequest(message, response as ServerResponse))
    socket.writableLength = 100
    t.mock.timers.tick(250)
    guard.beginBody(message, 262_144)
    assert.ok(guard.addBuffers(connection, 16_384))
    t.mock.timers.tick(250)
    assert.equal(budget.usage.bufferBytes, 16_484)
    guard.addBuffers(connection, -16_384)
    assert.equal(budget.usage.bufferBytes, 100)
    socket.writableLength = 0
    for (const response of responses) response.emit('close')
    t.mock.timers.tick(250)
    assert.equal(budget.usage.bufferBytes, 0)
    guard.close()
  })

  // Guards against a client that stops in its second pipelined body and can't be evicted, because the end of the first one counted for both.
  it('evicts a client that stops in a pipelined body', t => {
    t.mock.timers.enable({ apis: ['setInterval'] })
    const budget = new ClientBudget({ connections: { callers: 3, readiness: 1, metrics: 1 }, requests: 10, pipelined: { callers: 4, readiness: 1, metrics: 1 }, heapBytes: 10_000_000, bufferBytes: 64 * 1024 })
    const guard = new ClientGuard(budget, new RecordingObserver(), () => 0, () => 0)
    const createRequest = (socket: FakeSocket): IncomingMessage => {
      const message = { socket, rawHeaders: [], url: '/x' } as unknown as IncomingMessage
      assert.ok(guard.beginRequest(message, new EventEmitter() as ServerResponse))
      guard.beginBody(message, 262_144)
      return message
    }
    const [stalled, ordinary] = [new FakeSocket(), new FakeSocket()]
    for (const socket of [stalled, ordinary]) guard.addConnection(socket as unknown as Socket, 'callers')
    const first = createRequest(stalled)
    createRequest(stalled)
    guard.endBody(first)
    assert.ok(guard.addBuffers(stalled as unknown as Socket, 60 * 1024))
    const last = createRequest(ordinary)
    guard.endBody(last)
    assert.ok(guard.addBuffers(ordinary as unknown as Socket, 16 * 1024))
    assert.deepEqual([stalled.destroyed, ordinary.destroyed], [true, false])
    guard.close()
  })
})

import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { type AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { ConnectionPool, type ExchangeResult } from '../src/index.js'

/** Timeout in milliseconds of the requests. */
const replyTimeoutMs = 40

/** Time in milliseconds after which the server answers a request to `/late`; one to `/never` it doesn't answer. */
const lateMs = 150

/** Longest time in milliseconds for which the test waits for what must come. */
const patienceMs = 10_000

interface LateRequest {
  readonly result: ExchangeResult
  /** The late reply; undefined if none has come in time. */
  readonly late: Promise<string | undefined>
}

// Guards against a reply that is dropped because it comes after the timeout, and against connections that stay occupied while it is awaited.
describe('a reply that comes after the timeout', () => {
  let connections = 0
  const server = createServer((request, response) => {
    if (request.url !== '/never') setTimeout(() => { response.end(request.url) }, request.url === '/late' ? lateMs : 0)
  })
  server.on('connection', () => { connections++ })
  let address = ''
  before(async () => {
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  after(() => { server.closeAllConnections(); server.close() })

  async function sendLate (pool: ConnectionPool, path: string, timeoutMs: number, waitMs = patienceMs): Promise<LateRequest> {
    let onReply: (text: string) => void = () => {}
    const reply = new Promise<string>(resolve => { onReply = resolve })
    const result = await pool.send({ method: 'POST', path, body: '{}' }, { replyTimeoutMs, lateReply: { timeoutMs, onReply: ({ text }) => { onReply(text) } } }).result
    return { result, late: Promise.race([reply, delay(waitMs, undefined, { ref: false })]) }
  }

  async function isAnswered (pool: ConnectionPool): Promise<boolean> {
    return (await pool.send({ method: 'GET', path: '/' }, { replyTimeoutMs: patienceMs }).result).kind === 'replied'
  }

  it('is received, and its connection is used again', async () => {
    const pool = new ConnectionPool({ address, maxConnections: 1, reservedConnections: 0 })
    const earlier = connections
    const { result, late } = await sendLate(pool, '/late', patienceMs)
    assert.equal(result.kind, 'lost')
    assert.equal(await late, '/late')
    assert.ok(await isAnswered(pool))
    assert.equal(connections - earlier, 1)
    await pool.close()
  })

  it('is given up when its connection is needed, also by a request that waits already', async () => {
    const pool = new ConnectionPool({ address, maxConnections: 1, reservedConnections: 0 })
    await sendLate(pool, '/never', patienceMs)
    assert.ok(await isAnswered(pool))
    const second = sendLate(pool, '/never', patienceMs)
    assert.ok(await isAnswered(pool))
    assert.equal((await second).result.kind, 'lost')
    await pool.close()
  })

  it('is given up when its time is over, and when the pool is closed', async () => {
    const pool = new ConnectionPool({ address, maxConnections: 1, reservedConnections: 0 })
    await sendLate(pool, '/never', 30)
    while (pool.countConnections() > 0) await delay(5)
    const { late } = await sendLate(pool, '/late', patienceMs, 3 * lateMs)
    await pool.close()
    assert.equal(await late, undefined)
    assert.equal(pool.countConnections(), 0)
  })
})

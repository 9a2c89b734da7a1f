import assert from 'node:assert/strict'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { ConnectionPool } from '../src/index.js'

/** Timeout in milliseconds of the request, and time for which this process is busy. */
const replyTimeoutMs = 50
const busyMs = 200

const serverCode = `
  const { createServer } = require('node:http')
  const { parentPort } = require('node:worker_threads')
  const server = createServer((request, response) => { response.end('{}') })
  server.listen(0, '127.0.0.1', () => { parentPort.postMessage(server.address().port) })
`

/**
 * Under load a process runs its timers before it reads its sockets. Guards against taking an answer that has
 * arrived but was not read for a missing one: the connection is then closed and the order stopped, which costs a
 * busy process even more.
 */
describe('a reply that arrives while the process is busy', () => {
  it('is not taken for a timeout', async () => {
    const worker = new Worker(serverCode, { eval: true })
    const [port] = await once(worker, 'message') as [number]
    const pool = new ConnectionPool({ address: `127.0.0.1:${port}`, maxConnections: 1, reservedConnections: 0 })
    const request = { method: 'POST', path: '/', body: '{}' } as const
    await pool.send(request, { replyTimeoutMs: 2_000 }).result
    const { result } = pool.send(request, { replyTimeoutMs })
    // The request is written in the next turns of the event loop.
    for (let turn = 0; turn < 3; turn++) await new Promise(resolve => { setImmediate(resolve) })
    const busyUntil = performance.now() + busyMs
    while (performance.now() < busyUntil);
    assert.equal((await result).kind, 'replied')
    await pool.close()
    await worker.terminate()
  })
})

import assert from 'node:assert/strict'
import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'
import { describe, it, type TestContext } from 'node:test'
import { Packr } from 'msgpackr'
import { MessageStream } from '../src/index.js'

async function connectPair (t: TestContext): Promise<readonly [Socket, Socket]> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [[far]] = await Promise.all([once(server, 'connection') as Promise<[Socket]>, once(near, 'connect')])
  t.after(() => {
    near.destroy()
    far.destroy()
    server.close()
  })
  return [near, far]
}

/** Collects the messages of a stream until a number of them has arrived. */
async function receive (socket: Socket, count: number): Promise<readonly unknown[]> {
  return await new Promise((resolve, reject) => {
    const received: unknown[] = []
    const stream = new MessageStream(socket, {
      onMessage: message => {
        received.push(message)
        if (received.length < count) return
        resolve(received)
        stream.close('the test ends')
      },
      onClose: reason => { reject(new Error(reason)) }
    })
  })
}

describe('MessageStream', () => {
  it('delivers messages in order, whatever the size', async t => {
    const [near, far] = await connectPair(t)
    const messages = Array.from({ length: 200 }, (_, index) => ({ index, text: 'x'.repeat(index % 10 === 0 ? 20_000 : index) }))
    const received = receive(far, messages.length)
    const stream = new MessageStream(near, { onMessage: () => {}, onClose: () => {} })
    for (const message of messages) stream.send(message)
    assert.deepEqual(await received, messages)
  })

  // An entry of another writer may name the address of an instance; a dispatcher then sends HTTP to the stream, and null broke its handler.
  for (const bytes of [Buffer.from('POST /jobs HTTP/1.1\r\n\r\n'), new Packr({ useRecords: false }).pack(null)]) {
    it(`closes on ${JSON.stringify(bytes.toString('latin1'))}, which is no message`, async t => {
      const [near, far] = await connectPair(t)
      const received = receive(far, 1)
      near.write(bytes)
      await assert.rejects(received, /malformed/)
    })
  }

  it('decodes messages that arrive byte by byte', async t => {
    const [near, far] = await connectPair(t)
    const messages = [{ type: 'first', ids: ['a', 'b'] }, { type: 'second', value: 1.5 }]
    const received = receive(far, messages.length)
    const packr = new Packr({ useRecords: false })
    near.setNoDelay(true)
    for (const byte of Buffer.concat(messages.map(message => packr.pack(message)))) {
      near.write(Buffer.from([byte]))
      await new Promise(resolve => { setImmediate(resolve) })
    }
    assert.deepEqual(await received, messages)
  })

  it('delivers a message that was sent just before the close', async t => {
    const [near, far] = await connectPair(t)
    const received = receive(far, 1)
    const stream = new MessageStream(near, { onMessage: () => {}, onClose: () => {} })
    stream.send({ type: 'stopped' })
    stream.close('the test ends')
    assert.deepEqual(await received, [{ type: 'stopped' }])
  })

  it('closes when a message exceeds the maximum size', async t => {
    const [near, far] = await connectPair(t)
    const closed = new Promise<string>(resolve => { new MessageStream(far, { onMessage: () => {}, onClose: resolve }) }) // eslint-disable-line no-new
    // The head of a string of 4 GB.
    near.write(Buffer.from([0xdb, 0xff, 0xff, 0xff, 0xff]))
    near.write(Buffer.alloc(17 * 1024 * 1024))
    assert.match(await closed, /malformed/)
  })
})

import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { formatAddress, NetworkLink, parseAddress, startBalancer } from '../src/index.js'

/** Echoes each chunk and records it. */
async function startEcho (prefix = ''): Promise<{ server: Server, address: string, seen: string[] }> {
  const seen: string[] = []
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', chunk => {
      seen.push(chunk.toString())
      socket.write(prefix + chunk.toString())
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, address: formatAddress(server.address()), seen }
}

async function open (address: string): Promise<{ socket: Socket, received: () => string }> {
  const socket = connect(parseAddress(address))
  let text = ''
  socket.on('error', () => {})
  socket.on('data', chunk => { text += chunk.toString() })
  await once(socket, 'connect')
  return { socket, received: () => text }
}

// Guards against cuts that lose or leak bytes: a scenario would then test another fault than it names.
test('a link delays, holds one or both directions, and goes silent for existing connections only', async () => {
  const echo = await startEcho()
  const link = new NetworkLink({ name: 'l', listen: '127.0.0.1:0', connect: echo.address, delayMs: 20 })
  const address = await link.listen('127.0.0.1:0')
  const first = await open(address)
  const sockets = [first.socket]
  try {
    const began = performance.now()
    first.socket.write('a')
    await once(first.socket, 'data')
    assert.ok(performance.now() - began >= 38, 'both directions are delayed')
    link.setMode('cut-to-client')
    first.socket.write('b')
    await delay(100)
    assert.deepEqual([echo.seen.join(''), first.received()], ['ab', 'a'])
    link.setMode('cut')
    first.socket.write('c')
    const second = await open(address)
    sockets.push(second.socket)
    second.socket.write('x')
    await delay(100)
    assert.equal(echo.seen.join(''), 'ab')
    link.setMode('open')
    await delay(100)
    assert.deepEqual([first.received(), second.received()], ['abc', 'x'])
    link.setSilent()
    first.socket.write('d')
    const third = await open(address)
    sockets.push(third.socket)
    third.socket.write('y')
    await delay(100)
    assert.deepEqual([first.received(), third.received(), first.socket.destroyed], ['abc', 'y', false])
    assert.ok(!echo.seen.join('').includes('d'))
    link.setMode('refuse')
    await delay(50)
    assert.ok(third.socket.destroyed)
  } finally {
    for (const socket of sockets) socket.destroy()
    await link.close()
    echo.server.close()
  }
})

// Guards against a balancer that sends callers to a dead back end.
test('a balancer goes round its back ends and passes over dead ones', async () => {
  const [a, b] = [await startEcho('a'), await startEcho('b')]
  const dead = await startEcho()
  dead.server.close()
  const balancer = await startBalancer({ backends: [a.address, dead.address, b.address] })
  const answers: string[] = []
  try {
    for (let i = 0; i < 6; i++) {
      const { socket, received } = await open(balancer.addresses['api']!)
      socket.write('1')
      await once(socket, 'data')
      answers.push(received())
      socket.destroy()
    }
    assert.ok(answers.includes('a1') && answers.includes('b1'), answers.join())
  } finally {
    await balancer.close()
    a.server.close()
    b.server.close()
  }
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { EmulatedProcess, RandomSource } from '../src/index.js'

function createProcess (): { readonly clock: ManualClock, readonly process: EmulatedProcess } {
  const clock = new ManualClock()
  return { clock, process: new EmulatedProcess(clock, new RandomSource(1)) }
}

describe('an emulated process', () => {
  it('runs due timers before waiting messages after the last of its pauses, while its time goes on', async () => {
    const { clock, process } = createProcess()
    const events: string[] = []
    const endFirst = process.pause()
    const endSecond = process.pause()
    process.receive(() => events.push('first message'))
    process.startTimer(10, () => events.push('timer'))
    await clock.advance(100)
    endFirst()
    endFirst()
    await clock.advance(100)
    assert.equal(events.length, 0)
    assert.equal(process.now(), clock.now())
    endSecond()
    process.receive(() => events.push('second message'))
    await clock.advance(0)
    assert.deepEqual(events, ['timer', 'first message', 'second message'])
  })

  it('has a clock that stands still, and timers that come due as much later, while its machine is suspended', async () => {
    const { clock, process } = createProcess()
    const startedAt = clock.now()
    const firedAt: number[] = []
    process.startTimer(100, () => firedAt.push(clock.now() - startedAt))
    process.startTimer(1_000, () => firedAt.push(clock.now() - startedAt))
    await clock.advance(50)
    const end = process.suspend()
    await clock.advance(400)
    assert.equal(process.now() - startedAt, 50)
    end()
    assert.equal(process.now() - startedAt, 50)
    await clock.advance(1_000)
    assert.deepEqual(firedAt, [500, 1_400])
    assert.equal(process.now() - startedAt, 1_050)
  })

  it('does not run a timer that is cancelled while it waits', async () => {
    const { clock, process } = createProcess()
    const resume = process.pause()
    const cancel = process.startTimer(10, assert.fail)
    await clock.advance(20)
    cancel()
    resume()
    await clock.advance(20)
  })

  it('handles messages late but in order while it is slow', async () => {
    const { clock, process } = createProcess()
    process.setSlowness(100)
    const delays: number[] = []
    const order: number[] = []
    for (let index = 0; index < 50; index++) {
      const sentAt = clock.now()
      process.receive(() => { order.push(index); delays.push(clock.now() - sentAt) })
      await clock.advance(10)
    }
    process.setSlowness(0)
    process.receive(() => order.push(50))
    await clock.advance(100)
    assert.deepEqual(order, Array.from({ length: 51 }, (_, index) => index))
    assert.ok(Math.max(...delays) > 50 && Math.max(...delays) <= 100, `the longest delay is ${Math.max(...delays)} ms`)
  })

  it('runs nothing after its end', async () => {
    const { clock, process } = createProcess()
    const resume = process.pause()
    process.receive(assert.fail)
    process.startTimer(10, assert.fail)
    process.end(true)
    resume()
    await clock.advance(20)
  })
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { PollLoop } from '../src/poll-loop.js'

interface LoopFixture {
  readonly clock: ManualClock
  readonly loop: PollLoop
  readonly target: { answers: boolean, polls: number }
}

function startLoop (): LoopFixture {
  const clock = new ManualClock()
  const target = { answers: false, polls: 0 }
  const poll = async (): Promise<boolean> => {
    target.polls++
    const { answers } = target
    await new Promise<void>(resolve => { clock.startTimer(answers ? 100 : 1, resolve) })
    return answers
  }
  const loop = new PollLoop(clock, () => 100, poll, () => {})
  loop.run().catch(() => {})
  return { clock, loop, target }
}

/**
 * Another writer may leave thousands of entries that name no live target. Guards against polls of them that take most
 * of the dispatcher's processor time for as long as the entries stand.
 */
describe('polls of a target that has never answered', () => {
  it('become rare', async () => {
    const { clock, loop, target } = startLoop()
    await clock.advance(20_000)
    const pollsBefore = target.polls
    await clock.advance(60_000)
    loop.close()
    await flushMicrotasks()
    assert.ok(target.polls - pollsBefore <= 31, `${target.polls - pollsBefore} polls in a minute`)
  })

  it('are frequent at first, and again once it has answered', async () => {
    const { clock, loop, target } = startLoop()
    await clock.advance(9_000)
    assert.ok(target.polls >= 20, `${target.polls} polls in 9 s`)
    await clock.advance(20_000)
    target.answers = true
    await clock.advance(2_200)
    target.answers = false
    const pollsBefore = target.polls
    await clock.advance(20_000)
    loop.close()
    await flushMicrotasks()
    assert.ok(target.polls - pollsBefore >= 45, `${target.polls - pollsBefore} polls in 20 s`)
  })
})

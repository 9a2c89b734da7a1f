import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { startPeriodicTimer } from '../src/periodic-timer.js'

/** Drops the fraction of a delay, as the timers of Node.js do, so that they fire up to a millisecond early. */
class TruncatingClock extends ManualClock {
  override startTimer (delayMs: number, callback: () => void): () => void {
    return super.startTimer(Math.trunc(delayMs), callback)
  }
}

async function countCalls (intervalMs: number): Promise<number> {
  const clock = new TruncatingClock()
  clock.time = 1_000.4
  let count = 0
  const cancel = startPeriodicTimer(clock, intervalMs, () => { count++ })
  await clock.advance(10_000)
  cancel()
  return count
}

// Guards against a timer that fires shortly before its time on the grid and then fires again on it.
describe('a periodic timer whose clock fires early', () => {
  it('calls its task once in each interval', async () => {
    assert.deepEqual([await countCalls(50), await countCalls(100), await countCalls(150)], [200, 100, 66])
  })
})

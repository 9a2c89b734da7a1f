import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SuspensionDetector } from '../src/suspension-detector.js'

/** A suspended machine's monotonic clock stands still. Guards against taking old signs of life for new ones after it. */
describe('suspension detector', () => {
  it('counts the time by which the time of day runs ahead of the monotonic clock', () => {
    const detector = new SuspensionDetector()
    assert.equal(detector.record(100, 5_000), 0)
    assert.equal(detector.record(200, 5_100), 0)
    assert.equal(detector.record(210, 5_910), 800)
    assert.equal(detector.record(310, 6_010), 800)
    assert.equal(detector.record(320, 6_520), 1_300)
  })

  it('ignores small differences and a time of day that is set back', () => {
    const detector = new SuspensionDetector()
    detector.record(100, 5_000)
    assert.equal(detector.record(200, 5_120), 0)
    assert.equal(detector.record(300, 2_000), 0)
    assert.equal(detector.record(400, 2_100), 0)
  })
})

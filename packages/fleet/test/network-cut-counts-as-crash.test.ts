import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type TargetLoss, TargetLosses } from '../src/index.js'

const task = 'c0ffee0000000001.0.0.0'

function createLoss (target: string, changes: Partial<TargetLoss> = {}): TargetLoss {
  return { target, bornMs: 1_000, evidence: 'silent', isAlone: true, ...changes }
}

// Guards against a target behind a network cut being counted as crashed by its tasks.
describe('the losses of targets under a task', () => {
  it('forget a target whose lost incarnation answers again', () => {
    const losses = new TargetLosses()
    losses.record(task, createLoss('x', { evidence: 'refused' }), 0)
    losses.record(task, createLoss('y'), 0)
    assert.deepEqual(losses.settle('x', 1_000, 10), ['c0ffee0000000001'])
    assert.deepEqual(losses.listLosses(task).map(loss => loss.target), ['y'])
    assert.deepEqual(losses.settle('y', 1_000, 10), ['c0ffee0000000001'])
    assert.equal(losses.isSuspect(task), false)
    assert.deepEqual([...losses.listJobs()], [])
  })

  it('count a target as crashed when a later incarnation answers', () => {
    const losses = new TargetLosses()
    losses.record(task, createLoss('x'), 0)
    losses.settle('x', 2_000, 10)
    assert.deepEqual(losses.listLosses(task).map(loss => loss.evidence), ['restarted'])
    assert.deepEqual(losses.settle('x', 2_000, 20), [])
  })

  it('count an incarnation once, however often and in whatever order its loss is reported', () => {
    const losses = new TargetLosses()
    losses.record(task, createLoss('x', { evidence: 'refused', isAlone: false }), 0)
    losses.merge({ [task]: [createLoss('x'), createLoss('y')] }, 0)
    assert.equal(losses.record(task, createLoss('x', { evidence: 'restarted' }), 0), true)
    assert.deepEqual(losses.listLosses(task).map(loss => [loss.target, loss.evidence, loss.isAlone]).sort(), [['x', 'restarted', false], ['y', 'silent', true]])
  })

  it('are kept for callers that send the job again, and then forgotten', () => {
    const losses = new TargetLosses()
    losses.record(task, createLoss('x'), 0)
    losses.expire(59_999)
    assert.equal(losses.isSuspect(task), true)
    losses.expire(60_000)
    assert.equal(losses.isSuspect(task), false)
  })
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type Candidate, chooseDomain, compareJobs, decideAdmission, decideCandidacy, type InstanceEntry, inferLossReason, selectJobsToShed, OrderTimeout, pickTarget, type QueuedJob, rankInstances, type Run, sortQueue, TargetClock, TargetHealth } from '../src/index.js'

function createJob (id: string, priority: number, objectiveAt: number, remainingMs = 100): QueuedJob {
  return { id, priority, objectiveAt, usefulUntil: objectiveAt * 3, acceptedAt: 0, remainingMs, started: false, waitingFraction: 1 }
}

describe('queue order in an overload', () => {
  it('sorts jobs that can be on time before late ones, regardless of priority', () => {
    const late = createJob('late', 0, 50)
    const useless = createJob('useless', 0, 10)
    const onTime = createJob('on-time', 2, 500)
    assert.deepEqual(sortQueue([useless, late, onTime], 0).map(job => job.id), ['on-time', 'late', 'useless'])
  })

  it('sorts late jobs of which only the last tasks wait first, and started jobs before other late ones', () => {
    const fresh = createJob('fresh', 0, 50)
    const begun = { ...createJob('begun', 2, 50), started: true, waitingFraction: 0.5 }
    const nearlyDone = { ...createJob('nearly-done', 0, 50), started: true, waitingFraction: 0.125 }
    const onTime = createJob('on-time', 0, 500)
    assert.deepEqual(sortQueue([fresh, begun, onTime, nearlyDone], 0).map(job => job.id), ['nearly-done', 'on-time', 'begun', 'fresh'])
  })

  it('sorts by the operator\'s priority, then by the objective', () => {
    assert.ok(compareJobs(createJob('a', 0, 900), createJob('b', 1, 200)) < 0)
    assert.ok(compareJobs(createJob('a', 1, 100), createJob('b', 1, 200)) < 0)
  })
})

describe('admission', () => {
  it('rejects a job whose answer would come too late, with a retry delay', () => {
    const decision = decideAdmission({ workAhead: 1_000_000, throughput: 1_000 }, 200, 500)
    assert.deepEqual(decision, { kind: 'reject', predictedMs: 1_200, retryAfterMs: 700 })
  })

  it('sheds jobs that wait too long behind more urgent ones, but none that has started', () => {
    const createJob = (id: string, usefulUntil: number, started = false): QueuedJob & { started: boolean } => ({ id, priority: 0, objectiveAt: 0, acceptedAt: 0, usefulUntil, remainingMs: 100, started, waitingFraction: 1 })
    const sorted = [createJob('urgent-1', 600), createJob('urgent-2', 600), createJob('begun', 100, true), createJob('early', 350), createJob('late', 900)]
    // Each job occupies the targets for 100 ms.
    assert.deepEqual(selectJobsToShed(sorted, () => 1_000, 10, 0).map(({ job, waitMs }) => [job.id, waitMs]), [['early', 300]])
  })

  it('admits a job that has to wait but ends in time to be of use', () => {
    assert.equal(decideAdmission({ workAhead: 200_000, throughput: 1_000 }, 200, 500).kind, 'admit')
  })
})

describe('placement', () => {
  const step = { count: 1, demand: { processors: 14_000, memoryMb: 64, accelerators: 0 }, estimateMs: 100, after: [] }
  const createCandidate = (id: string, free: number, slowness: number, labels: readonly string[] = []): Candidate => ({
    info: { id, address: id, service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 1_000, accelerators: 0 }, labels, revision: 1 },
    freeCapacity: { processors: free, memoryMb: 1_000, accelerators: 0 },
    slowness
  })

  it('prefers the fastest target with enough free capacity', () => {
    const picked = pickTarget([createCandidate('full', 1_000, 0.5), createCandidate('slow', 32_000, 2), createCandidate('fast', 32_000, 1)], 's', step, () => 0, 1)
    assert.equal(picked?.info.id, 'fast')
  })

  it('prefers the fullest of equally fast targets, so that large tasks still fit elsewhere', () => {
    const picked = pickTarget([createCandidate('empty', 32_000, 1), createCandidate('half', 16_000, 1)], 's', step, () => 0, 1)
    assert.equal(picked?.info.id, 'half')
  })

  it('respects the required label and the maximum number of tasks per target', () => {
    assert.equal(pickTarget([createCandidate('a', 32_000, 1)], 's', { ...step, requiredLabel: 'gpu' }, () => 0, 1), undefined)
    assert.equal(pickTarget([createCandidate('a', 32_000, 1)], 's', { ...step, maxPerTarget: 1 }, () => 1, 1), undefined)
  })

  it('prefers a target in the rack of the data', () => {
    const picked = pickTarget([createCandidate('far', 32_000, 1, ['r2']), createCandidate('near', 32_000, 1.3, ['r1'])], 's', { ...step, dataRack: 'r1' }, () => 0, 3)
    assert.equal(picked?.info.id, 'near')
  })
})

describe('domain choice', () => {
  const load = { freeProcessors: 100_000, usableProcessors: 200_000, waitMs: 0, queuedJobs: 0, largestFree: 32_000 }
  const need = { processors: 28_000, largestTask: 14_000 }

  it('chooses the home domain while it has capacity for the job', () => {
    assert.equal(chooseDomain([{ domain: 'b', load: { ...load, freeProcessors: 110_000 }, isHome: false }, { domain: 'a', load, isHome: true }], need)?.domain, 'a')
  })

  it('chooses another domain when the home domain has no free capacity', () => {
    assert.equal(chooseDomain([{ domain: 'a', load: { ...load, freeProcessors: 0, largestFree: 0 }, isHome: true }, { domain: 'b', load, isHome: false }], need)?.domain, 'b')
  })

  it('avoids a domain without usable targets', () => {
    assert.equal(chooseDomain([{ domain: 'a', load: { ...load, usableProcessors: 0, freeProcessors: 0 }, isHome: true }, { domain: 'b', load: { ...load, waitMs: 400, queuedJobs: 9, freeProcessors: 0 }, isHome: false }], need)?.domain, 'b')
  })
})

describe('candidates for a dispatcher', () => {
  const createEntry = (instance: string, power: number, startedMs = 0, domain = 'a'): InstanceEntry => ({ instance, incarnation: instance, domain, address: instance, power, startedMs })
  const strong = createEntry('strong', 1)
  const weak = createEntry('weak', 0.24)
  const inputs = { self: weak, domain: 'a', members: [weak, strong], lostMs: 150, isHolderUntried: false, successorRank: undefined, storeReachable: true, formerHolder: undefined }

  it('are ranked by power, then by the later start', () => {
    assert.deepEqual(rankInstances([weak, createEntry('older', 0.95, 1_000), createEntry('newer', 1, 9_000)]).map(entry => entry.instance), ['newer', 'older', 'weak'])
  })

  it('wait for stronger candidates, and claim when those do not claim in time', () => {
    assert.equal(decideCandidacy({ ...inputs, self: strong }), 'claim')
    assert.equal(decideCandidacy(inputs), 'wait')
    assert.equal(decideCandidacy({ ...inputs, lostMs: 400 }), 'claim')
  })

  it('wait until the first attempt to connect to the holder has ended', () => {
    assert.equal(decideCandidacy({ ...inputs, self: strong, isHolderUntried: true }), 'wait')
  })

  it('do not wait when an earlier process of their own instance was the holder', () => {
    assert.equal(decideCandidacy({ ...inputs, lostMs: 5, formerHolder: 'weak' }), 'claim')
    assert.equal(decideCandidacy({ ...inputs, lostMs: 5, formerHolder: 'strong' }), 'wait')
  })

  it('of another domain wait longer', () => {
    const foreign = createEntry('foreign', 4, 0, 'b')
    assert.equal(decideCandidacy({ ...inputs, self: foreign, lostMs: 1_500 }), 'wait')
    assert.equal(decideCandidacy({ ...inputs, self: foreign, lostMs: 2_500 }), 'claim')
  })

  it('take over without the store only if the dispatcher row names them as successors', () => {
    assert.equal(decideCandidacy({ ...inputs, storeReachable: false, lostMs: 5_000 }), 'wait')
    assert.equal(decideCandidacy({ ...inputs, storeReachable: false, lostMs: 5_000, successorRank: 1 }), 'take-over-without-store')
  })
})

describe('target health', () => {
  it('suspends a target after failures of different jobs, then allows one run at a time until a success', () => {
    const health = new TargetHealth()
    health.recordFailure(0, 'job-1')
    health.recordFailure(1, 'job-1')
    assert.equal(health.isStartAllowed(1, 0), true)
    health.recordFailure(2, 'job-2')
    assert.equal(health.isStartAllowed(3, 0), false)
    assert.equal(health.isStartAllowed(400, 0), true)
    assert.equal(health.isStartAllowed(400, 1), false)
    health.recordSuccess(1)
    assert.equal(health.isStartAllowed(401, 5), true)
  })
})

describe('order timeout', () => {
  it('is short for a target that answers quickly, and long before the first answer and for a slow target', () => {
    const quick = new OrderTimeout()
    assert.equal(quick.timeoutMs, 150)
    for (let count = 0; count < 20; count++) quick.record(2)
    assert.equal(quick.timeoutMs, 60)
    const slow = new OrderTimeout()
    for (let count = 0; count < 20; count++) slow.record(count % 2 === 0 ? 10 : 90)
    assert.equal(slow.timeoutMs, 150)
  })
})

describe('leases', () => {
  it('count as expired only when they have expired on the slowest possible clock', () => {
    const clock = new TargetClock()
    clock.recordReply(10_000, 1)
    clock.recordLeaseEnd(11_000)
    assert.equal(clock.haveAllLeasesExpired(1_010), false)
    assert.equal(clock.haveAllLeasesExpired(1_030), true)
  })
})

describe('a run that is missing from a view', () => {
  const run: Run = { task: 't', attempt: 1, name: undefined, demand: undefined, state: 'starting', sentAt: 100, acceptedAt: undefined, stopAcceptedAt: undefined, startDeadlineMs: 5_000, sends: 1, unanswered: true, unconfirmed: false, percent: 0, progressAt: 100, stopSentAt: 0 }

  it('may still start before its deadline', () => {
    assert.equal(inferLossReason(run, 4_900, 200), undefined)
  })

  it('has never started when its deadline has passed on the target\'s clock or a stop was accepted before the poll', () => {
    assert.equal(inferLossReason(run, 5_001, 200), 'never-started')
    assert.equal(inferLossReason({ ...run, stopAcceptedAt: 150 }, 4_900, 200), 'never-started')
  })

  it('is gone when the target had accepted it before the poll', () => {
    assert.equal(inferLossReason({ ...run, acceptedAt: 150 }, 4_900, 200), 'not-listed')
    assert.equal(inferLossReason({ ...run, acceptedAt: 250 }, 4_900, 200), undefined)
  })
})

// Measures the slopes that docs/CAPACITY.md is worked out from. Each line names a size, the
// measured values at several sizes, and the slope of a line through them.
// Run: npm run capacity
import { type Heartbeat, Membership, SeatDirectory } from '@sesamereel/coordination'
import { createDispatcherFixture, createConfiguration, createTargets, measureCpuMicros, measureHeapBytes, submitJobs } from './capacity-fixture.js'
import { fitLine } from './capacity-fit.js'

const mebibyte = 1_048_576

function printSlope (name: string, unit: string, points: ReadonlyArray<readonly [number, number]>): void {
  const { slope, intercept, r2 } = fitLine(points)
  const values = points.map(([size, value]) => `${size}: ${Math.round(value * 10) / 10}`).join(', ')
  console.log(`${name}: slope ${slope.toPrecision(3)} ${unit}, intercept ${intercept.toPrecision(3)}, r2 ${r2.toFixed(3)} (${values})`)
}

function measureEach (sizes: readonly number[], measure: (size: number) => number): ReadonlyArray<readonly [number, number]> {
  // The first run compiles the code and is not counted.
  measure(sizes[0]!)
  return sizes.map(size => [size, measure(size)] as const)
}

/** Heap that `create` leaves behind, in bytes. */
function measureGrowth (create: () => { readonly stop: () => void }): number {
  const before = measureHeapBytes()
  const made = create()
  const after = measureHeapBytes()
  made.stop()
  return after - before
}

function createHeartbeat (seat: number, seats: number, customers: number): Heartbeat {
  return {
    domain: 'gent-1',
    seat,
    generation: 1,
    incarnation: `k3j9x2ab${seat}`,
    peerAddress: `127.0.0.1:${20_000 + seat}`,
    callerAddress: `127.0.0.1:${30_000 + seat}`,
    state: 'live',
    configurationVersion: 7,
    topologyHash: 1,
    queuedByCustomer: Object.fromEntries(Array.from({ length: customers }, (_, i) => [`team-${i}`, 100 + i])),
    ejectedTargets: [],
    leavingTargets: [],
    holders: Object.fromEntries(Array.from({ length: seats }, (_, i) => [`gent-1.${i}`, { generation: 1, incarnation: `k3j9x2ab${i}` }]))
  }
}

function measureLists (): void {
  const sizes = [84, 336, 1_344]
  printSlope('lists, memory by customers', 'B/customer', measureEach(sizes, size => measureGrowth(() => {
    const { dispatcher } = createDispatcherFixture(90)
    dispatcher.applyConfiguration(createConfiguration(size, 1))
    return dispatcher
  })))
  printSlope('lists, processor time of one new version by customers', 'us/customer', measureEach(sizes, size => {
    const { dispatcher } = createDispatcherFixture(90)
    dispatcher.applyConfiguration(createConfiguration(size, 1))
    const versions = Array.from({ length: 50 }, (_, i) => createConfiguration(size, i + 2))
    const spent = measureCpuMicros(() => { for (const lists of versions) dispatcher.applyConfiguration(lists) })
    dispatcher.stop()
    return spent / versions.length
  }))
  printSlope('lists, JSON by customers', 'B/customer', sizes.map(size => [size, JSON.stringify(createConfiguration(size, 1)).length] as const))
}

function measureTargets (): void {
  const sizes = [30, 210, 840]
  printSlope('targets, memory by targets', 'B/target', measureEach(sizes, size => measureGrowth(() => {
    const { dispatcher } = createDispatcherFixture(6)
    dispatcher.applyTargets(createTargets(size))
    return dispatcher
  })))
  printSlope('targets, processor time of one list by targets', 'us/target', measureEach(sizes, size => {
    const { dispatcher } = createDispatcherFixture(6)
    const list = createTargets(size)
    const spent = measureCpuMicros(() => { for (let i = 0; i < 50; i++) dispatcher.applyTargets(list) })
    dispatcher.stop()
    return spent / 50
  }))
}

function measureJobs (): void {
  printSlope('open submissions, memory by jobs of one task', 'B/job', measureEach([500, 2_000, 8_000], size => measureGrowth(() => {
    const { dispatcher } = createDispatcherFixture()
    dispatcher.applyConfiguration(createConfiguration(1, 1))
    dispatcher.applyTargets(createTargets(1))
    submitJobs(dispatcher, size, 1)
    return dispatcher
  })))
  printSlope('open submissions, memory by tasks in jobs of 230', 'B/task', measureEach([2_300, 11_500, 46_000], size => measureGrowth(() => {
    const { dispatcher } = createDispatcherFixture()
    dispatcher.applyConfiguration(createConfiguration(1, 1))
    dispatcher.applyTargets(createTargets(1))
    submitJobs(dispatcher, size / 230, 230)
    return dispatcher
  })))
}

function measurePeers (): void {
  const sizes = [9, 30, 90]
  const self = { domain: 'gent-1', seat: 0 }
  printSlope('peers, memory by peers', 'B/peer', measureEach(sizes, size => measureGrowth(() => {
    const membership = new Membership(self, new SeatDirectory(0))
    for (let seat = 1; seat <= size; seat++) membership.observeHeartbeat(createHeartbeat(seat, size, 17), 1_000)
    return { stop: () => { membership.listPeers() } }
  })))
  printSlope('peers, processor time of one heartbeat by seats that it names', 'us/seat', measureEach(sizes, size => {
    const membership = new Membership(self, new SeatDirectory(0))
    const texts = Array.from({ length: 2_000 }, (_, i) => JSON.stringify(createHeartbeat(1 + i % size, size, 17)))
    const spent = measureCpuMicros(() => {
      for (const text of texts) {
        membership.observeHeartbeat(JSON.parse(text) as Heartbeat, 1_000)
        JSON.stringify(createHeartbeat(0, size, 17))
      }
    })
    return spent / texts.length
  }))
  printSlope('peers, JSON of one heartbeat by seats that it names', 'B/seat', sizes.map(size => [size, JSON.stringify(createHeartbeat(1, size, 17)).length] as const))
  printSlope('peers, JSON of one heartbeat by customers with queued tasks', 'B/customer', [0, 17, 84].map(size => [size, JSON.stringify(createHeartbeat(1, 9, size)).length] as const))
}

async function measureStarts (): Promise<void> {
  const points: Array<readonly [number, number]> = []
  for (const tasks of [23_000, 46_000, 92_000, 184_000]) {
    const { dispatcher, runner } = createDispatcherFixture()
    dispatcher.applyConfiguration(createConfiguration(1, 1))
    dispatcher.applyTargets(createTargets(210))
    const before = process.cpuUsage()
    let left = tasks
    while (left > 0) {
      submitJobs(dispatcher, 10, 230)
      left -= 2_300
      while (dispatcher.readStatus().jobs > 0) {
        await new Promise(resolve => { setImmediate(resolve) })
        runner.finishAll()
      }
    }
    const { user, system } = process.cpuUsage(before)
    dispatcher.stop()
    points.push([tasks, user + system])
  }
  printSlope('starts, processor time by tasks, without the network', 'us/start', points)
}

measureLists()
measureTargets()
measureJobs()
measurePeers()
await measureStarts()
console.log(`resident memory at the end: ${Math.round(process.memoryUsage().rss / mebibyte)} MiB`)

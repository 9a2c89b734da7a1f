// Measures how memory, processor time and message size grow with the size of a cluster; docs/CAPACITY.md is
// calculated from these slopes. Each output line names a size and gives the slope of the fitted line and the
// measured values at several sizes.
// Run: npm run capacity
import { type Heartbeat, Membership, SeatDirectory } from '@sesamereel/coordination'
import { createDispatcherFixture, createConfiguration, createTargets, measureCpuMicros, measureHeapBytes, submitJobs } from './capacity-fixture.js'
import { fitLine } from './capacity-fit.js'

const bytesPerMebibyte = 1_048_576

/** Fits a line to pairs of size and value and prints it with the values. */
function printSlope (name: string, unit: string, points: ReadonlyArray<readonly [number, number]>): void {
  const { slope, intercept, r2 } = fitLine(points)
  const values = points.map(([size, value]) => `${size}: ${Math.round(value * 10) / 10}`).join(', ')
  console.log(`${name}: slope ${slope.toPrecision(3)} ${unit}, intercept ${intercept.toPrecision(3)}, r2 ${r2.toFixed(3)} (${values})`)
}

/** Measures each size once, after a warm-up. */
function measureEach (sizes: readonly number[], measure: (size: number) => number): ReadonlyArray<readonly [number, number]> {
  // The first run is a warm-up, in which the code is compiled, and is not counted.
  measure(sizes[0]!)
  return sizes.map(size => [size, measure(size)] as const)
}

/** Measures the memory in bytes that the object made by `create` keeps in use. */
function measureGrowth (create: () => { readonly stop: () => void }): number {
  const before = measureHeapBytes()
  const created = create()
  const after = measureHeapBytes()
  created.stop()
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

function measureConfigurations (): void {
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
    const spentMicros = measureCpuMicros(() => { for (const configuration of versions) dispatcher.applyConfiguration(configuration) })
    dispatcher.stop()
    return spentMicros / versions.length
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
    const spentMicros = measureCpuMicros(() => { for (let i = 0; i < 50; i++) dispatcher.applyTargets(list) })
    dispatcher.stop()
    return spentMicros / 50
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
    const spentMicros = measureCpuMicros(() => {
      for (const text of texts) {
        membership.observeHeartbeat(JSON.parse(text) as Heartbeat, 1_000)
        JSON.stringify(createHeartbeat(0, size, 17))
      }
    })
    return spentMicros / texts.length
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
    let remainingTasks = tasks
    while (remainingTasks > 0) {
      submitJobs(dispatcher, 10, 230)
      remainingTasks -= 2_300
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

measureConfigurations()
measureTargets()
measureJobs()
measurePeers()
await measureStarts()
console.log(`resident memory at the end: ${Math.round(process.memoryUsage().rss / bytesPerMebibyte)} MiB`)

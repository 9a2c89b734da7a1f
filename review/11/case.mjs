import { createId, createJob, findParallelRuns, pause, runCase } from '../lib-3/deployment.mjs'

const retransmitMs = 1_300
/** The late orders arrive within this time after the start of their worker. */
const arrivalMs = 250
const tasks = 16

await runCase({ a: { instances: 2, workers: 4 }, b: { instances: 2, workers: 4 } }, new URL('record.txt', import.meta.url), async (deployment, hasTrouble) => {
  const { instances, workers } = deployment
  const id = createId()
  const job = createJob(tasks, 2_500, 2_000)
  const late = []
  let isLate = hasTrouble
  let orders = 0
  let down
  for (const worker of workers) {
    worker.intercept = ({ path, order }) => {
      if (!isLate || path !== '/api/run-start') return undefined
      // Every other order to the first worker gets no answer; the others are carried out at once.
      down ??= worker
      if (worker !== down || orders++ % 2 === 0) return undefined
      deployment.log('order-without-answer', { worker: worker.id, task: order.task, attempt: order.attempt })
      return carryOut => { late.push({ task: order.task, carryOut, at: deployment.now }) }
    }
  }
  const first = deployment.submit(instances[0], id, job)
  if (hasTrouble) {
    for (let waited = 0; late.length === 0 && waited < 5_000; waited += 5) await pause(5)
    // Orders without an answer are sent again, and take the connections to the worker meanwhile.
    await pause(400)
    isLate = false
    deployment.log('worker-down', { worker: down.id })
    down.crash()
    await pause(200)
    for (const instance of instances) deployment.signal(instance, 'SIGKILL')
    await Promise.all(instances.map(async ({ ended }) => { await ended }))
    for (const instance of instances) deployment.startInstance(instance)
    await first
    // The connection is broken: the job is sent again, to another node.
    await pause(retransmitMs)
    const again = deployment.submit(instances[1], id, job)
    const countOthers = () => deployment.find('run-starts', ({ worker, at }) => worker !== down.id && at * 1_000 > late.at(-1).at).length
    for (let waited = 0; countOthers() < tasks && waited < 5_000; waited += 5) await pause(5)
    await pause(Math.max(300, late.at(-1).at + 2_050 - deployment.now))
    await down.start()
    deployment.log('worker-up', { worker: down.id })
    const arrivals = late.map(async ({ task, carryOut, at }) => {
      await pause(Math.random() * arrivalMs)
      deployment.log('late-order', { worker: down.id, task, ageMs: Math.round(deployment.now - at) })
      carryOut()
    })
    await Promise.all([...arrivals, again])
  } else {
    await first
  }
  await pause(500)
  const pairs = findParallelRuns(deployment)
  const [pair] = pairs
  return pair === undefined ? undefined : `TWICE: ${pairs.length} of ${tasks} tasks ran on two workers at once (${late.length} orders were late), for example ${pair[0].task} on ${pair[0].worker} from ${pair[0].at} s to ${pair[0].until} s and on ${pair[1].worker} from ${pair[1].at} s to ${pair[1].until} s`
})

import { createId, createJob, pause, queuePath, runCase } from '../lib-3/deployment.mjs'

const contactMs = 3_000

await runCase({ a: { instances: 2, workers: 2 }, b: { instances: 2, workers: 2 } }, new URL('record.txt', import.meta.url), async (deployment, hasTrouble) => {
  const { instances } = deployment
  const id = createId()
  const job = createJob(2, 2_500)
  const answer = deployment.submit(instances[0], id, job)
  await pause(500)
  const cancelled = await deployment.call(instances[2], 'DELETE', `${queuePath}${id}`)
  if (cancelled.status !== 200) throw new Error(`the cancellation was answered ${cancelled.status}`)
  const acknowledgedAt = deployment.now
  const first = await answer
  if (first.status !== 200) throw new Error(`the job was answered ${first.status}`)
  await pause(300)
  if (hasTrouble) {
    for (const instance of instances) deployment.signal(instance, 'SIGKILL')
    await Promise.all(instances.map(async ({ ended }) => { await ended }))
    await pause(500)
    for (const instance of instances) deployment.startInstance(instance)
    await deployment.waitUntilReady(instances)
  }
  // All machines are in touch again.
  await pause(contactMs + 500)
  deployment.log('request-arrives-again', { id, secondsAfterAnswer: Math.round(deployment.now - acknowledgedAt) / 1_000 })
  await deployment.submit(instances[1], id, job)
  const starts = deployment.find('run-starts', ({ task, at }) => task.startsWith(`${id}.`) && at * 1_000 > acknowledgedAt + 3_000)
  return starts.length === 0 ? undefined : `UNASKED: ${starts.length} tasks of job ${id} started ${starts.map(({ at }) => (at - acknowledgedAt / 1_000).toFixed(2)).join(' and ')} s after its cancellation was acknowledged`
})

import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Link } from './link.mjs'
import { Store } from './store.mjs'
import { Worker } from './worker.mjs'

const repository = new URL('../../', import.meta.url).pathname
const contactMs = 3_000

export const queueHost = 'queue.example'
export const queuePath = '/cert/'
const service = 'register'

/** A small deployment on loopback addresses: the deploy file's program as separate processes, and stand-ins for all others. */
export class Deployment {
  #record = []
  #startedAt = performance.now()
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'))
  #network = `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`
  #recordFile
  store = new Store()
  instances = []
  workers = []

  /** Links between machines, and from machines to workers, by the addresses of both ends; without links machines are connected directly. */
  #links = new Map()
  #views = new Map()

  /**
   * @param layout - number of instances and of workers in each zone, by zone
   * @param hasLinks - whether connections between machines, and from machines to workers, run through proxies that can be cut
   */
  constructor (layout, recordFile, { hasLinks = false, worker = {}, guards = true } = {}) {
    this.layout = layout
    this.hasLinks = hasLinks
    this.workerOptions = worker
    this.guards = guards
    this.#recordFile = recordFile
  }

  get now () { return performance.now() - this.#startedAt }

  /** Adds a line to the record: what was sent, answered and run, with the time in seconds. */
  log (event, fields = {}) {
    const entry = { at: Math.round(this.now) / 1_000, event, ...fields }
    this.#record.push(entry)
    return entry
  }

  find (event, condition = () => true) {
    return this.#record.filter(entry => entry.event === event && condition(entry))
  }

  /** @returns the starts of a job's tasks */
  findStarts (jobId) {
    return this.find('run-starts', ({ task }) => task.startsWith(`${jobId}.`))
  }

  /** Waits until tasks of a job have started. */
  async waitForStart (jobId, count = 1) {
    const until = this.now + 10_000
    while (this.findStarts(jobId).length < count) {
      if (this.now > until) throw new Error('the job has not started')
      await pause(5)
    }
  }

  async start () {
    this.storeAddress = await this.store.listen(`${this.#network}.1`)
    this.setConfiguration(11)
    let host = 10
    for (const [zone, { instances, workers }] of Object.entries(this.layout)) {
      for (let index = 1; index <= workers; index++) {
        const worker = new Worker({ id: `w-${zone}-${index}`, host: `${this.#network}.${100 + host++}`, service, zone, store: this.store, record: (event, fields) => { this.log(event, fields) }, guards: this.guards, ...(typeof this.workerOptions === 'function' ? this.workerOptions(zone, index) : this.workerOptions) })
        await worker.start()
        this.workers.push(worker)
      }
      for (let index = 1; index <= instances; index++) this.instances.push({ name: `edge-${zone}-${index}`, zone, ip: `${this.#network}.${host++}`, process: undefined })
    }
    for (const instance of this.instances) await this.#connectStore(instance)
    for (const instance of this.instances) this.startInstance(instance)
    await this.waitUntilReady(this.instances)
  }

  /**
   * Gives a machine its own address of the store. With links, that address names for each other machine and each worker
   * the proxy of the link to it, as a translation of addresses in the network would.
   */
  async #connectStore (instance) {
    instance.storeAddress = this.storeAddress
    if (!this.hasLinks) return
    const others = [...this.instances.filter(other => other !== instance).map(other => ({ name: other.name, address: `${other.ip}:7720` })), ...this.workers.map(worker => ({ name: worker.id, address: `${worker.host}:${worker.port}` }))]
    const proxies = new Map()
    for (const { name, address } of others) {
      const link = new Link(address)
      proxies.set(address, await link.listen(`${this.#network}.2`))
      this.#links.set(`${instance.name} ${name}`, link)
    }
    const real = new Map([...proxies].map(([address, proxy]) => [proxy, address]))
    const replace = map => text => text.replace(/127\.\d+\.\d+\.\d+:\d+/g, address => map.get(address) ?? address)
    const view = { read: replace(proxies), write: replace(real), isDown: false }
    this.#views.set(instance.name, view)
    instance.storeAddress = await this.store.listen(`${this.#network}.1`, view)
  }

  /** Cuts or heals the links between two groups of machines and workers, by their names. */
  setCut (names, others, isCut, resets = false) {
    this.log(isCut ? 'cut' : 'healed', { between: names.join(' '), and: others.join(' ') })
    for (const [ends, link] of this.#links) {
      const [from, to] = ends.split(' ')
      if ((names.includes(from) && others.includes(to)) || (others.includes(from) && names.includes(to))) link.setCut(isCut, resets, this.workers.some(({ id }) => id === to))
    }
  }

  /** Lets the store refuse a machine, or serve it again. */
  setRefused (instance, isRefused) {
    this.log(isRefused ? 'store-refuses' : 'store-serves', { instance: instance.name })
    this.#views.get(instance.name).isDown = isRefused
  }

  setConfiguration (version, routes = [{ host: queueHost, path_prefix: queuePath, service, type: 'non_idempotent', timeout_ms: 4_000, target_latency_ms: 60, slack_factor: 1.6, priority: 0, max_attempts: 3 }]) {
    this.store.put('op', 'config', { version, routes, services: [{ name: service, health_path: '/health', max_conns: 64, protocol: 'http1', tls: false, enforce_capacity: this.guards }], limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 } })
    this.log('configuration', { version })
  }

  startInstance (instance) {
    const file = join(this.#folder, `${instance.name}.json`)
    const ip = instance.ip
    writeFileSync(file, JSON.stringify({
      node: instance.name,
      role: 'instance',
      class: 'edge',
      serves: ['edge'],
      ip,
      zone: instance.zone,
      region: 'r',
      zones: Object.fromEntries(Object.keys(this.layout).map(zone => [zone, 'r'])),
      listen_addrs: { front: `${ip}:8161`, ready: `${ip}:8167` },
      port_range: [7720, 7735],
      seeds: [],
      bootstrap: instance.process === undefined,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100, link_mbps: 1_000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1_500,
      bounds: { contact_ms: contactMs, ack_ms: 4_000, drain_ms: 2_000, grace_s: 6, config_ms: 2_000, max_hold_ms: 1_000, stop_timeout_ms: 50, cancel_ms: 3_000, remote_factor: 1.5, retransmit_ms: 1_300 },
      commands: 'invoke',
      platform: { address: instance.storeAddress, form: 'table', writes_per_s: 800, reads_per_s: 2_000, tx_ms: 5 }
    }))
    const [program, ...options] = readCommand()
    const output = openSync(join(this.#folder, `${instance.name}.log`), 'a')
    instance.process = spawn(program, options, { cwd: repository, env: { PATH: process.env.PATH, HOME: process.env.HOME, SESAMEREEL_NODE_FILE: file }, stdio: ['ignore', output, output] })
    instance.ended = new Promise(resolve => { instance.process.once('exit', resolve) })
    this.log('instance-started', { instance: instance.name })
  }

  signal (instance, signal) {
    this.log('signal', { instance: instance.name, signal })
    instance.process.kill(signal)
  }

  async waitUntilReady (instances, timeoutMs = 20_000) {
    const until = this.now + timeoutMs
    for (const instance of instances) {
      while ((await this.call(instance, 'GET', '/api/ready', { port: 8_167, isRecorded: false })).status !== 200) {
        if (this.now > until) throw new Error(`${instance.name} is not ready`)
        await pause(100)
      }
    }
  }

  /** Sends a request to an instance; the result has the status, or none when the connection ended without an answer. */
  async call (instance, method, path, { body, host = queueHost, port = 8_161, timeoutMs = 4_000, isRecorded = true } = {}) {
    if (isRecorded) this.log('sent', { method, path, instance: instance.name })
    const result = await new Promise(resolve => {
      const text = body === undefined ? undefined : JSON.stringify(body)
      const request = sendRequest({ host: instance.ip, port, method, path, agent: false, headers: { host, 'timeout-remaining': String(timeoutMs), ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) } }, response => {
        const chunks = []
        response.on('data', chunk => { chunks.push(chunk) })
        response.on('end', () => { resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() }) })
        response.on('error', error => { resolve({ error: error.code ?? error.message }) })
      })
      request.on('error', error => { resolve({ error: error.code ?? error.message }) })
      request.setTimeout(timeoutMs, () => { request.destroy(new Error('no answer in time')) })
      request.end(text)
    })
    if (isRecorded) this.log('answered', { method, path, instance: instance.name, ...result })
    return result
  }

  async submit (instance, id, job, timeoutMs) {
    return await this.call(instance, 'POST', `${queuePath}${id}`, { body: job, timeoutMs })
  }

  /** @returns the name of the instance that the row of a zone's dispatcher names */
  findDispatcher (zone) {
    return this.store.get('sesamereel', `dispatcher/${zone}`)?.instance
  }

  /** Waits until the row of a zone's dispatcher names an instance of that zone; instances may be ready before. */
  async waitForDispatcher (zone) {
    const until = this.now + 10_000
    for (;;) {
      const found = this.instances.find(instance => instance.zone === zone && instance.name === this.findDispatcher(zone))
      if (found !== undefined) return found
      if (this.now > until) throw new Error(`no instance of zone ${zone} dispatches there`)
      await pause(20)
    }
  }

  /** Ends all processes and stand-ins, and writes the record. */
  async close () {
    for (const { process: child } of this.instances) if (child !== undefined && child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(this.instances.map(async ({ ended }) => { await ended }))
    for (const worker of this.workers) if (worker.isUp) worker.crash()
    this.store.close()
    for (const link of this.#links.values()) link.close()
    writeFileSync(this.#recordFile, this.#record.map(entry => `${JSON.stringify(entry)}\n`).join(''))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true })
    else console.log(this.#folder)
  }
}

/** @returns a best-effort job of one step */
export function createJob (count, workMs, cpu = 14_000, step = {}) {
  return { spec: JSON.stringify({ work: workMs, cpu }), best_effort: true, phases: [{ count, cpu, mem_mb: 64, estimate_ms: workMs, ...step }] }
}

/** Draws a job id: 16 hexadecimal digits. */
export function createId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}

export async function pause (ms) {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}

/** Lists pairs of runs of one task that existed at the same time, from the record. */
export function findParallelRuns (deployment) {
  const runs = deployment.find('run-starts').map(start => {
    const end = deployment.find('run-ends', ({ worker, life, task, attempt, at }) => worker === start.worker && life === start.life && task === start.task && attempt === start.attempt && at >= start.at)[0]
    return { ...start, until: end?.at ?? Infinity }
  })
  return runs.flatMap((run, index) => runs.slice(index + 1).filter(other => other.task === run.task && other.at < run.until && run.at < other.until).map(other => [run, other]))
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase (layout, recordFile, play, options) {
  const deployment = new Deployment(layout, recordFile, options)
  const hasTrouble = process.env.TROUBLE !== '0'
  // Nothing goes on beyond the longest time of a case.
  setTimeout(() => { deployment.close().finally(() => { process.exit(2) }) }, 100_000).unref()
  const giveUp = () => { deployment.close().finally(() => { process.exit(2) }) }
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, giveUp)
  // By itself Node.js would exit with 1, which says that the rule was broken, and leave the processes behind.
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, error => {
      console.log(`the case could not run: ${error.message}`)
      giveUp()
    })
  }
  let code = 2
  try {
    await deployment.start()
    const broken = await play(deployment, hasTrouble)
    deployment.log('verdict', { trouble: hasTrouble, broken })
    console.log(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`)
    code = broken === undefined ? 0 : 1
  } catch (error) {
    deployment.log('not-run', { error: error.stack })
    console.log(`the case could not run: ${error.message}`)
  } finally {
    await deployment.close()
  }
  process.exit(code)
}

/** @returns the command of the only role in the deploy file */
function readCommand () {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
  return /^run = "(.*)"$/m.exec(text)[1].split(' ')
}

// Stand-in for a worker, as PROTOCOL.md describes it. The spec of a task is a JSON text with its run time: {"ms":500}.
import { createServer } from 'node:http'
import { once } from 'node:events'

const heartbeatMs = 1_500
const maxHoldMs = 1_000
const maxWaitMs = 2_000
const maxListedEnds = 500
/** Time in milliseconds that a stop takes. */
const stopMs = 5

export class Worker {
  /** Called with each start that the worker has carried out. */
  onStart = () => {}
  #options
  #record
  #server
  #timers = []
  #born = Date.now()
  #startedAt = performance.now()
  #fence = 0
  #deadline = 0
  #runs = new Map()
  #ends = []
  #lastEnd = 0
  /** Highest attempt of each task that was stopped or has ended here. */
  #refused = new Map()
  #waiters = new Set()
  #seq = 0
  #isUp = true
  state = 'ready'
  /** Delay in milliseconds with which start orders are carried out, without an answer; undefined, or a function that returns undefined, to answer them at once. */
  lateOrderMs

  /**
   * @param options - id, service, zone, labels, capacity, guards, store and host
   * @param record - receives what the worker does
   */
  constructor (options, record) {
    this.#options = options
    this.#record = record
  }

  get id () { return this.#options.id }
  get running () { return [...this.#runs.values()] }

  async start () {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(error => { response.destroy(error) }) })
    this.#server.keepAliveTimeout = 120_000
    this.#server.listen(this.address === undefined ? 0 : Number(this.address.split(':')[1]), this.#options.host)
    await once(this.#server, 'listening')
    this.address = `${this.#options.host}:${this.#server.address().port}`
    this.writeEntry()
    this.#timers.push(setInterval(() => { this.writeEntry() }, heartbeatMs), setInterval(() => { this.#expire() }, 5))
  }

  /** @returns the entry that the worker writes into the store */
  describe () {
    const { service, zone, labels = [], capacity } = this.#options
    return { service, address: this.address, zone, version: 'v1', slots: 8, state: this.state, cold_ms: 0, capacity, labels, clock_ms: this.#clock(), seq: this.#seq, born: this.#born }
  }

  writeEntry () {
    if (this.#options.store.isDown) return
    this.#seq++
    this.#options.store.put('servers', this.id, JSON.stringify(this.describe()))
  }

  /** Reports `draining`; the return is the store's acknowledgement. */
  drain () {
    this.state = 'draining'
    this.writeEntry()
  }

  close () {
    this.#isUp = false
    for (const timer of this.#timers.splice(0)) clearInterval(timer)
    for (const run of this.#runs.values()) clearTimeout(run.timer)
    this.#server?.closeAllConnections()
    this.#server?.close()
  }

  /** Crashes: all runs end, and the host refuses connections. */
  crash () {
    this.close()
    for (const run of this.running) this.#record('end', { worker: this.id, task: run.task, attempt: run.attempt, how: 'crashed' })
    this.#runs.clear()
    this.#record('worker-crashes', { worker: this.id })
  }

  /** Starts again under the same id and address, as another kind if options are given. It knows nothing of before. */
  async restart (options = {}) {
    this.#options = { ...this.#options, ...options }
    this.#isUp = true
    this.#born = Date.now()
    this.#startedAt = performance.now()
    this.#fence = 0
    this.#deadline = 0
    this.#ends = []
    this.#lastEnd = 0
    this.#refused.clear()
    this.#seq = 0
    this.#record('worker-restarts', { worker: this.id, capacity: this.#options.capacity, labels: this.#options.labels })
    await this.start()
  }

  get capacity () { return this.#options.capacity }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const expected = request.headers['expected-instance']
    if (expected !== undefined && expected !== this.id) return this.#respond(response, 421, {})
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const delayMs = request.url === '/api/run-start' ? this.lateOrderMs?.() : undefined
    if (delayMs !== undefined) return this.#delayOrder(body, delayMs)
    this.#expire()
    const { fence = 0 } = body
    if (fence < this.#fence) return this.#respond(response, 409, { reason: 'fence' })
    this.#fence = fence
    if (request.url === '/api/run-start') this.#startRun(body, response)
    else if (request.url === '/api/run-stop') this.#stopRun(body, response)
    else if (request.url === '/api/hold') await this.#hold(body, response)
    else this.#respond(response, 404, {})
  }

  /** Leaves an order unanswered. It arrives later, at whatever incarnation is up then. */
  #delayOrder (body, delayMs) {
    this.#record('order-delayed', { worker: this.id, task: body.task, attempt: body.attempt, delayMs: Math.round(delayMs) })
    setTimeout(() => {
      if (!this.#isUp) return
      this.#expire()
      const isFenced = body.fence < this.#fence
      this.#record('order-arrives', { worker: this.id, task: body.task, attempt: body.attempt, isFenced })
      if (isFenced) return
      this.#fence = body.fence
      this.#startRun(body, undefined)
    }, delayMs)
  }

  #startRun ({ task, attempt, spec, deadline_ms: deadline }, response) {
    if (this.#runs.has(formatRun(task, attempt))) return this.#respond(response, 200, {})
    if (this.#clock() > deadline) return this.#respond(response, 409, { reason: 'late' })
    this.#extend(deadline)
    if (attempt <= (this.#refused.get(task) ?? 0)) return this.#respond(response, 409, { reason: 'old' })
    const { ms } = JSON.parse(spec)
    const run = { task, attempt, spec, startedAt: performance.now(), ms, timer: setTimeout(() => { this.#end(run, 'done') }, ms) }
    this.#runs.set(formatRun(task, attempt), run)
    this.#record('start', { worker: this.id, service: this.#options.service, state: this.state, task, attempt, fence: this.#fence })
    this.onStart(run)
    this.#respond(response, 200, {})
  }

  #stopRun ({ task, attempt }, response) {
    this.#refused.set(task, Math.max(attempt, this.#refused.get(task) ?? 0))
    const run = this.#runs.get(formatRun(task, attempt))
    if (run !== undefined) setTimeout(() => { this.#end(run, 'stopped') }, stopMs)
    this.#respond(response, 200, {})
  }

  async #hold ({ deadline_ms: deadline, last_seen: lastSeen, wait_ms: waitMs = 0 }, response) {
    if (deadline !== undefined) this.#extend(deadline)
    this.#ends = this.#ends.filter(([number]) => number > lastSeen)
    if (this.#ends.length === 0) await this.#waitForEnd(Math.min(maxWaitMs, waitMs))
    this.#expire()
    const running = this.running.map(run => [run.task, run.attempt, '', Math.min(99, Math.floor(100 * (performance.now() - run.startedAt) / run.ms)), 0])
    this.#respond(response, 200, { running, ended: this.#ends.slice(0, maxListedEnds) })
  }

  #extend (deadline) { this.#deadline = Math.max(this.#deadline, Math.min(deadline, this.#clock() + maxHoldMs)) }

  #expire () {
    if (this.#runs.size === 0 || this.#clock() <= this.#deadline) return
    for (const run of this.running) this.#end(run, 'lapsed')
  }

  #end (run, how) {
    if (!this.#isUp || !this.#runs.delete(formatRun(run.task, run.attempt))) return
    clearTimeout(run.timer)
    this.#refused.set(run.task, Math.max(run.attempt, this.#refused.get(run.task) ?? 0))
    this.#ends.push([++this.#lastEnd, run.task, run.attempt, how, ''])
    this.#record('end', { worker: this.id, task: run.task, attempt: run.attempt, how })
    for (const wake of [...this.#waiters]) wake()
  }

  async #waitForEnd (ms) {
    if (ms <= 0) return
    await new Promise(resolve => {
      const wake = () => { clearTimeout(timer); this.#waiters.delete(wake); resolve() }
      const timer = setTimeout(wake, ms)
      this.#waiters.add(wake)
    })
  }

  #clock () { return Math.round(performance.now() - this.#startedAt) }

  #respond (response, status, body) {
    if (response === undefined) return
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ ...body, clock_ms: this.#clock(), born: this.#born }))
  }
}

function formatRun (task, attempt) { return `${task}#${attempt}` }

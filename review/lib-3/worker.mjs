import { createServer } from 'node:http'

const maxHoldMs = 1_000
const stopMs = 10
const heartbeatMs = 1_500

/**
 * Stand-in for a worker, by the page on running tasks: fences, attempts, leases on its own clock, the lists of runs and ends,
 * and lives under one id. A task's work in milliseconds is `work` of the JSON in its `spec`, or the entry of that list for its step.
 */
export class Worker {
  #server
  #timers = []
  #waiting = new Set()
  /** Decides what becomes of an order: undefined to carry it out now, or a function that is called with how to carry it out later. */
  intercept = () => undefined

  /** @param record - called with each start and end of a run */
  constructor ({ id, host, service, zone, store, record, capacity = { cpu: 32_000, mem_mb: 131_072 }, labels = ['kind-a', 'r0-0'], guards = true }) {
    Object.assign(this, { id, host, service, zone, store, record, capacity, labels, guards, isUp: false, seq: 0, lives: 0 })
  }

  /** Begins a life: nothing of an earlier one is known. */
  async start () {
    this.lives++
    Object.assign(this, { born: Date.now(), startedAt: performance.now(), fence: 0, leaseUntil: 0, runs: new Map(), barred: new Map(), ended: [], endCount: 0, seq: 0 })
    this.#server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })
    await new Promise(resolve => { this.#server.listen(this.port ?? 0, this.host, resolve) })
    this.port = this.#server.address().port
    this.isUp = true
    this.#writeEntry('ready')
    this.#timers = [setInterval(() => { this.#advance() }, 2), setInterval(() => { this.#writeEntry('ready') }, heartbeatMs)]
  }

  /** Ends a life without notice; connections are refused until the next one. */
  crash () {
    this.isUp = false
    for (const timer of this.#timers) clearInterval(timer)
    for (const { task, attempt } of this.runs.values()) this.record('run-ends', { worker: this.id, life: this.lives, task, attempt, how: 'crash' })
    this.runs.clear()
    this.#waiting.clear()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #writeEntry (state) {
    this.seq++
    this.store.put('servers', this.id, { service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: '1', slots: 8, state, cold_ms: 0, seq: this.seq, born: this.born, capacity: { gpu: 0, ...this.capacity }, labels: this.labels })
  }

  #readClock () {
    return Math.floor(performance.now() - this.startedAt)
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const order = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    const call = { path: request.url, order, expected: request.headers['expected-instance'] }
    const later = this.intercept(call)
    // The caller gets no response; the order is carried out by the life that is up then.
    if (later !== undefined) later(() => { if (this.isUp) this.#carryOut(call, () => {}, true) })
    else this.#carryOut(call, (status, body) => { if (!response.destroyed) response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)) }, false)
  }

  #carryOut ({ path, order, expected }, reply, isLate) {
    const answer = (status, body = {}) => { reply(status, { clock_ms: this.#readClock(), born: this.born, ...body }) }
    if (expected !== undefined && expected !== this.id) { answer(421); return }
    const fence = order.fence ?? 0
    if (fence < this.fence) {
      if (isLate) this.record('late-order-refused', { worker: this.id, life: this.lives, task: order.task, reason: 'fence' })
      answer(409, { reason: 'fence' })
      return
    }
    this.fence = fence
    if (path === '/api/run-start') this.#start(order, answer, isLate)
    else if (path === '/api/run-stop') this.#stop(order, answer)
    else if (path === '/api/hold') this.#hold(order, answer)
    else answer(404)
  }

  #start ({ task, attempt, spec, deadline_ms: deadline }, answer, isLate) {
    const refuse = reason => {
      if (isLate) this.record('late-order-refused', { worker: this.id, life: this.lives, task, reason })
      answer(409, { reason })
    }
    if (this.runs.has(`${task}#${attempt}`)) { answer(200); return }
    if (deadline <= this.#readClock()) { refuse('late'); return }
    this.#extend(deadline)
    if (attempt <= (this.barred.get(task) ?? 0)) { refuse('old'); return }
    const { work: works, cpu } = JSON.parse(spec)
    const work = Array.isArray(works) ? works[Math.min(Number(task.split('.')[2]), works.length - 1)] : works
    const used = [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0)
    if (this.guards && used + cpu > this.capacity.cpu) { refuse('room'); return }
    this.runs.set(`${task}#${attempt}`, { task, attempt, work, cpu, beganAt: performance.now(), stopAt: Infinity })
    this.record('run-starts', { worker: this.id, life: this.lives, task, attempt, spec, late: isLate })
    answer(200)
  }

  #stop ({ task, attempt }, answer) {
    this.barred.set(task, Math.max(attempt, this.barred.get(task) ?? 0))
    const run = this.runs.get(`${task}#${attempt}`)
    if (run !== undefined) run.stopAt = Math.min(run.stopAt, performance.now() + stopMs)
    answer(200)
  }

  #hold ({ last_seen: lastSeen = 0, deadline_ms: deadline, wait_ms: waitMs = 0 }, answer) {
    this.ended = this.ended.filter(([number]) => number > lastSeen)
    if (deadline !== undefined) this.#extend(deadline)
    const finish = () => {
      this.#waiting.delete(finish)
      clearTimeout(timer)
      const now = performance.now()
      answer(200, { running: [...this.runs.values()].map(run => [run.task, run.attempt, '', Math.min(99, Math.floor(100 * (now - run.beganAt) / run.work)), run.cpu]), ended: this.ended.slice(0, 500) })
    }
    const timer = setTimeout(() => { if (this.#waiting.has(finish)) finish() }, Math.min(2_000, waitMs))
    this.#waiting.add(finish)
    if (this.ended.length > 0 || waitMs === 0) finish()
  }

  #extend (deadline) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.#readClock() + maxHoldMs))
  }

  #advance () {
    const now = performance.now()
    const hasLapsed = this.#readClock() > this.leaseUntil
    for (const run of [...this.runs.values()]) {
      if (hasLapsed) this.#end(run, 'lapsed')
      else if (now >= run.stopAt) this.#end(run, 'stopped')
      else if (now - run.beganAt >= run.work) this.#end(run, 'done')
    }
  }

  #end (run, how) {
    const { task, attempt } = run
    this.runs.delete(`${task}#${attempt}`)
    this.barred.set(task, Math.max(attempt, this.barred.get(task) ?? 0))
    this.endCount++
    this.ended.push([this.endCount, task, attempt, how, ''])
    this.record('run-ends', { worker: this.id, life: this.lives, task, attempt, how })
    for (const finish of [...this.#waiting]) finish()
  }
}

import { createServer } from 'node:http'
import { once } from 'node:events'
import { readBody, reply } from './http.mjs'

/** Bounds of the small deployments, in milliseconds. */
const maxHoldMs = 1_000
const maxWaitMs = 2_000
const heartbeatMs = 1_500
const stopMs = 20

const maxEnds = 500

/**
 * A worker as the platform's pages describe it: it starts and stops runs on orders, holds leases, and registers
 * itself in the store. `crash` ends a life; `start` begins the next one, under the same id and at the same port.
 */
export class Worker {
  #options
  #store
  #record
  #port = 0
  #server
  #sockets = new Set()
  #heartbeat
  #life
  #seq = 0
  /** What the entry says: `ready` or `draining`. */
  state = 'ready'

  /**
   * @param options - `id`, `service`, `zone`, `capacity`, `labels`, and `guards` unless it starts whatever it is told
   * @param record - receives what the worker has been told and has done
   */
  constructor (options, store, record) {
    this.#options = { guards: true, ...options }
    this.#store = store
    this.#record = record
  }

  get id () { return this.#options.id }
  get address () { return `127.0.0.1:${this.#port}` }
  /** Address that the entry states: by default that at which the worker listens. */
  advertised
  get isUp () { return this.#life !== undefined }
  get runs () { return [...this.#life?.runs.values() ?? []] }

  /** Begins a life, with other options if they are given. The worker registers itself as soon as it listens. */
  async start (changes = {}) {
    this.#options = { ...this.#options, ...changes }
    const life = { born: Date.now(), startedAt: performance.now(), fence: 0, holdUntil: 0, runs: new Map(), closed: new Map(), ends: [], endCount: 0, waiting: new Set() }
    this.#life = life
    this.#seq = 0
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => { response.destroy() }) })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.once('close', () => { this.#sockets.delete(socket) })
    })
    this.#server.listen(this.#port, '127.0.0.1')
    await once(this.#server, 'listening')
    this.#port = this.#server.address().port
    this.#record({ what: 'worker-up', worker: this.id, born: life.born, labels: this.#options.labels, capacity: this.#options.capacity })
    this.register()
    this.#heartbeat = setInterval(() => { this.register() }, heartbeatMs)
  }

  /** Writes the worker's entry. */
  register () {
    const { service, zone, capacity, labels } = this.#options
    this.#seq++
    this.#store.put('servers', this.id, { service, address: this.advertised ?? this.address, zone, version: 'v1', slots: 8, state: this.state, cold_ms: 0, capacity, labels, clock_ms: this.#clock(), seq: this.#seq, born: this.#life.born })
  }

  /** Ends the life: everything that runs ends, and nothing is written to the store. */
  crash () {
    const life = this.#life
    if (life === undefined) return
    this.#life = undefined
    clearInterval(this.#heartbeat)
    clearTimeout(life.lapseTimer)
    for (const run of life.runs.values()) {
      clearTimeout(run.timer)
      this.#recordEnd(run, 'crashed')
    }
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#record({ what: 'worker-down', worker: this.id })
  }

  #clock () {
    return Math.floor(performance.now() - this.#life.startedAt)
  }

  async #serve (request, response) {
    const life = this.#life
    const text = await readBody(request)
    if (life === undefined || life !== this.#life) return
    if (request.headers['expected-instance'] !== undefined && request.headers['expected-instance'] !== this.id) {
      reply(response, 421, this.#describe())
      return
    }
    const order = text === '' ? {} : JSON.parse(text)
    this.#execute(request.url, order, (status, body) => { reply(response, status, body) }, response)
  }

  #execute (path, order, answer, response) {
    const life = this.#life
    if ((order.fence ?? 0) < life.fence) {
      answer(409, this.#describe('fence'))
      return
    }
    life.fence = Math.max(life.fence, order.fence ?? 0)
    switch (path) {
      case '/api/run-start': this.#startRun(order, answer); return
      case '/api/run-stop': this.#stopRun(order, answer); return
      case '/api/hold': this.#hold(order, answer, response); return
      case '/health': answer(200, this.#describe()); return
      default: answer(404, this.#describe())
    }
  }

  #describe (reason) {
    return { clock_ms: this.#clock(), born: this.#life.born, ...(reason === undefined ? {} : { reason }) }
  }

  /** Extends the lease of everything that runs here; it never shortens. */
  #extend (deadlineMs) {
    const life = this.#life
    if (typeof deadlineMs !== 'number') return
    const clock = this.#clock()
    life.holdUntil = Math.max(life.holdUntil, Math.min(deadlineMs, clock + maxHoldMs))
    this.#awaitLapse(life)
  }

  #awaitLapse (life) {
    clearTimeout(life.lapseTimer)
    life.lapseTimer = setTimeout(() => { this.#checkLease(life) }, Math.max(1, life.holdUntil - this.#clock()))
  }

  #checkLease (life) {
    if (life !== this.#life) return
    if (this.#clock() < life.holdUntil) {
      // Timers may fire a little early.
      this.#awaitLapse(life)
      return
    }
    for (const run of [...life.runs.values()]) this.#endRun(run, 'lapsed')
  }

  #startRun (order, answer) {
    const life = this.#life
    const { task, attempt, spec, deadline_ms: deadlineMs, fence = 0 } = order
    const told = { worker: this.id, task, attempt, fence, born: life.born }
    const refuse = reason => {
      this.#record({ what: 'start-refused', ...told, reason })
      answer(409, this.#describe(reason))
    }
    const known = life.runs.get(task)
    if (deadlineMs <= this.#clock()) {
      refuse('late')
      return
    }
    if (known?.attempt === attempt) {
      this.#extend(deadlineMs)
      answer(200, this.#describe())
      return
    }
    this.#extend(deadlineMs)
    if (attempt <= Math.max(life.closed.get(task) ?? 0, known?.attempt ?? 0)) {
      refuse('old')
      return
    }
    const work = JSON.parse(spec)
    if (this.#options.guards && !this.#hasRoom(work)) {
      refuse('room')
      return
    }
    const run = { task, attempt, spec, work, startedAt: performance.now(), life }
    life.runs.set(task, run)
    run.timer = setTimeout(() => { this.#endRun(run, work.fails === true ? 'failed' : 'done') }, work.ms)
    this.#record({ what: 'start', ...told, labels: this.#options.labels, service: this.#options.service, usedCpu: this.#sumCpu(), capacityCpu: this.#options.capacity.cpu, spec })
    answer(200, this.#describe())
  }

  /** The demand of a task stands in its spec, as an order does not carry it. */
  #hasRoom (work) {
    return this.#sumCpu() + (work.cpu ?? 0) <= this.#options.capacity.cpu
  }

  #sumCpu () {
    return [...this.#life.runs.values()].reduce((sum, { work }) => sum + (work.cpu ?? 0), 0)
  }

  #stopRun ({ task, attempt }, answer) {
    const life = this.#life
    life.closed.set(task, Math.max(attempt, life.closed.get(task) ?? 0))
    const run = life.runs.get(task)
    if (run !== undefined && run.attempt <= attempt && !run.isStopping) {
      run.isStopping = true
      clearTimeout(run.timer)
      setTimeout(() => { this.#endRun(run, 'stopped') }, stopMs)
    }
    answer(200, this.#describe())
  }

  #endRun (run, how) {
    const { life } = run
    if (life !== this.#life || life.runs.get(run.task) !== run) return
    clearTimeout(run.timer)
    life.runs.delete(run.task)
    life.closed.set(run.task, Math.max(run.attempt, life.closed.get(run.task) ?? 0))
    life.endCount++
    life.ends.push([life.endCount, run.task, run.attempt, how, ''])
    this.#recordEnd(run, how)
    for (const answerNow of [...life.waiting]) answerNow()
  }

  #recordEnd (run, how) {
    this.#record({ what: 'end', worker: this.id, task: run.task, attempt: run.attempt, how })
  }

  #hold ({ last_seen: lastSeen = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }, answer, response) {
    const life = this.#life
    this.#extend(deadlineMs)
    life.ends = life.ends.filter(([number]) => number > lastSeen)
    const waiting = { timer: undefined }
    const answerNow = () => {
      clearTimeout(waiting.timer)
      life.waiting.delete(answerNow)
      if (life !== this.#life) return
      const running = [...life.runs.values()].map(run => [run.task, run.attempt, '', Math.min(99, Math.floor((performance.now() - run.startedAt) * 100 / run.work.ms)), run.work.cpu ?? 0])
      answer(200, { ...this.#describe(), running, ended: life.ends.slice(0, maxEnds) })
    }
    if (waitMs === 0 || life.ends.length > 0) {
      answerNow()
      return
    }
    waiting.timer = setTimeout(answerNow, Math.min(maxWaitMs, waitMs))
    life.waiting.add(answerNow)
    response.once('close', () => {
      clearTimeout(waiting.timer)
      life.waiting.delete(answerNow)
    })
  }
}

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, type Socket } from 'node:net'
import { type StartTask, type TaskEnd, type TaskState } from '@sesamereel/protocol'

/** How the target handles a start request, and what happens to its connection. */
export interface StartFault {
  /** `receive`: the task starts. `ignore`: the request never reaches the target. */
  readonly task: 'receive' | 'ignore'
  /** `reply`: the target replies normally. `silent`: it sends no byte. `break`: the connection is closed at once. */
  readonly connection: 'reply' | 'silent' | 'break'
}

/** In-process target with injectable faults that records the messages of the client. */
export class FakeTarget {
  boot = 'boot-1'
  fault: StartFault = { task: 'receive', connection: 'reply' }
  runMs = 20
  /** Offset of the target's clock in milliseconds; a client that compares clocks directly fails the tests. */
  clockOffsetMs = 5_000_000
  readonly messages: string[] = []
  readonly starts: StartTask[] = []
  startedCount = 0
  maxOpenSockets = 0
  readonly #tasks = new Map<string, TaskState | 'deleted'>()
  readonly #sockets = new Set<Socket>()
  #server: Server

  constructor () {
    this.#server = createServer((request, response) => { this.#handle(request, response).catch(() => {}) })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      this.maxOpenSockets = Math.max(this.maxOpenSockets, this.#sockets.size)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  async listen (port = 0): Promise<string> {
    await new Promise<void>(resolve => { this.#server.listen(port, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Simulates the end of the process: connections break, and all tasks are lost with their records. */
  async stop (): Promise<void> {
    this.#tasks.clear()
    for (const socket of this.#sockets) socket.destroy()
    await new Promise(resolve => { this.#server.close(resolve) })
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = decodeURIComponent(request.url!.slice('/tasks/'.length))
    this.messages.push(`${request.method} ${request.url!.startsWith('/tasks/') ? '/tasks' : request.url}`)
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const body = Buffer.concat(chunks).toString()
    if (request.url === '/status') return this.#reply(response, 200, { id: 't1', slots: 8, running: [] })
    if (request.url === '/cancellations') {
      const ids = (JSON.parse(body) as { ids: string[] }).ids
      return this.#reply(response, 200, { tasks: ids.map(each => this.#remove(each)) })
    }
    if (request.method === 'POST') return await this.#start(id, JSON.parse(body) as StartTask, response)
    const task = request.method === 'DELETE' ? this.#remove(id) : this.#read(id)
    this.#reply(response, 200, { task })
  }

  async #start (id: string, body: StartTask, response: ServerResponse): Promise<void> {
    const { task, connection } = this.fault
    if (connection === 'break') response.destroy()
    if (task === 'ignore') return
    this.starts.push(body)
    const reason = body.boot !== this.boot ? 'boot' : this.#readClock() > body.startBy ? 'late' : this.#tasks.has(id) ? 'deleted' : undefined
    if (reason !== undefined) return this.#reply(response, 409, { refused: reason })
    this.startedCount++
    this.#tasks.set(id, { state: 'running' })
    await new Promise(resolve => { setTimeout(resolve, this.runMs) })
    if (!this.#tasks.has(id)) return
    const known = this.#tasks.get(id)!
    const end: TaskEnd = known !== 'deleted' && known.state === 'ended' ? known.end : { outcome: 'succeeded', result: id, runMs: this.runMs }
    this.#tasks.set(id, { state: 'ended', end })
    if (connection === 'reply') this.#reply(response, 200, { end })
  }

  #read (id: string): TaskState {
    const task = this.#tasks.get(id)
    return task === undefined || task === 'deleted' ? { state: 'not-seen' } : task
  }

  #remove (id: string): TaskState {
    const task = this.#read(id)
    if (task.state === 'not-seen') this.#tasks.set(id, 'deleted')
    if (task.state === 'running') this.#tasks.set(id, { state: 'ended', end: { outcome: 'cancelled', runMs: 0 } })
    return this.#read(id)
  }

  #readClock (): number {
    return performance.now() + this.clockOffsetMs
  }

  #reply (response: ServerResponse, status: number, fields: object): void {
    if (response.destroyed) return
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ boot: this.boot, clockMs: this.#readClock(), freeSlots: 8, leaving: false, ...fields }))
  }
}

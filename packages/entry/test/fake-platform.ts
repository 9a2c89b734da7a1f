import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { type Row, type RowKey, type Transact } from '@sesamereel/protocol'
import { type InstanceList } from '@sesamereel/state'

/** Fault of a write: `lost-after` commits it without a reply, `lost-before` drops it without a reply. */
export type WriteFault = 'none' | 'lost-after' | 'lost-before'

/** Fake platform with a table service, an object store and an instance list. It does not detect repeated writes, as the minimal platform need not. */
export class FakePlatform {
  readonly rows = new Map<string, Row>()
  readonly objects = new Map<string, string>()
  instanceList: InstanceList = { instances: [], targets: [] }
  isDown = false
  /** Faults of the next writes, in order; later writes succeed. */
  writeFaults: WriteFault[] = []
  /** Called before a write that has a fault, for example to make a competing edit. */
  onWriteFault: (() => void) | undefined
  writeCount = 0
  readonly #server: Server

  constructor () {
    this.#server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async stop (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise(resolve => { this.#server.close(resolve) })
  }

  read ({ table, key }: RowKey): Row {
    return this.rows.get(`${table}/${key}`) ?? { table, key, version: 0, value: null }
  }

  write (key: RowKey, value: unknown): void {
    this.rows.set(`${key.table}/${key.key}`, { table: key.table, key: key.key, version: this.read(key).version + 1, value })
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const text = Buffer.concat(chunks).toString()
    if (this.isDown) {
      response.destroy()
      return
    }
    const path = request.url!
    if (path === '/tables/read') reply(response, 200, { rows: (JSON.parse(text) as { rows: RowKey[] }).rows.map(key => this.read(key)) })
    else if (path === '/tables/transact') this.#transact(JSON.parse(text) as Transact, response)
    else if (path.startsWith('/instances')) reply(response, 200, this.instanceList)
    else if (request.method === 'PUT') {
      this.objects.set(path, text)
      reply(response, 200, {})
    } else if (this.objects.has(path)) response.end(this.objects.get(path))
    else reply(response, 404, {})
  }

  #transact (request: Transact, response: ServerResponse): void {
    const fault = this.writeFaults.shift() ?? 'none'
    if (fault !== 'none') this.onWriteFault?.()
    if (fault === 'lost-before') {
      response.destroy()
      return
    }
    const failedChecks = request.checks.filter(check => this.read(check).version !== check.version)
    if (failedChecks.length === 0) {
      for (const write of request.writes) this.write(write, write.value)
      this.writeCount++
    }
    if (fault === 'lost-after') response.destroy()
    else if (failedChecks.length > 0) reply(response, 409, { committed: false, rows: failedChecks.map(check => this.read(check)) })
    else reply(response, 200, { committed: true, rows: request.writes.map(write => this.read(write)) })
  }
}

function reply (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

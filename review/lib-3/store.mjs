import { createServer } from 'node:http'

/** Stand-in for the platform's metadata store: tables of rows in one part, conditional writes and long polls. Nothing is ever lost. */
export class Store {
  #rows = new Map()
  #changes = []
  #revision = 100
  #waiting = new Set()
  #startedAt = performance.now()
  #server = createServer((request, response) => { this.#handle(request, response).catch(() => { response.destroy() }) })
  /** While true, every call is answered 503. */
  isDown = false

  async listen (host) {
    await new Promise(resolve => { this.#server.listen(0, host, resolve) })
    return `${host}:${this.#server.address().port}`
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a row as the operator or a server does. */
  put (table, key, value) {
    this.#revision++
    this.#apply({ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.#revision })
    this.#wake()
  }

  get (table, key) {
    const row = this.#rows.get(`${table} ${key}`)
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  #apply (row) {
    if (row.deleted === true) this.#rows.delete(`${row.table} ${row.key}`)
    else this.#rows.set(`${row.table} ${row.key}`, row)
    this.#changes.push(row)
  }

  #wake () {
    for (const check of [...this.#waiting]) check()
  }

  async #handle (request, response) {
    const { pathname, searchParams: query } = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.isDown) { send(response, 503, {}); return }
    if (pathname === '/api/rows-get') this.#list(query, response)
    else if (pathname === '/api/rows-feed') this.#feed(query, response)
    else if (pathname === '/api/rows-tx') this.#write(JSON.parse(Buffer.concat(chunks).toString()), response)
    else send(response, 404, {})
  }

  #describe () {
    return { revision: this.#revision, now_ms: Math.round(performance.now() - this.#startedAt) }
  }

  #list (query, response) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const rows = [...this.#rows.values()].filter(row => row.table === query.get('table') && row.key >= from && (to === null || row.key < to)).sort((a, b) => a.key < b.key ? -1 : 1)
    send(response, 200, { ...this.#describe(), rows: rows.slice(0, limit).map(encode), more_pages: rows.length > limit })
  }

  #feed (query, response) {
    const after = Number(query.get('after'))
    const find = () => this.#changes.filter(row => row.table === query.get('table') && row.revision > after)
    const finish = () => {
      this.#waiting.delete(check)
      clearTimeout(timer)
      send(response, 200, { ...this.#describe(), rows: find().map(encode) })
    }
    const check = () => { if (find().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms') ?? 0)))
    this.#waiting.add(check)
    check()
  }

  #write ({ expected_rev: expected = [], puts = [], remove = [] }, response) {
    const current = expected.map(({ table, key }) => ({ table, part: '', key, revision: this.#rows.get(`${table} ${key}`)?.revision ?? 0 }))
    if (current.some((row, index) => row.revision !== expected[index].revision)) {
      send(response, 412, { ...this.#describe(), rows: current })
      return
    }
    this.#revision++
    for (const { table, key, value } of puts) this.#apply({ table, key, value, revision: this.#revision })
    for (const { table, key } of remove) this.#apply({ table, key, revision: this.#revision, deleted: true })
    send(response, 200, this.#describe())
    this.#wake()
  }
}

function encode ({ table, ...row }) {
  return { table, part: '', ...row }
}

function send (response, status, body) {
  if (!response.destroyed) response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

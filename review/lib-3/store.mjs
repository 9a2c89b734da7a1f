import { createServer } from 'node:http'

/** Stand-in for the platform's metadata store: tables of rows in one part, conditional writes and long polls. Nothing is ever lost. */
export class Store {
  #rows = new Map()
  #changes = []
  #revision = 100
  #waiting = new Set()
  #startedAt = performance.now()
  #servers = []
  /** While true, every call is answered 503. */
  isDown = false

  /**
   * Serves the store at an address of its own, for example for one machine.
   *
   * @param view - translates addresses in the values that are read and written there; by default they stay as they are
   */
  async listen (host, view = { read: text => text, write: text => text }) {
    const server = createServer((request, response) => { this.#handle(request, response, view).catch(() => { response.destroy() }) })
    this.#servers.push(server)
    await new Promise(resolve => { server.listen(0, host, resolve) })
    return `${host}:${server.address().port}`
  }

  close () {
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
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

  async #handle (request, response, view) {
    const { pathname, searchParams: query } = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.isDown || view.isDown === true) { send(response, 503, {}); return }
    if (pathname === '/api/rows-get') this.#list(query, response, view)
    else if (pathname === '/api/rows-feed') this.#feed(query, response, view)
    else if (pathname === '/api/rows-tx') this.#write(JSON.parse(Buffer.concat(chunks).toString()), response, view)
    else send(response, 404, {})
  }

  #describe () {
    return { revision: this.#revision, now_ms: Math.round(performance.now() - this.#startedAt) }
  }

  #list (query, response, view) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const rows = [...this.#rows.values()].filter(row => row.table === query.get('table') && row.key >= from && (to === null || row.key < to)).sort((a, b) => a.key < b.key ? -1 : 1)
    send(response, 200, { ...this.#describe(), rows: rows.slice(0, limit).map(row => encode(row, view)), more_pages: rows.length > limit })
  }

  #feed (query, response, view) {
    const after = Number(query.get('after'))
    const find = () => this.#changes.filter(row => row.table === query.get('table') && row.revision > after)
    const finish = () => {
      this.#waiting.delete(check)
      clearTimeout(timer)
      send(response, 200, { ...this.#describe(), rows: find().map(row => encode(row, view)) })
    }
    const check = () => { if (find().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms') ?? 0)))
    this.#waiting.add(check)
    check()
  }

  #write ({ expected_rev: expected = [], puts = [], remove = [] }, response, view) {
    const current = expected.map(({ table, key }) => ({ table, part: '', key, revision: this.#rows.get(`${table} ${key}`)?.revision ?? 0 }))
    if (current.some((row, index) => row.revision !== expected[index].revision)) {
      send(response, 412, { ...this.#describe(), rows: current })
      return
    }
    this.#revision++
    for (const { table, key, value } of puts) this.#apply({ table, key, value: translate(value, view.write), revision: this.#revision })
    for (const { table, key } of remove) this.#apply({ table, key, revision: this.#revision, deleted: true })
    send(response, 200, this.#describe())
    this.#wake()
  }
}

function encode (row, view) {
  return { ...row, part: '', ...(row.value === undefined ? {} : { value: translate(row.value, view.read) }) }
}

function translate (value, change) {
  return Buffer.from(change(Buffer.from(value, 'base64').toString())).toString('base64')
}

function send (response, status, body) {
  if (!response.destroyed) response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

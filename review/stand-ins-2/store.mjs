// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows, transactions, a feed of changes.
import { createServer } from 'node:http'
import { once } from 'node:events'

/** Time in milliseconds that a transaction takes. */
const transactionMs = 5
/** Time in milliseconds that another answer takes. */
const answerMs = 4
/** Tables that the system may not write to. */
const foreignTables = new Set(['op', 'servers'])
const maxRows = 500

export class Store {
  /** Whether every call is answered with 503, after which nothing was done. */
  isDown = false
  #rows = new Map()
  #history = []
  #waiters = new Set()
  #revision = 0
  #startedAt = performance.now()
  #server

  /** Writes a row as the operator or a worker does; the return is the acknowledgement. */
  put (table, key, text) {
    this.#apply([{ table, part: '', key, value: Buffer.from(text).toString('base64') }], [])
    return this.#revision
  }

  remove (table, key) { this.#apply([], [{ table, part: '', key }]) }

  /** @returns the text of a row; undefined if there is none */
  read (table, key) {
    const row = this.#rows.get(formatId({ table, part: '', key }))
    return row === undefined ? undefined : Buffer.from(row.value, 'base64').toString('utf8')
  }

  async listen (host) {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(error => { response.destroy(error) }) })
    this.#server.keepAliveTimeout = 120_000
    this.#server.listen(0, host)
    await once(this.#server, 'listening')
    return `${host}:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #apply (puts, removes) {
    this.#revision++
    for (const { table, part, key, value } of puts) {
      const row = { table, part, key, value, revision: this.#revision }
      this.#rows.set(formatId(row), row)
      this.#history.push(row)
    }
    for (const { table, part, key } of removes) {
      if (this.#rows.delete(formatId({ table, part, key }))) this.#history.push({ table, part, key, value: '', revision: this.#revision, deleted: true })
    }
    for (const wake of [...this.#waiters]) wake()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.isDown) return respond(response, 503, {})
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/api/rows-get') {
      await pause(answerMs)
      const [table, part, from, to] = [query.get('table'), query.get('part') ?? '', query.get('from') ?? '', query.get('to')]
      const found = [...this.#rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to)).sort((a, b) => a.key < b.key ? -1 : 1)
      const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows))
      respond(response, 200, { rows: found.slice(0, limit), more_pages: found.length > limit, ...this.#version() })
    } else if (url.pathname === '/api/rows-feed') {
      const [table, after] = [query.get('table'), Number(query.get('after'))]
      const listChanges = () => this.#history.filter(row => row.table === table && row.revision > after)
      const until = performance.now() + Number(query.get('wait_ms') ?? 0)
      while (listChanges().length === 0 && performance.now() < until && !response.destroyed) await this.#waitForChange(until - performance.now())
      await pause(answerMs)
      if (this.isDown) return respond(response, 503, {})
      respond(response, 200, { rows: listChanges(), ...this.#version() })
    } else if (url.pathname === '/api/rows-tx' && request.method === 'POST') {
      const { expected_rev: expected = [], puts = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString('utf8'))
      await pause(transactionMs)
      if ([...puts, ...remove].some(({ table }) => foreignTables.has(table))) return respond(response, 403, {})
      const current = expected.map(row => this.#rows.get(formatId(row)) ?? { ...row, revision: 0 })
      if (expected.some((row, index) => row.revision !== current[index].revision)) return respond(response, 412, { rows: current, ...this.#version() })
      this.#apply(puts, remove)
      respond(response, 200, this.#version())
    } else respond(response, 404, {})
  }

  #version () { return { revision: this.#revision, now_ms: Math.round(performance.now() - this.#startedAt) } }

  async #waitForChange (ms) {
    await new Promise(resolve => {
      const wake = () => { clearTimeout(timer); this.#waiters.delete(wake); resolve() }
      const timer = setTimeout(wake, Math.max(1, ms))
      this.#waiters.add(wake)
    })
  }
}

function formatId ({ table, part, key }) { return JSON.stringify([table, part, key]) }

function respond (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

async function pause (ms) { await new Promise(resolve => { setTimeout(resolve, ms) }) }

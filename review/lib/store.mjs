import { createServer } from 'node:http'
import { once } from 'node:events'
import { readBody, reply } from './http.mjs'

/** Tables to which only the operator and the workers write. */
const foreignTables = new Set(['op', 'servers'])

/** Usual time of an answer in milliseconds, as the pages of the small deployments state it. */
const answerMs = 4

const maxRows = 500

/**
 * The platform's store, in memory: rows with revisions, conditional writes and a feed of changes. Each instance
 * is given an address of its own, so that the store can treat instances differently.
 */
export class Store {
  #revision = 100
  #tables = new Map()
  #waiting = new Set()
  #servers = []

  /** Starts a listener for one instance. `rules.answer`, if set, may answer a call itself or break it off. */
  async listen (rules = {}) {
    const server = createServer((request, response) => { this.#serve(request, response, rules).catch(() => { response.destroy() }) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    this.#servers.push(server)
    return `127.0.0.1:${server.address().port}`
  }

  /** Writes a row as the operator or a worker does. */
  put (table, key, value) {
    this.#commit([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }])
  }

  remove (table, key) {
    this.#commit([{ table, key, deleted: true }])
  }

  /** @returns the parsed value of a row, or undefined */
  read (table, key) {
    const row = this.#tables.get(table)?.get(key)
    return row === undefined || row.deleted ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  close () {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  async #serve (request, response, rules) {
    const body = await readBody(request)
    if (rules.answer?.(request, response, body) === true) return
    await new Promise(resolve => { setTimeout(resolve, answerMs) })
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    if (pathname === '/api/rows-get') reply(response, 200, this.#get(searchParams))
    else if (pathname === '/api/rows-feed') this.#feed(searchParams, response)
    else if (pathname === '/api/rows-tx') this.#transact(JSON.parse(body), response)
    else reply(response, 404, {})
  }

  #get (query) {
    const [from, to] = [query.get('from') ?? '', query.get('to')]
    const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows))
    const rows = [...this.#tables.get(query.get('table'))?.values() ?? []]
      .filter(row => !row.deleted && row.key >= from && (to === null || row.key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    return { rows: rows.slice(0, limit), more_pages: rows.length > limit, revision: this.#revision, now_ms: this.#now() }
  }

  #feed (query, response) {
    const [table, after] = [query.get('table'), Number(query.get('after'))]
    const send = () => {
      const rows = [...this.#tables.get(table)?.values() ?? []].filter(row => row.revision > after).sort((a, b) => a.revision - b.revision)
      if (rows.length === 0) return false
      reply(response, 200, { rows, revision: this.#revision, now_ms: this.#now() })
      return true
    }
    if (send()) return
    const finish = () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
    }
    const check = () => { if (send()) finish() }
    const timer = setTimeout(() => {
      finish()
      reply(response, 200, { rows: [], revision: this.#revision, now_ms: this.#now() })
    }, Math.min(30_000, Number(query.get('wait_ms') ?? 0)))
    this.#waiting.add(check)
    response.once('close', finish)
  }

  #transact ({ expected_rev: expected = [], puts = [], remove = [] }, response) {
    if ([...puts, ...remove].some(row => foreignTables.has(row.table))) {
      reply(response, 403, {})
      return
    }
    const find = ({ table, key }) => {
      const row = this.#tables.get(table)?.get(key)
      return row === undefined || row.deleted ? undefined : row
    }
    if (expected.some(row => (find(row)?.revision ?? 0) !== row.revision)) {
      reply(response, 412, { rows: expected.map(find).filter(row => row !== undefined) })
      return
    }
    const revision = this.#commit([...puts, ...remove.map(row => ({ ...row, deleted: true }))])
    reply(response, 200, { revision, now_ms: this.#now() })
  }

  #commit (rows) {
    this.#revision++
    for (const { table, key, value, deleted = false } of rows) {
      const known = this.#tables.get(table) ?? new Map()
      this.#tables.set(table, known)
      known.set(key, { table, part: '', key, revision: this.#revision, ...(deleted ? { deleted } : { value }) })
    }
    for (const check of [...this.#waiting]) check()
    return this.#revision
  }

  #now () {
    return Math.floor(performance.now())
  }
}

import { createServer, request as sendRequest } from 'node:http'
import { once } from 'node:events'
import { readBody } from './http.mjs'

/**
 * A proxy in front of a worker. It passes calls on, and may hold one back: that call gets no answer, and reaches whatever
 * listens at the worker's address when its time is over.
 */
export class Proxy {
  #server
  #sockets = new Set()
  #target
  /** Whether the answers of the worker are lost on their way, as behind a partition in one direction. */
  areAnswersLost = false

  /** @param hold - returns for how many milliseconds a call is held back; undefined for a call that is passed on at once */
  constructor (target, hold) {
    this.#target = target
    this.#server = createServer((request, response) => { this.#serve(request, response, hold).catch(() => { response.destroy() }) })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.once('close', () => { this.#sockets.delete(socket) })
    })
  }

  async listen () {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return `127.0.0.1:${this.#server.address().port}`
  }

  /** Breaks all connections, as the end of the worker's process does. */
  reset () {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  close () {
    this.reset()
    this.#server.close()
  }

  async #serve (request, response, hold) {
    const body = await readBody(request)
    const heldMs = hold(request.url, body)
    if (heldMs !== undefined) {
      setTimeout(() => { this.#forward(request, body, () => {}, () => {}) }, heldMs)
      return
    }
    const forwarded = this.#forward(request, body, answer => {
      if (response.destroyed || this.areAnswersLost) return
      response.writeHead(answer.statusCode, answer.headers)
      answer.pipe(response)
    }, () => { if (!this.areAnswersLost) response.destroy() })
    response.once('close', () => { forwarded.destroy() })
  }

  #forward ({ method, url, headers }, body, onAnswer, onError) {
    const [host, port] = this.#target().split(':')
    const forwarded = sendRequest({ host, port, method, path: url, headers, agent: false }, onAnswer)
    forwarded.on('error', onError)
    forwarded.end(body)
    return forwarded
  }
}

import { connect, createServer } from 'node:net'

/** A link of the network: a proxy in front of one address. While it is cut, nothing passes and no connection opens; what was held up passes afterwards. */
export class Link {
  #target
  #host
  #port
  #isCut = false
  #sockets = new Set()
  #held = []
  #server = createServer({ allowHalfOpen: true }, socket => { this.#accept(socket) })

  /** @param target - `IP:PORT` behind the link */
  constructor (target) {
    this.#target = target
  }

  async listen (host) {
    this.#host = host
    await new Promise(resolve => { this.#server.listen(0, host, resolve) })
    this.#port = this.#server.address().port
    return `${host}:${this.#port}`
  }

  /**
   * @param resets - whether a cut resets the open connections; otherwise they go silent
   * @param refuses - whether new connections are refused meanwhile; otherwise they open and stay silent, as a proxy can't drop the opening packet
   */
  setCut (isCut, resets = false, refuses = false) {
    this.#isCut = isCut
    if (isCut && resets) for (const socket of this.#sockets) socket.resetAndDestroy()
    if (isCut && refuses) this.#server.close()
    if (!isCut && !this.#server.listening) this.#server.listen(this.#port, this.#host)
    if (isCut) {
      for (const socket of this.#sockets) socket.pause()
      return
    }
    for (const socket of this.#sockets) socket.resume()
    for (const open of this.#held.splice(0)) open()
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket) {
    this.#add(socket)
    socket.pause()
    if (this.#isCut) this.#held.push(() => { this.#open(socket) })
    else this.#open(socket)
  }

  #open (socket) {
    if (socket.destroyed) return
    const [host, port] = this.#target.split(':')
    const other = connect({ host, port: Number(port), allowHalfOpen: true })
    this.#add(other)
    join(socket, other)
    join(other, socket)
    if (!this.#isCut) socket.resume()
  }

  #add (socket) {
    socket.setNoDelay(true)
    this.#sockets.add(socket)
    socket.on('close', () => { this.#sockets.delete(socket) })
    socket.on('error', () => {})
  }
}

function join (from, to) {
  from.on('data', chunk => { to.write(chunk) })
  from.on('end', () => { to.end() })
  // A reset passes on as one.
  from.on('error', () => { to.resetAndDestroy() })
}

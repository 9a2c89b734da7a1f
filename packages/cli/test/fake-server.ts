import { createServer, type IncomingMessage, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { createResultError, resultCodes, type ResultCodeName } from '@sesamereel/state'

/** One request that the fake server received. */
export interface ReceivedRequest {
  readonly method: string
  readonly path: string
  readonly body: string
  readonly headers: IncomingMessage['headers']
}

/** A reply, `reset` to close the connection without one, or `hang` to leave it open. */
export type FakeReply = { readonly status: number, readonly body: unknown } | 'reset' | 'hang'

export interface FakeServer {
  readonly address: string
  readonly receivedRequests: readonly ReceivedRequest[]
  readonly close: () => void
}

/**
 * Starts an HTTP server on a free port of the loopback interface.
 *
 * @param handle - returns the reply to a request; `count` is the number of requests received so far, including this one
 */
export async function startFakeServer (handle: (request: ReceivedRequest, count: number) => FakeReply): Promise<FakeServer> {
  const receivedRequests: ReceivedRequest[] = []
  const server: Server = createServer((request, response) => {
    text(request).then(body => {
      const entry = { method: request.method!, path: request.url!, body, headers: request.headers }
      receivedRequests.push(entry)
      const reply = handle(entry, receivedRequests.length)
      if (reply === 'reset') request.socket.destroy()
      else if (reply !== 'hang') response.writeHead(reply.status).end(JSON.stringify(reply.body))
    }, () => { response.destroy() })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  return { address: `127.0.0.1:${port}`, receivedRequests, close: () => { server.closeAllConnections(); server.close() } }
}

export function createErrorReply (name: ResultCodeName, message = 'test'): FakeReply {
  return { status: resultCodes[name].status, body: createResultError(name, message) }
}

export const testKey = 'gent-1.0.k3j9x2ab.0'

export const issuedKeyReply: FakeReply = { status: 200, body: { keys: [testKey], expiresInMs: 3_600_000 } }

export const completeJobReply: FakeReply = { status: 200, body: { state: 'complete', key: testKey, results: [1] } }

import { Agent, request } from 'undici'

/**
 * Result of an HTTP call. `refused`: no connection was made, so the request was not sent; `reset`:
 * the connection failed in another way; `timeout`: no complete response arrived in time.
 */
export type HttpCallResult =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  | { readonly kind: 'refused' | 'reset' | 'timeout', readonly message: string }

export interface HttpCallOptions {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly body?: unknown
  readonly token?: string
  readonly timeoutMs?: number
  readonly headers?: Readonly<Record<string, string>>
}

// Each call opens its own connection: a reused idle connection that the server closes would look like a lost request.
const agent = new Agent({ pipelining: 0, connect: { timeout: 5_000 } })

/**
 * Makes an HTTP call with a JSON request body. A response body that is not JSON is returned as text.
 *
 * @param address - `IP:PORT`
 * @param path - path and query string
 * @returns the result, also for a failed call; never rejects
 */
export async function callHttp (address: string, path: string, options: HttpCallOptions = {}): Promise<HttpCallResult> {
  const headers: Record<string, string> = { ...options.headers }
  if (options.token !== undefined) headers['authorization'] = `Bearer ${options.token}`
  if (options.body !== undefined) headers['content-type'] = 'application/json'
  const signal = AbortSignal.timeout(options.timeoutMs ?? 10_000)
  try {
    const reply = await request(`http://${address}${path}`, {
      dispatcher: agent,
      method: options.method ?? 'GET',
      headers,
      signal,
      ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) })
    })
    return { kind: 'answered', status: reply.statusCode, body: parseBody(await reply.body.text()) }
  } catch (error) {
    const message = error instanceof Error ? `${error.message} ${String((error as { code?: unknown }).code ?? '')}`.trim() : String(error)
    if (signal.aborted) return { kind: 'timeout', message }
    return { kind: /ECONNREFUSED|UND_ERR_CONNECT_TIMEOUT/.test(message) ? 'refused' : 'reset', message }
  }
}

/**
 * Makes an HTTP call that must succeed, such as one to the admin address of a stand-in.
 *
 * @returns the parsed response body
 * @throws Error when the call fails or the response status is not 2xx
 */
export async function callHttpOrThrow (address: string, path: string, options: HttpCallOptions = {}): Promise<unknown> {
  const reply = await callHttp(address, path, options)
  if (reply.kind !== 'answered') throw new Error(`${options.method ?? 'GET'} ${address}${path}: ${reply.kind}: ${reply.message}`)
  if (reply.status < 200 || reply.status > 299) throw new Error(`${options.method ?? 'GET'} ${address}${path}: status ${reply.status}: ${JSON.stringify(reply.body)}`)
  return reply.body
}

function parseBody (text: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

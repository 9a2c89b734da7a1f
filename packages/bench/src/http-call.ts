import { Agent, request } from 'undici'

/**
 * How a call ended. `refused`: no connection was made, so nothing was in flight; `reset`: the
 * connection broke; `timeout`: no answer in time.
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

// Each call has its own connection: the close of an idle one must not look like a lost request.
const agent = new Agent({ pipelining: 0, connect: { timeout: 5_000 } })

/**
 * Makes one HTTP call with a JSON body and a JSON answer.
 *
 * @param address - `IP:PORT`
 * @param path - path with query
 * @returns how the call ended; never rejects
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
 * Makes a call that must succeed, such as one to a stand-in's admin address.
 *
 * @returns the body of the answer
 * @throws an error when the call fails or its status is not 2xx
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

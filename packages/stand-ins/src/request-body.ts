import { type IncomingMessage } from 'node:http'

/** Longest body in bytes that a stand-in accepts. */
const maxBodyBytes = 64 * 1024 * 1024

/**
 * Reads the whole body of a request.
 *
 * @param request - the request
 * @returns the bytes of the body
 * @throws an error for a body that is too long
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBodyBytes) throw new Error(`the body is longer than ${maxBodyBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/**
 * Reads and parses the JSON body of a request.
 *
 * @param request - the request
 * @returns the parsed value
 * @throws an error for a body that is too long or malformed
 */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request)
  return JSON.parse(body.toString('utf8')) as unknown
}

import { type IncomingMessage } from 'node:http'
import { formatFound, formatPath } from '@sesamereel/protocol'
import { createRequestError } from './request-error.js'

/** Maximum nesting depth of a body; deeper values overflow the stack of `JSON.stringify`. */
const maxNesting = 100

/** Maximum number of bytes buffered for the bodies of all requests together, so that large bodies can't exhaust the memory. */
const maxBufferedBytes = 256 * 1024 * 1024

let bufferedBytes = 0

/**
 * Reads and parses the JSON body of a request.
 *
 * @param request - the request
 * @param maxBytes - maximum size of the body in bytes
 * @returns the parsed value
 * @throws RequestError for a body that is too large, not UTF-8, not JSON, nested too deeply or has a number beyond the range of a double
 */
export async function readJsonBody (request: IncomingMessage, maxBytes: number): Promise<unknown> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maxBytes) throw createRequestError('JobTooLarge', `the body has ${declaredBytes} bytes, at most ${maxBytes} are allowed`, 'body')
  const text = await readText(request, maxBytes)
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    throw createRequestError('MalformedRequest', `the body is not valid JSON: ${error instanceof Error ? error.message : String(error)}`, 'body')
  }
  checkValues(value)
  return value
}

async function readText (request: IncomingMessage, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = []
  let length = 0
  let bufferedHere = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length > maxBytes) throw createRequestError('JobTooLarge', `the body has more than ${maxBytes} bytes`, 'body')
      // The body has not been read, so whether its key was submitted before is not known.
      if (bufferedBytes + chunk.length > maxBufferedBytes) throw createRequestError('OutcomeUnknown', `the bodies of all requests together hold more than ${maxBufferedBytes} bytes`, 'body')
      bufferedBytes += chunk.length
      bufferedHere += chunk.length
      chunks.push(chunk)
    }
    return new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(chunks))
  } catch (error) {
    if (error instanceof TypeError) throw createRequestError('MalformedRequest', 'the body is not valid UTF-8', 'body')
    throw error
  } finally {
    bufferedBytes -= bufferedHere
  }
}

/** Checks nesting and numbers with an explicit stack, since recursion would overflow on the deep values that it must reject. */
function checkValues (root: unknown): void {
  const stack: Array<{ readonly value: unknown, readonly path: readonly PropertyKey[] }> = [{ value: root, path: [] }]
  while (stack.length > 0) {
    const { value, path } = stack.pop()!
    if (typeof value === 'number' && !Number.isFinite(value)) {
      throw createRequestError('MalformedRequest', `${formatPath(path)}: found a number beyond the range of a double, expected a finite number`, formatPath(path))
    }
    if (typeof value !== 'object' || value === null) continue
    if (path.length >= maxNesting) {
      throw createRequestError('MalformedRequest', `the body is nested deeper than ${maxNesting} levels, near ${formatFound(formatPath(path))}`, formatPath(path.slice(0, 4)))
    }
    if (Array.isArray(value)) {
      for (let index = 0; index < value.length; index++) {
        if (typeof value[index] === 'object' || typeof value[index] === 'number') stack.push({ value: value[index], path: [...path, index] })
      }
    } else {
      for (const [name, child] of Object.entries(value)) {
        if (typeof child === 'object' || typeof child === 'number') stack.push({ value: child, path: [...path, name] })
      }
    }
  }
}

import { request as sendRequest } from 'node:http'

/** @returns the whole body of a request as text */
export async function readBody (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}

/** Answers with a JSON body, unless the connection is gone. */
export function reply (response, status, body) {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

/**
 * Sends one request over a connection of its own.
 *
 * @returns the status and the parsed body; status 0 after a broken connection or when `waitMs` is over
 */
export async function call (address, method, path, { headers = {}, body, waitMs = 5_000 } = {}) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const request = sendRequest({ host, port, method, path, agent: false, headers: body === undefined ? headers : { 'content-type': 'application/json', ...headers } }, response => {
      readBody(response).then(
        text => { finish({ status: response.statusCode, body: parse(text) }) },
        () => { finish({ status: 0, body: 'the connection broke' }) }
      )
    })
    const finish = result => {
      clearTimeout(timer)
      resolve(result)
    }
    const timer = setTimeout(() => {
      finish({ status: 0, body: 'no answer' })
      request.destroy()
    }, waitMs)
    request.on('error', error => { finish({ status: 0, body: error.code ?? error.message }) })
    request.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

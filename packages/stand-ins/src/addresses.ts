import { once } from 'node:events'
import { type AddressInfo, type Server } from 'node:net'

/** Connections that may wait to be accepted; scenarios open many at once. */
const backlog = 4_096

/**
 * Splits `IP:PORT`.
 *
 * @param address - `IP:PORT`, an IPv6 address in brackets
 * @returns host without brackets, and port
 */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/**
 * Formats the address that a server listens on as `IP:PORT`.
 *
 * @param info - result of the server's `address()`
 * @returns the address, an IPv6 one in brackets
 * @throws an error for a server that is closed or listens on a path
 */
export function formatAddress (info: AddressInfo | string | null): string {
  if (info === null || typeof info === 'string') throw new Error('the server does not listen on an IP address')
  return info.family === 'IPv6' ? `[${info.address}]:${info.port}` : `${info.address}:${info.port}`
}

/**
 * Binds a TCP server to an address.
 *
 * @param server - server that does not listen yet
 * @param address - `IP:PORT`; port 0 lets the system choose
 * @returns the address with the real port
 */
export async function bindServer (server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address)
  server.listen(port, host, backlog)
  await once(server, 'listening')
  return formatAddress(server.address())
}

/**
 * Stops listening and waits until all connections of a server are closed. The caller closes the
 * connections.
 *
 * @param server - a listening server
 */
export async function closeListener (server: Server): Promise<void> {
  const closed = once(server, 'close')
  server.close()
  await closed
}

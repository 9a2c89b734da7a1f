import { randomInt } from 'node:crypto'
import { once } from 'node:events'
import { createServer } from 'node:net'

/**
 * Loopback address for reserved ports, drawn for each process, so that clusters of different processes share none. Outgoing
 * connections use 127.0.0.1 as their source, so none of them can take a port between its reservation and its use.
 */
const reservedHost = `127.${randomInt(1, 255)}.${randomInt(0, 256)}.${randomInt(1, 255)}`

const reserved = new Set<string>()

/**
 * Reserves free ports on a loopback address of this process. No address is returned twice.
 *
 * @param count - number of ports
 * @returns addresses as `IP:PORT`
 */
export async function reserveAddresses (count: number): Promise<readonly string[]> {
  const addresses: string[] = []
  while (addresses.length < count) {
    const address = await findFreeAddress()
    if (address === undefined || reserved.has(address)) continue
    reserved.add(address)
    addresses.push(address)
  }
  return addresses
}

async function findFreeAddress (): Promise<string | undefined> {
  const server = createServer()
  server.listen(0, reservedHost)
  await once(server, 'listening')
  const info = server.address()
  const closed = once(server, 'close')
  server.close()
  await closed
  return info !== null && typeof info === 'object' ? `${reservedHost}:${info.port}` : undefined
}

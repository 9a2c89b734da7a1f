import { readFileSync } from 'node:fs'
import { startBalancer } from './balancer.js'
import { type RunningStandIn } from './http-server.js'
import { startNetwork } from './network.js'
import { startPlatform } from './platform.js'
import { startTarget } from './target.js'

/** Start functions by kind; each validates the settings by its own schema. */
const starters: Readonly<Record<string, (settings: never) => Promise<RunningStandIn>>> = {
  platform: startPlatform,
  target: startTarget,
  balancer: startBalancer,
  network: startNetwork
}

/**
 * Runs one stand-in as a program: `main.js KIND SETTINGS`, where SETTINGS is JSON or the path of a
 * JSON file. Prints its addresses as one line of JSON when it is ready. Ends on SIGTERM, or when its
 * standard input ends, so that it never outlives the program that started it.
 *
 * @param args - command-line arguments
 * @throws an error for an unknown kind or invalid settings
 */
export async function runProgram (args: readonly string[]): Promise<void> {
  const [kind = '', text = '{}'] = args
  const start = starters[kind]
  if (start === undefined) throw new Error(`unknown kind of stand-in ${JSON.stringify(kind)}; expected one of ${Object.keys(starters).join(', ')}`)
  const json = text.trimStart().startsWith('{') ? text : readFileSync(text, 'utf8')
  const running = await start(JSON.parse(json) as never)
  process.stdout.write(JSON.stringify({ ready: true, kind, addresses: running.addresses }) + '\n')
  const stop = (): void => { running.close().finally(() => process.exit(0)) }
  process.once('SIGTERM', stop)
  process.stdin.once('end', stop)
  process.stdin.resume()
}

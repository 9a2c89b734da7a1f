import { setTimeout as delay } from 'node:timers/promises'
import { type EntryProcess } from './cluster-model.js'
import { callHttp } from './http-call.js'
import { type ProcessLauncher } from './launcher.js'
import { type ProcessLog } from './process-log.js'

/** Time in milliseconds within which an entry instance must be ready. */
const readyTimeoutMs = 40_000

const readyPollMs = 25

/** Length of the part of a log that an error message shows. */
const logExcerptCharacters = 3_000

/**
 * Waits until an entry instance is ready and records it. Also returns when the driver killed the
 * instance while it started, because such an instance has not failed.
 *
 * @throws Error with the end of the log when the instance ends by itself or is not ready in time
 */
export async function waitUntilReady ({ name, callerAddress }: EntryProcess, launcher: ProcessLauncher, log: ProcessLog): Promise<void> {
  const readLogExcerpt = (): string => launcher.readLog(name).slice(-logExcerptCharacters)
  const deadline = Date.now() + readyTimeoutMs
  while (Date.now() < deadline) {
    if (!launcher.has(name)) {
      if (log.isKilled(name)) return
      throw new Error(`${name} ended before it was ready:\n${readLogExcerpt()}`)
    }
    const reply = await callHttp(callerAddress, '/ready', { timeoutMs: 1_000 })
    if (reply.kind === 'answered' && reply.status === 200) {
      log.record(name, 'ready')
      return
    }
    await delay(readyPollMs)
  }
  throw new Error(`${name} is not ready after ${readyTimeoutMs / 1_000} s:\n${readLogExcerpt()}`)
}

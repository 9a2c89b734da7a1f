import { type ChildProcess, spawn } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { once } from 'node:events'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { setTimeout as delay } from 'node:timers/promises'

/** Compiled programs of this workspace. */
export const programs = {
  standIn: fileURLToPath(new URL('../../../stand-ins/dist/src/main.js', import.meta.url)),
  entry: fileURLToPath(new URL('../../../entry/dist/src/main.js', import.meta.url)),
  commandLine: fileURLToPath(new URL('../../../cli/dist/src/main.js', import.meta.url))
} as const

/** Time in milliseconds within which a process must be ready, generous for a busy machine. */
const readyTimeoutMs = 20_000

export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process that the launcher started. */
export interface LaunchedProcess {
  readonly name: string
  readonly child: ChildProcess
  /** Addresses that a stand-in printed; empty for other programs. */
  readonly addresses: Readonly<Record<string, string>>
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>
}

/**
 * Loopback address for reserved ports. Outgoing connections come from 127.0.0.1, so none of them
 * can take a port between its reservation and its use.
 */
const reservedHost = `127.${randomInt(1, 255)}.${randomInt(0, 256)}.${randomInt(1, 255)}`

const reserved = new Set<string>()

/**
 * Asks the system for free ports on a loopback address of this process. None is given out twice.
 *
 * @param count - number of ports
 * @returns addresses as `IP:PORT`
 */
export async function reserveAddresses (count: number): Promise<readonly string[]> {
  const addresses: string[] = []
  while (addresses.length < count) {
    const server = createServer()
    server.listen(0, reservedHost)
    await once(server, 'listening')
    const info = server.address()
    const closed = once(server, 'close')
    server.close()
    await closed
    const address = info !== null && typeof info === 'object' ? `${reservedHost}:${info.port}` : undefined
    if (address === undefined || reserved.has(address)) continue
    reserved.add(address)
    addresses.push(address)
  }
  return addresses
}

/**
 * Starts processes and ends all of them when it is closed, or when this process ends for any
 * reason but SIGKILL. Settings, logs and records go to a temporary folder that is removed.
 */
export class ProcessLauncher {
  readonly folder = mkdtempSync(join(tmpdir(), 'sesamereel-'))
  readonly #processes = new Map<string, LaunchedProcess>()
  readonly #endAtExit = (): void => {
    this.#endAll()
    rmSync(this.folder, { recursive: true, force: true })
  }

  readonly #endAtSignal = (): void => { process.exit(130) }

  constructor () {
    process.on('exit', this.#endAtExit)
    process.on('SIGINT', this.#endAtSignal)
    process.on('SIGTERM', this.#endAtSignal)
  }

  /**
   * Starts a stand-in and waits until it is ready.
   *
   * @param name - unique name of the process
   * @param kind - kind of stand-in
   */
  async startStandIn (name: string, kind: string, settings: object): Promise<LaunchedProcess> {
    const child = this.#spawn(name, [programs.standIn, kind, this.writeSettings(name, settings)], ['pipe', 'pipe'])
    const lines = createInterface({ input: child.stdout! })
    const ready = Promise.race([once(lines, 'line'), once(child, 'exit').then(() => undefined)])
    const line = await Promise.race([ready, delay(readyTimeoutMs, undefined, { ref: false })]) as [string] | undefined
    if (line === undefined) throw new Error(`${name} did not become ready:\n${this.readLog(name)}`)
    const { addresses } = JSON.parse(line[0]) as { addresses: Record<string, string> }
    return this.#add(name, child, addresses)
  }

  /**
   * Starts any program of Node.js without waiting for it.
   *
   * @param name - unique name of the process
   * @param args - script and its arguments
   */
  startProgram (name: string, args: readonly string[]): LaunchedProcess {
    return this.#add(name, this.#spawn(name, args, ['ignore', 'ignore']), {})
  }

  /**
   * Runs a program to its end and collects its output.
   *
   * @param args - script and its arguments
   * @param environment - variables added to those of this process
   * @param timeoutMs - the program is killed after this time
   * @returns exit code and both outputs
   */
  async runProgram (args: readonly string[], environment: Readonly<Record<string, string>> = {}, timeoutMs = 30_000): Promise<{ code: number | null, stdout: string, stderr: string }> {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'], timeout: timeoutMs, killSignal: 'SIGKILL', env: { ...process.env, ...environment } })
    let stdout = ''
    let stderr = ''
    child.stdout.on('data', chunk => { stdout += String(chunk) })
    child.stderr.on('data', chunk => { stderr += String(chunk) })
    const [code] = await once(child, 'close') as [number | null]
    return { code, stdout, stderr }
  }

  /**
   * Writes a settings file for a process.
   *
   * @returns the path of the file
   */
  writeSettings (name: string, settings: object): string {
    const path = join(this.folder, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings, undefined, 2))
    return path
  }

  /**
   * Finds the process id of a program.
   *
   * @throws an error when no such process was started
   */
  getPid (name: string): number {
    const pid = this.#processes.get(name)?.child.pid
    if (pid === undefined) throw new Error(`no process ${name}`)
    return pid
  }

  /**
   * Reads what a process wrote to its log.
   */
  readLog (name: string): string {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8')
  }

  has (name: string): boolean {
    const child = this.#processes.get(name)?.child
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /**
   * Sends a signal to a process that is still alive.
   */
  sendSignal (name: string, signal: NodeJS.Signals): void {
    if (this.has(name)) this.#processes.get(name)!.child.kill(signal)
  }

  /**
   * Waits until a process has ended.
   *
   * @param timeoutMs - after this time the process is killed
   * @returns how it ended; signal SIGKILL when it did not end in time
   */
  async waitForEnd (name: string, timeoutMs: number): Promise<ProcessEnd> {
    const launched = this.#processes.get(name)
    if (launched === undefined) throw new Error(`no process ${JSON.stringify(name)} was started`)
    const timer = setTimeout(() => { this.sendSignal(name, 'SIGKILL') }, timeoutMs)
    const end = await launched.ended
    clearTimeout(timer)
    return end
  }

  /**
   * Ends all processes and removes the temporary folder.
   *
   * @param keepFolder - keeps settings, logs and records, to look into a failure
   */
  async close (keepFolder = false): Promise<void> {
    this.#endAll()
    await Promise.all([...this.#processes.values()].map(({ ended }) => ended))
    process.off('exit', this.#endAtExit)
    process.off('SIGINT', this.#endAtSignal)
    process.off('SIGTERM', this.#endAtSignal)
    if (!keepFolder) rmSync(this.folder, { recursive: true, force: true })
  }

  #spawn (name: string, args: readonly string[], stdio: ['pipe' | 'ignore', 'pipe' | 'ignore']): ChildProcess {
    const log = openSync(join(this.folder, `${name}.log`), 'a')
    const child = spawn(process.execPath, args, { stdio: [stdio[0], stdio[1] === 'ignore' ? log : 'pipe', log] })
    closeSync(log)
    return child
  }

  #add (name: string, child: ChildProcess, addresses: Readonly<Record<string, string>>): LaunchedProcess {
    const ended = child.exitCode !== null || child.signalCode !== null
      ? Promise.resolve({ code: child.exitCode, signal: child.signalCode })
      : once(child, 'exit').then(([code, signal]) => ({ code, signal }) as ProcessEnd)
    const launched = { name, child, addresses, ended }
    this.#processes.set(name, launched)
    return launched
  }

  #endAll (): void {
    // SIGKILL also ends a process that is stopped by SIGSTOP.
    for (const { child } of this.#processes.values()) child.kill('SIGKILL')
  }
}

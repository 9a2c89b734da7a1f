import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as delay } from 'node:timers/promises'
import { programs } from './programs.js'

/** Time in milliseconds within which a stand-in must be ready; allows for a busy machine. */
const readyTimeoutMs = 20_000

/** How a process ended: by its exit code or by a signal. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process that the launcher started. */
export interface LaunchedProcess {
  readonly name: string
  readonly child: ChildProcess
  /** Addresses that a stand-in printed by their names; empty for other programs. */
  readonly addresses: Readonly<Record<string, string>>
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>
}

/** Exit code and output of a program that ran to its end. */
export interface ProgramOutput {
  /** Null when the program was killed. */
  readonly code: number | null
  readonly stdout: string
  readonly stderr: string
}

/** Exit code after SIGINT or SIGTERM. */
const interruptedExitCode = 130

/**
 * Starts processes and ends all of them when it is closed, or when this process ends for any
 * reason but SIGKILL. Settings, logs and records go to a temporary folder that is removed then.
 */
export class ProcessLauncher {
  /** Temporary folder for settings, logs and records. */
  readonly folder = mkdtempSync(join(tmpdir(), 'sesamereel-'))
  readonly #processes = new Map<string, LaunchedProcess>()
  readonly #endAtExit = (): void => {
    this.#endAll()
    rmSync(this.folder, { recursive: true, force: true })
  }

  readonly #endAtSignal = (): void => { process.exit(interruptedExitCode) }

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
   * @param settings - settings of the stand-in
   * @throws Error with the log of the stand-in when it is not ready in time
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
   * Starts a Node.js program and does not wait until it is ready.
   *
   * @param name - unique name of the process
   * @param args - script and its arguments
   */
  startProgram (name: string, args: readonly string[]): LaunchedProcess {
    return this.#add(name, this.#spawn(name, args, ['ignore', 'ignore']), {})
  }

  /**
   * Runs a Node.js program to its end and collects its output.
   *
   * @param args - script and its arguments
   * @param environment - variables added to those of this process
   * @param timeoutMs - the program is killed after this time
   * @returns the exit code and both outputs
   */
  async runProgram (args: readonly string[], environment: Readonly<Record<string, string>> = {}, timeoutMs = 30_000): Promise<ProgramOutput> {
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
   * @param name - name of the process
   * @param settings - content of the file
   * @returns the path of the file
   */
  writeSettings (name: string, settings: object): string {
    const path = join(this.folder, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings, undefined, 2))
    return path
  }

  /**
   * Returns the process id of a process.
   *
   * @throws Error when no such process was started
   */
  getPid (name: string): number {
    const pid = this.#processes.get(name)?.child.pid
    if (pid === undefined) throw new Error(`no process ${name}`)
    return pid
  }

  /** Reads the log of a process: its standard error and, except for a stand-in, its standard output. */
  readLog (name: string): string {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8')
  }

  /** Tells whether a process was started and has not ended. */
  has (name: string): boolean {
    const child = this.#processes.get(name)?.child
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /** Sends a signal to a process; does nothing when it has ended. */
  sendSignal (name: string, signal: NodeJS.Signals): void {
    if (this.has(name)) this.#processes.get(name)!.child.kill(signal)
  }

  /**
   * Waits until a process has ended.
   *
   * @param timeoutMs - time after which the process is killed
   * @returns how it ended; signal SIGKILL when it did not end in time
   * @throws Error when no such process was started
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
   * @param keepFolder - keeps the folder, to investigate a failure
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

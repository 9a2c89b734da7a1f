import { type IssueReply, type JobReply } from '@sesamereel/protocol'
import { createResultError, emptyConfiguration, type JobSpec } from '@sesamereel/state'
import { CallerService, createApiServer, type HttpListener, type ListEdit, MonitorService, OperatorService, type Role, TokenMatcher } from '../src/index.js'

export const callerToken = 'caller-token-0123456789'
export const operatorToken = 'operator-token-0123456789'

/** Runs the API server with services that record the jobs, edits and errors that reach them. */
export class FakeServices {
  readonly submittedJobs: JobSpec[] = []
  readonly edits: ListEdit[] = []
  readonly errors: unknown[] = []
  readonly #listener: HttpListener
  address = ''

  constructor (headerTimeoutMs = 5_000) {
    const { submittedJobs, edits, errors } = this
    const running = (key: string): JobReply => ({ kind: 'state', state: { state: 'running', key, done: 0, total: 1 } })
    class Callers extends CallerService {
      override async issueKeys (): Promise<IssueReply> { return { kind: 'issued', keys: ['d.0.abcdefgh.0'], expiresInMs: 1 } }
      override async fetchJob (key: string): Promise<JobReply> { return running(key) }
      override async cancelJob (key: string): Promise<JobReply> { return running(key) }
      override async submitJob (spec: JobSpec): Promise<JobReply> {
        const known = submittedJobs.find(({ key }) => key === spec.key)
        if (known !== undefined && JSON.stringify(known) !== JSON.stringify(spec)) return { kind: 'refused', error: createResultError('KeyReused', spec.key, 'key') }
        submittedJobs.push(spec)
        return running(spec.key)
      }
    }
    class Operators extends OperatorService {
      override async readLists (): Promise<typeof emptyConfiguration> { return emptyConfiguration }
      override async editList (edit: ListEdit): Promise<{ kind: 'applied', version: number, changes: [], dryRun: boolean }> {
        edits.push(edit)
        return { kind: 'applied', version: 1, changes: [], dryRun: edit.dryRun }
      }

      override readStatus (): unknown { return {} }
    }
    class Monitor extends MonitorService {
      override async renderMetrics (): Promise<string> { return '' }
      override explainNotReady (): string | undefined { return undefined }
      override findTrace (): readonly unknown[] { return [] }
      override observeRequest (): void {}
      override observeError (route: string, error: unknown): void { errors.push(error) }
    }
    this.#listener = createApiServer({
      address: '127.0.0.1:0',
      tokens: new TokenMatcher<Role>([
        { token: callerToken, value: { kind: 'caller', customers: ['kalibra'] } },
        { token: operatorToken, value: { kind: 'operator' } }
      ]),
      callerService: new Callers(),
      operatorService: new Operators(),
      monitorService: new Monitor(),
      limits: { maxConnections: 100, headerTimeoutMs, requestTimeoutMs: 2 * headerTimeoutMs, maxHeaderBytes: 16 * 1024 }
    })
  }

  async start (): Promise<this> {
    this.address = await this.#listener.listen()
    return this
  }

  async stop (): Promise<void> {
    await this.#listener.close(100)
  }

  /** Sends a request with a text body and parses the reply. */
  async send (method: string, path: string, body?: string, token = callerToken): Promise<{ readonly status: number, readonly body: Record<string, unknown> }> {
    const response = await fetch(`http://${this.address}${path}`, { method, headers: { authorization: `Bearer ${token}` }, ...(body === undefined ? {} : { body }) })
    return { status: response.status, body: JSON.parse(await response.text()) as Record<string, unknown> }
  }
}

import { setTimeout as pause } from 'node:timers/promises'
import { type AllowedCustomers, type JobReply, maxPeerWaitMs } from '@sesamereel/protocol'
import { createResultError, type JobSpec } from '@sesamereel/state'
import { type PeerClients, type PeerResult } from '@sesamereel/transport'

/** Delay in milliseconds before a request to an owner is repeated. */
const retryDelayMs = 50

/** Maximum number of attempts for one request to an owner. The requests are idempotent. */
const maxOwnerAttempts = 2

/** Forwards job requests to the owner, the instance that issued the key of the job. */
export class JobForwarder {
  readonly #peers: PeerClients
  readonly #isLeaving: () => boolean

  /** @param isLeaving - tells whether this instance is leaving; waits for answers then end early */
  constructor (peers: PeerClients, isLeaving: () => boolean) {
    this.#peers = peers
    this.#isLeaving = isLeaving
  }

  /**
   * Submits a job to its owner and waits for the answer.
   *
   * @param address - peer address of the owner
   * @param waitMs - longest wait for the answer in milliseconds
   * @returns the latest state of the job, or a refusal with `NotSent` when the owner never received the request
   */
  async submitJob (address: string, spec: JobSpec, waitMs: number, traceparent: string): Promise<JobReply> {
    const deadline = performance.now() + waitMs
    const submission = { spec: { ...spec, tasks: [...spec.tasks] }, traceparent }
    const first = await this.#callOwner(async () => await this.#peers.submitJob(address, { ...submission, waitMs: clampWait(waitMs) }))
    if (first.kind === 'not-sent') return refuse('NotSent', spec.key, first.message)
    if (first.kind === 'unknown') return refuse('OutcomeUnknown', spec.key, first.message)
    return await this.#waitForAnswer(first.value, deadline, address, spec.key, [spec.customer], traceparent)
  }

  /**
   * Reads the state of a job from its owner and waits for the answer.
   *
   * @param address - peer address of the owner
   * @param waitMs - longest wait for the answer in milliseconds
   */
  async fetchJob (address: string, key: string, customers: AllowedCustomers, waitMs: number, traceparent: string): Promise<JobReply> {
    const deadline = performance.now() + waitMs
    const request = { key, customers: copyCustomers(customers), traceparent }
    const first = await this.#callOwner(async () => await this.#peers.fetchJob(address, { ...request, waitMs: clampWait(waitMs) }))
    if (first.kind !== 'replied') return refuse('OutcomeUnknown', key, first.message)
    return await this.#waitForAnswer(first.value, deadline, address, key, customers, traceparent)
  }

  /**
   * Cancels a job at its owner.
   *
   * @param address - peer address of the owner
   */
  async cancelJob (address: string, key: string, customers: AllowedCustomers, traceparent: string): Promise<JobReply> {
    const result = await this.#callOwner(async () => await this.#peers.cancelJob(address, { key, customers: copyCustomers(customers), traceparent }))
    return result.kind === 'replied' ? result.value : refuse('OutcomeUnknown', key, result.message)
  }

  /** Splits a long wait into several requests, so that an unresponsive connection is detected within seconds. */
  async #waitForAnswer (first: JobReply, deadline: number, address: string, key: string, customers: AllowedCustomers, traceparent: string): Promise<JobReply> {
    let reply = first
    while (reply.kind === 'state' && reply.state.state === 'running') {
      const remainingMs = deadline - performance.now()
      if (remainingMs < 1 || this.#isLeaving()) break
      const request = { key, customers: copyCustomers(customers), waitMs: clampWait(remainingMs), traceparent }
      const next = await this.#callOwner(async () => await this.#peers.fetchJob(address, request))
      if (next.kind !== 'replied') return refuse('OutcomeUnknown', key, next.message)
      reply = next.value
    }
    return reply
  }

  /**
   * Sends a request, and repeats it when no reply arrives. If an earlier attempt may have reached
   * the owner, the outcome stays unknown even when the repeated attempt was not sent.
   */
  async #callOwner (sendRequest: () => Promise<PeerResult<JobReply>>): Promise<PeerResult<JobReply>> {
    let result = await sendRequest()
    for (let attempts = 1; attempts < maxOwnerAttempts && result.kind !== 'replied'; attempts++) {
      await pause(retryDelayMs)
      const next = await sendRequest()
      result = next.kind === 'not-sent' && result.kind === 'unknown' ? result : next
    }
    return result
  }
}

function refuse (name: 'NotSent' | 'OutcomeUnknown', key: string, message: string): JobReply {
  return { kind: 'refused', error: createResultError(name, `the owner of key ${key}: ${message}`) }
}

function clampWait (waitMs: number): number {
  return Math.floor(Math.max(0, Math.min(waitMs, maxPeerWaitMs)))
}

function copyCustomers (customers: AllowedCustomers): '*' | string[] {
  return customers === '*' ? '*' : [...customers]
}

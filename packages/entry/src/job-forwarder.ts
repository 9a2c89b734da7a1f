import { setTimeout as pause } from 'node:timers/promises'
import { type AllowedCustomers, type JobReply, maxPeerWaitMs } from '@sesamereel/protocol'
import { createResultError, type JobSpec } from '@sesamereel/state'
import { type PeerClients, type PeerResult } from '@sesamereel/transport'

/** Pause in milliseconds before a request to an owner is sent again. */
const retryPauseMs = 50

/** Tries of one request to an owner; all of them are idempotent. */
const ownerTries = 2

/** Carries requests about jobs to the instance that issued their key. */
export class JobForwarder {
  readonly #peers: PeerClients
  readonly #isLeaving: () => boolean

  /** @param isLeaving - whether the planned stop has begun; waits for answers then end early */
  constructor (peers: PeerClients, isLeaving: () => boolean) {
    this.#peers = peers
    this.#isLeaving = isLeaving
  }

  /**
   * Submits a job to its owner and waits for the answer.
   *
   * @param address - peer address of the owner
   */
  async submitJob (address: string, spec: JobSpec, waitMs: number, traceparent: string): Promise<JobReply> {
    const until = performance.now() + waitMs
    const submission = { spec: { ...spec, tasks: [...spec.tasks] }, traceparent }
    const first = await this.#tryOwner(async () => await this.#peers.submitJob(address, { ...submission, waitMs: clampWait(waitMs) }))
    if (first.kind === 'not-sent') return refuse('NotSent', spec.key, first.message)
    if (first.kind === 'unknown') return refuse('OutcomeUnknown', spec.key, first.message)
    return await this.#waitOn(first.value, until, address, spec.key, [spec.customer], traceparent)
  }

  /**
   * Reads the state of a job from its owner and waits for the answer.
   *
   * @param address - peer address of the owner
   */
  async fetchJob (address: string, key: string, customers: AllowedCustomers, waitMs: number, traceparent: string): Promise<JobReply> {
    const until = performance.now() + waitMs
    const request = { key, customers: copyCustomers(customers), traceparent }
    const first = await this.#tryOwner(async () => await this.#peers.fetchJob(address, { ...request, waitMs: clampWait(waitMs) }))
    if (first.kind !== 'replied') return refuse('OutcomeUnknown', key, first.message)
    return await this.#waitOn(first.value, until, address, key, customers, traceparent)
  }

  /**
   * Cancels a job at its owner.
   *
   * @param address - peer address of the owner
   */
  async cancelJob (address: string, key: string, customers: AllowedCustomers, traceparent: string): Promise<JobReply> {
    const result = await this.#tryOwner(async () => await this.#peers.cancelJob(address, { key, customers: copyCustomers(customers), traceparent }))
    return result.kind === 'replied' ? result.value : refuse('OutcomeUnknown', key, result.message)
  }

  /** Long waits are made of several requests, so that a silent connection is noticed within seconds. */
  async #waitOn (first: JobReply, until: number, address: string, key: string, customers: AllowedCustomers, traceparent: string): Promise<JobReply> {
    let reply = first
    while (reply.kind === 'state' && reply.state.state === 'running') {
      const left = until - performance.now()
      if (left < 1 || this.#isLeaving()) break
      const request = { key, customers: copyCustomers(customers), waitMs: clampWait(left), traceparent }
      const next = await this.#tryOwner(async () => await this.#peers.fetchJob(address, request))
      if (next.kind !== 'replied') return refuse('OutcomeUnknown', key, next.message)
      reply = next.value
    }
    return reply
  }

  /** After one try that may have been received, a later one that was not sent proves nothing. */
  async #tryOwner (call: () => Promise<PeerResult<JobReply>>): Promise<PeerResult<JobReply>> {
    let result = await call()
    for (let tries = 1; tries < ownerTries && result.kind !== 'replied'; tries++) {
      await pause(retryPauseMs)
      const next = await call()
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

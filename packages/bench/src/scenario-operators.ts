import { setTimeout as delay } from 'node:timers/promises'
import { type LimitList } from '@sesamereel/state'
import { type CallerSession, type Destination } from './caller-session.js'
import { type HttpCallResult } from './http-call.js'
import { type ScenarioProcesses } from './scenario-processes.js'
import { type StepValue } from './scenario-schema.js'

const editRetryMs = 500

/** Reads and edits the lists as the operators of a scenario. */
export class ScenarioOperators {
  readonly #session: CallerSession
  readonly #processes: ScenarioProcesses

  constructor (session: CallerSession, processes: ScenarioProcesses) {
    this.#session = session
    this.#processes = processes
  }

  /**
   * Changes the limits of the named plans. Gives up without an error after the given number of
   * tries: the step `expect` checks the number of accepted edits.
   */
  async edit ({ via, limits, tries }: StepValue<'edit'>): Promise<void> {
    for (let i = 0; i < tries; i++) {
      const to = this.#processes.findEntry(via)
      const reply = await this.#editLimits(to, current => ({ ...current, ...limits }))
      if (reply?.kind === 'answered' && reply.status === 200) return
      if (i + 1 < tries) await delay(editRetryMs)
    }
  }

  /**
   * Makes conflicting edits at the same time: in each round, each operator sets the limit of one
   * plan to a value of its own, based on the version that it has just read.
   */
  async race ({ via, plan, rounds }: StepValue<'race'>): Promise<void> {
    for (let round = 0; round < rounds; round++) {
      await Promise.all(via.map(async (seat, index) => {
        await this.#editLimits(this.#processes.findEntry(seat), limits => {
          const limit = limits[plan]!
          return { ...limits, [plan]: { ...limit, parallel: limit.parallel + 1 + index } }
        })
      }))
    }
  }

  /**
   * Reads the lists through each of the seats.
   */
  async readLists ({ via }: StepValue<'readLists'>): Promise<void> {
    await Promise.all(via.map(async seat => await this.#session.readLists(this.#processes.findEntry(seat))))
  }

  /** Edits the limits once; returns undefined when the current lists could not be read. */
  async #editLimits (to: Destination, change: (limits: LimitList) => LimitList): Promise<HttpCallResult | undefined> {
    const lists = await this.#session.readLists(to)
    if (lists.kind !== 'answered' || lists.status !== 200) return undefined
    const { version, limits } = lists.body as { version: number, limits: LimitList }
    return await this.#session.editList(to, 'limits', version, change(limits))
  }
}

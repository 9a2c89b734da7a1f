import { type DispatchState } from './dispatch-state.js'
import { type DispatcherOptions } from './dispatcher.js'
import { EntryRequests } from './entry-requests.js'
import { type SessionContexts } from './session-contexts.js'
import { type SessionObserver } from './session-observer.js'
import { TargetSession } from './target-session.js'
import { type TargetInfo } from './target-types.js'

/** What the sessions of a dispatcher depend on. */
export type TargetSessionsOptions = Pick<DispatcherOptions, 'clock' | 'limits' | 'connector' | 'isListComplete' | 'measureListAgeMs' | 'requestList'> & {
  readonly contexts: SessionContexts
  readonly observer: SessionObserver
  /** Returns the dispatcher's token. */
  readonly readToken: () => number
}

/** Keeps one dispatcher's sessions with the domain's targets in line with the list of targets. */
export class TargetSessions {
  readonly #state: DispatchState
  readonly #options: TargetSessionsOptions
  readonly #entryRequests = new EntryRequests()
  readonly #startedAt: number
  #listedIds: ReadonlySet<string> = new Set()
  /** Whether the list has named every target that an earlier dispatcher may have used, at a time since this one began. */
  #hasCompleteList = false

  /** @param state - receives the sessions */
  constructor (state: DispatchState, options: TargetSessionsOptions) {
    this.#state = state
    this.#options = options
    this.#startedAt = state.now()
  }

  /** Applies the newest list of the domain's targets; unlisted targets drain until their runs have ended. */
  update (targets: readonly TargetInfo[]): void {
    this.#listedIds = new Set(targets.map(target => target.id))
    for (const target of targets) this.#updateTarget(target)
    for (const [id, session] of this.#state.sessions) {
      if (!this.#listedIds.has(id) && !session.info.draining) session.updateInfo({ ...session.info, draining: true })
    }
    this.dropUnlisted()
  }

  /** Drops targets that are no longer listed once their runs have ended. */
  dropUnlisted (): void {
    for (const [id, session] of this.#state.sessions) {
      if (!this.#listedIds.has(id) && session.runs.size === 0) this.#drop(id, session)
    }
  }

  /** Reads the list soon while the entry of a restarted target is awaited. */
  requestEntries (now: number): void {
    const awaited = this.#list().filter(session => session.awaitsEntry && !session.isSilent)
    const awaitedSince = awaited.length > 0 ? Math.max(...awaited.map(session => session.bornSeenAt)) : undefined
    if (this.#entryRequests.shouldRead(now, awaitedSince)) this.#options.requestList?.()
  }

  /** @returns whether each target that an earlier dispatcher may have used has answered a poll since this one began */
  haveAllAnswered (): boolean {
    if (!this.#hasCompleteList) {
      const isCurrent = this.#state.now() - this.#options.measureListAgeMs() >= this.#startedAt
      if (!isCurrent || !this.#options.isListComplete()) return false
      this.#hasCompleteList = true
    }
    const sessions = this.#list()
    return sessions.length > 0 && sessions.every(session => session.isSeen)
  }

  close (): void {
    for (const session of this.#list()) session.close()
  }

  #list (): readonly TargetSession[] {
    return [...this.#state.sessions.values()]
  }

  #updateTarget (target: TargetInfo): void {
    const session = this.#state.sessions.get(target.id)
    if (session !== undefined && session.info.address === target.address) {
      if (target.draining && !session.info.draining) this.#state.log('belief', 'target-draining', { target: target.id, revision: target.revision })
      const { awaitsEntry } = session
      session.updateInfo(target)
      if (awaitsEntry && !session.awaitsEntry) this.#state.log('belief', 'target-entry-known', { target: target.id, revision: target.revision, bornMs: target.bornMs, awaitedMs: Math.round(this.#state.now() - session.bornSeenAt) })
      return
    }
    if (session !== undefined) this.#retainFormer(session)
    const { connector, clock, limits, contexts, observer, readToken } = this.#options
    const added = new TargetSession(target, connector.connect(target), readToken, clock, limits, observer, contexts.find(target.id))
    this.#state.sessions.set(target.id, added)
    added.start()
  }

  /** Keeps the session with a target's former address until its runs have ended, as the process there may still live. */
  #retainFormer (session: TargetSession): void {
    session.updateInfo({ ...session.info, draining: true })
    this.#state.sessions.set(`${session.info.id} at ${session.info.address}`, session)
  }

  #drop (id: string, session: TargetSession): void {
    this.#state.sessions.delete(id)
    session.close()
    this.#state.log('belief', 'target-gone', { target: id, runs: session.runs.size })
  }
}

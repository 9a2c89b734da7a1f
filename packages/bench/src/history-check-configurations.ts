import { isDeepStrictEqual } from 'node:util'
import { computeInForceBy } from './history-bounds.js'
import { collectBy } from './history-grouping.js'
import { type CallRecord, type ConfigurationRecord, type History, type Violation } from './history-records.js'
import { isSuccessful, readReplyBody } from './history-replies.js'

type CommittedVersions = ReadonlyMap<number, ConfigurationRecord>

/** A committed version and the latest time at which it must be in force. */
interface VersionDeadline {
  readonly version: number
  readonly committedAt: number
  readonly inForceBy: number
}

/**
 * Checks I8: configuration versions never decrease, have one content each, revert no accepted edit,
 * and come into force within the bound.
 *
 * @returns violations of the commits, then of the reads by instance, then of the accepted edits
 */
export function checkConfigurations (history: History): readonly Violation[] {
  const committed = [...history.configurations].sort((a, b) => a.at - b.at)
  const byVersion: CommittedVersions = new Map(committed.map(configuration => [configuration.version, configuration]))
  const deadlines = committed.map(({ at, version }) => ({ version, committedAt: at, inForceBy: computeInForceBy(history.faults, at) }))
  const reads = history.calls.filter(call => call.op === 'read-lists' && isSuccessful(call))
  const readsByInstance = [...collectBy(reads, call => call.via).values()]
  return [
    ...checkCommits(committed),
    ...readsByInstance.flatMap(calls => calls.flatMap(call => checkRead(call, calls, byVersion, deadlines))),
    ...checkAcceptedEdits(history, byVersion)
  ]
}

function checkCommits (committed: readonly ConfigurationRecord[]): readonly Violation[] {
  const violations: Violation[] = []
  for (const [index, next] of committed.entries()) {
    const previous = committed[index - 1]
    if (previous === undefined) continue
    if (next.version !== previous.version + 1) {
      violations.push({ invariant: 'I8', message: `version ${next.version} was committed after version ${previous.version}` })
    } else if (!isDeepStrictEqual(next.plans, previous.plans) && !isDeepStrictEqual(next.limits, previous.limits)) {
      violations.push({ invariant: 'I8', message: `edit ${next.editId} changed one list and reverted the other at version ${next.version}` })
    }
  }
  return violations
}

function checkRead (call: CallRecord, callsOfInstance: readonly CallRecord[], byVersion: CommittedVersions, deadlines: readonly VersionDeadline[]): readonly Violation[] {
  const violations: Violation[] = []
  const { via, sentAt } = call
  const { version, plans, limits } = readReplyBody(call)!
  const content = byVersion.get(Number(version))
  if (content !== undefined && !(isDeepStrictEqual(content.plans, plans) && isDeepStrictEqual(content.limits, limits))) {
    violations.push({ invariant: 'I8', message: `${via} shows version ${Number(version)} with another content than was committed` })
  }
  const inForce = readVersionInForce(call)
  const earlierReads = callsOfInstance.filter(({ at }) => at < sentAt)
  const highest = Math.max(0, ...earlierReads.map(readVersionInForce))
  if (inForce < highest) violations.push({ invariant: 'I8', message: `${via} reverted from version ${highest} to ${inForce}` })
  const due = deadlines.findLast(({ inForceBy }) => inForceBy < sentAt)
  if (due !== undefined && inForce < due.version) {
    violations.push({ invariant: 'I8', message: `${via} still applies version ${inForce} ${sentAt - due.committedAt} ms after version ${due.version} was committed` })
  }
  return violations
}

function checkAcceptedEdits (history: History, byVersion: CommittedVersions): readonly Violation[] {
  const violations: Violation[] = []
  for (const call of history.calls) {
    if (call.op !== 'edit' || !isSuccessful(call)) continue
    const version = Number(readReplyBody(call)?.version)
    const content = byVersion.get(version)
    if (content === undefined || content.at > call.at) {
      violations.push({ invariant: 'I8', message: `${call.via} accepted an edit as version ${version}, which the table service had not committed` })
    }
  }
  return violations
}

function readVersionInForce (call: CallRecord): number {
  const body = readReplyBody(call)
  return Number(body?.inForce ?? body?.version)
}

import { type Settings } from '@sesamereel/protocol'
import { type DomainSpec, type EntryProcess, tokens } from './cluster-model.js'

/**
 * Creates the settings of an entry instance.
 *
 * @param entry - the instance
 * @param domains - all failure domains of the cluster
 * @param platformAddress - address at which the instance reaches the platform
 */
export function createEntrySettings (entry: EntryProcess, domains: readonly DomainSpec[], platformAddress: string): Settings {
  return {
    domain: entry.domain,
    seat: entry.seat,
    topology: { domains: domains.map(({ name, seats }) => ({ name, seats })) },
    callerAddress: entry.callerAddress,
    peerAddress: entry.peerAddress,
    platform: { address: platformAddress },
    seedPeers: [],
    callers: [{ token: tokens.caller, customers: '*' }],
    operatorToken: tokens.operator,
    peerToken: tokens.peer,
    logLevel: 'info'
  }
}

import { type DispatcherMessage } from './messages.js'
import { type PeerStream } from './peer-streams.js'

/** The dispatchers in this process, which are reached without a network connection. */
export abstract class LocalDispatcherRegistry {
  /** @returns whether this process has a dispatcher of the domain */
  abstract hasDispatcher (domain: string): boolean
  /** @returns an in-process stream to the domain's local dispatcher, or undefined if there is none */
  abstract open (domain: string, onMessage: (message: DispatcherMessage) => void, onClose: (reason: string) => void): PeerStream | undefined
}

/** Receives what happens on a stream to another instance. */
export interface PeerHandler {
  readonly onMessage: (message: unknown) => void
  readonly onClose: (reason: string) => void
}

/** A two-way stream of messages to another instance. */
export interface PeerStream {
  readonly send: (message: unknown) => void
  readonly close: (reason: string) => void
}

/** Why no stream could be opened; a refused connection proves that no process listens there. */
export type PeerFailure = { readonly kind: 'refused' | 'unreachable', readonly message: string }

export type PeerOpenResult = { readonly kind: 'open', readonly stream: PeerStream } | PeerFailure

/** Opens streams to other instances. */
export abstract class PeerConnector {
  abstract open (address: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult>
}

/** Receives the messages and the end of a stream to another instance. */
export interface PeerHandler {
  readonly onMessage: (message: unknown) => void
  readonly onClose: (reason: string) => void
}

/** A bidirectional message stream to another instance. */
export interface PeerStream {
  readonly send: (message: unknown) => void
  readonly close: (reason: string) => void
}

/** A failure to open a stream; `refused` proves that no process listens at the address. */
export type PeerFailure = { readonly kind: 'refused' | 'unreachable', readonly message: string }

export type PeerOpenResult = { readonly kind: 'open', readonly stream: PeerStream } | PeerFailure

/** Opens streams to other instances. */
export abstract class PeerConnector {
  /** @param timeoutMs - time limit in milliseconds for opening the stream */
  abstract open (address: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult>
}

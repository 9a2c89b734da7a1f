import { PeerConnector, type PeerHandler, type PeerOpenResult } from '@sesamereel/fleet'
import { MessageStream, openSocket } from './message-stream.js'

/** Opens message streams to other instances over TCP. */
export class TcpPeerConnector extends PeerConnector {
  override async open (address: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult> {
    const socket = await openSocket(address, timeoutMs)
    if (typeof socket === 'string') return { kind: socket === 'ECONNREFUSED' ? 'refused' : 'unreachable', message: socket }
    return { kind: 'open', stream: new MessageStream(socket, handler) }
  }
}

import { type DispatcherConnection } from './dispatcher-connection.js'
import { type DispatcherMessage } from './messages.js'

/** Receives the state changes of connections, and the messages of the dispatchers. */
export abstract class DispatcherConnectionObserver {
  /**
   * Called when a dispatcher has accepted the connection.
   *
   * @param isNewDispatcher - whether its token differs from that of the last connection
   */
  abstract onConnected (connection: DispatcherConnection, isNewDispatcher: boolean): void
  /** Called when an accepted connection has closed. */
  abstract onDisconnected (connection: DispatcherConnection): void
  /** Called for each message that the connection does not handle itself. */
  abstract onDispatcherMessage (connection: DispatcherConnection, message: DispatcherMessage): void
  /** Called when a heartbeat reply has updated the dispatcher's load. */
  abstract onLoadChanged (connection: DispatcherConnection): void
}

/**
 * Message queue for an actor, an object whose state is changed only by its own handlers. A microtask
 * handles all messages that have been posted, one after the other, and then calls `settle` once, so
 * that work that depends on the resulting state is done once for the whole batch.
 */
export class Mailbox<M> {
  private messages: M[] = []
  private scheduled = false
  private stopped = false

  constructor (private readonly handle: (message: M) => void, private readonly settle: () => void) {}

  post (message: M): void {
    if (this.stopped) return
    this.messages.push(message)
    this.schedule()
  }

  /** Schedules a call of `settle` in a microtask, without a message. */
  schedule (): void {
    if (this.scheduled || this.stopped) return
    this.scheduled = true
    queueMicrotask(() => { this.processMessages() })
  }

  /** Drops all messages and ignores those posted later. */
  stop (): void {
    this.stopped = true
    this.messages = []
  }

  private processMessages (): void {
    this.scheduled = false
    const messages = this.messages
    this.messages = []
    for (const message of messages) {
      if (this.stopped) return
      this.handle(message)
    }
    if (!this.stopped) this.settle()
  }
}

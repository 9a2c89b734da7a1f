/**
 * Queue of messages for one task that owns its state. Messages are handled one after the other
 * in a microtask; when none is left, `settle` runs once, so that work that depends on the state
 * is done once for many messages.
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

  /** Runs `settle` soon, without a message. */
  schedule (): void {
    if (this.scheduled || this.stopped) return
    this.scheduled = true
    queueMicrotask(() => { this.run() })
  }

  /** Drops all messages; nothing is handled from now on. */
  stop (): void {
    this.stopped = true
    this.messages = []
  }

  private run (): void {
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

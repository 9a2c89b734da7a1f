/** Part of a process that is started before its dependents and stopped after them. */
export interface Component {
  readonly name: string
  readonly start?: () => Promise<void> | void
  readonly stop?: () => Promise<void> | void
}

/** Starts components in the order in which they were added, and stops them in reverse order. */
export class LifeCycle {
  readonly #components: Component[] = []
  readonly #started: Component[] = []
  readonly #reportError: (component: string, error: unknown) => void

  constructor (reportError: (component: string, error: unknown) => void) {
    this.#reportError = reportError
  }

  /** Adds a component; the components that it depends on must have been added before. */
  add (component: Component): void {
    this.#components.push(component)
  }

  /**
   * Starts all components. When one fails, those already started are stopped.
   *
   * @throws the error that the failed component threw
   */
  async start (): Promise<void> {
    for (const component of this.#components) {
      try {
        await component.start?.()
        this.#started.push(component)
      } catch (error) {
        await this.stop()
        throw error
      }
    }
  }

  /**
   * Stops the started components in reverse order. An error of one component is reported and
   * does not prevent the others from stopping.
   */
  async stop (): Promise<void> {
    while (this.#started.length > 0) {
      const component = this.#started.pop()!
      try {
        await component.stop?.()
      } catch (error) {
        this.#reportError(component.name, error)
      }
    }
  }
}

/** Something that is started before its dependents and stopped after them. */
export interface Component {
  readonly name: string
  readonly start?: () => Promise<void> | void
  readonly stop?: () => Promise<void> | void
}

/** Starts components in order and stops the started ones in reverse. */
export class LifeCycle {
  readonly #components: Component[] = []
  readonly #started: Component[] = []
  readonly #reportError: (component: string, error: unknown) => void

  constructor (reportError: (component: string, error: unknown) => void) {
    this.#reportError = reportError
  }

  /**
   * Adds a component after those that it depends on.
   */
  add (component: Component): void {
    this.#components.push(component)
  }

  /**
   * Starts all components; when one fails, those before it are stopped.
   *
   * @throws what the failed component threw
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
   * Stops the started components in reverse order. A component that fails to stop is reported
   * and doesn't keep the others from stopping.
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

/** Collects work that runs beside the steps of a scenario. */
export class BackgroundTasks {
  readonly #tasks: Array<Promise<void>> = []
  readonly #problems: string[]

  /**
   * @param problems - receives the failures of the tasks
   */
  constructor (problems: string[]) {
    this.#problems = problems
  }

  /**
   * Tracks a task that has begun. Its failure is reported as a problem.
   *
   * @param label - describes the task in a problem
   * @param task - the running task
   */
  add (label: string, task: Promise<void>): void {
    this.#tasks.push(task.catch((error: unknown) => { this.#problems.push(`${label}: ${String(error)}`) }))
  }

  /** Waits until all tasks that have been added so far have ended. */
  async wait (): Promise<void> {
    await Promise.all(this.#tasks)
  }
}

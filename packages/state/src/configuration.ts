import { type ResourceVector } from './resources.js'

/** First list of the operators: the plan that each customer holds. */
export type PlanList = Readonly<Record<string, string>>

/** Second list of the operators: what each plan may use. */
export type LimitList = Readonly<Record<string, ResourceVector>>

/** Both lists under one version, so that they can never disagree. */
export interface Configuration {
  /** Rises by one with each accepted edit; 0 before the first one. */
  readonly version: number
  /** Identifies the edit that made this version; resolves an edit whose reply was lost. */
  readonly editId: string
  readonly plans: PlanList
  readonly limits: LimitList
}

export const emptyConfiguration: Configuration = { version: 0, editId: '', plans: {}, limits: {} }

/**
 * Finds the limit of a customer.
 *
 * @returns the limit of the customer's plan, or undefined for an unknown customer
 */
export function findLimit (configuration: Configuration, customer: string): ResourceVector | undefined {
  if (!Object.hasOwn(configuration.plans, customer)) return undefined
  const plan = configuration.plans[customer]!
  return Object.hasOwn(configuration.limits, plan) ? configuration.limits[plan] : undefined
}

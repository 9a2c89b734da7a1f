import { type ResourceVector } from './resources.js'

/** The operators' plans list: the name of each customer's plan, by customer. */
export type PlanList = Readonly<Record<string, string>>

/** The operators' limits list: the most that a customer may use at a time, by plan. */
export type LimitList = Readonly<Record<string, ResourceVector>>

/** Both lists under one version, so that they are always consistent with each other. */
export interface Configuration {
  /** Increases by one with each accepted edit; 0 before the first one. */
  readonly version: number
  /** Identifies the edit that created this version; shows whether an edit whose reply was lost took effect. */
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

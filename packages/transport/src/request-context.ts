import { type AllowedCustomers, maxWaitMs, traceparentSchema } from '@sesamereel/protocol'
import { formatKey, parseKey } from '@sesamereel/state'
import type Koa from 'koa'
import { createRequestError } from './request-error.js'
import { type TokenMatcher } from './token-matcher.js'

/** What a bearer token allows. */
export type Role =
  | { readonly kind: 'caller', readonly customers: AllowedCustomers }
  | { readonly kind: 'operator' }

/**
 * Authenticates a caller by the token of the request.
 *
 * @returns the customers that the token may act for
 * @throws RequestError if the request has no token of a caller
 */
export function authenticateCaller (ctx: Koa.Context, tokens: TokenMatcher<Role>): AllowedCustomers {
  const role = tokens.matchHeader(ctx.get('authorization'))
  if (role?.kind !== 'caller') throw createRequestError('Unauthorized', 'the request has no token of a caller', 'authorization')
  return role.customers
}

/**
 * Authenticates an operator by the token of the request.
 *
 * @throws RequestError if the request does not have the operators' token
 */
export function authenticateOperator (ctx: Koa.Context, tokens: TokenMatcher<Role>): void {
  if (tokens.matchHeader(ctx.get('authorization'))?.kind !== 'operator') throw createRequestError('Unauthorized', 'the request does not have the token of operators', 'authorization')
}

/**
 * Checks that a token may act for a customer.
 *
 * @throws RequestError if it may not
 */
export function checkCustomerAllowed (customers: AllowedCustomers, customer: string): void {
  if (customers !== '*' && !customers.includes(customer)) throw createRequestError('UnknownCustomer', `the token may not act for customer ${JSON.stringify(customer)}`, 'customer')
}

/**
 * Checks the format of a job key.
 *
 * @returns the key unchanged
 * @throws RequestError for a text that no instance would issue
 */
export function checkKeyFormat (key: string, field: string): string {
  const parsed = parseKey(key)
  // Only the canonical form is valid: "007" is not accepted in place of "7".
  if (parsed === undefined || formatKey(parsed) !== key) throw createRequestError('KeyMalformed', `${JSON.stringify(key.slice(0, 100))} does not have the form DOMAIN.SEAT.INCARNATION.SEQUENCE`, field)
  return key
}

/**
 * Reads the query parameter `waitMs`.
 *
 * @returns the wait in milliseconds, 0 if the parameter is absent
 * @throws RequestError for other parameters and for anything but one whole number in the range
 */
export function readWaitMs (ctx: Koa.Context): number {
  const { waitMs, ...others } = ctx.query
  const unknown = Object.keys(others)[0]
  if (unknown !== undefined) throw createRequestError('MalformedRequest', `found the query parameter ${JSON.stringify(unknown.slice(0, 80))}, expected only waitMs`, unknown.slice(0, 80))
  if (waitMs === undefined) return 0
  const value = typeof waitMs === 'string' && /^\d{1,6}$/.test(waitMs) ? Number(waitMs) : -1
  if (value < 0 || value > maxWaitMs) throw createRequestError('MalformedRequest', `waitMs: found ${JSON.stringify(waitMs).slice(0, 80)}, expected a whole number from 0 to ${maxWaitMs}`, 'waitMs')
  return value
}

/**
 * Reads the W3C trace context of a request. A malformed one is ignored, as the standard requires.
 *
 * @returns the value of the `traceparent` header, or undefined
 */
export function readTraceparent (ctx: Koa.Context): string | undefined {
  const parsed = traceparentSchema.safeParse(ctx.get('traceparent'))
  return parsed.success ? parsed.data : undefined
}

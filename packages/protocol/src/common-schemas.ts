import { z } from 'zod'

/** Name of a customer, a plan or a kind of task. */
export const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$/, 'expected 1 to 64 letters, digits, "_", "." or "-", starting with a letter or digit')

/** Name of a failure domain. */
export const domainNameSchema = z.string().regex(/^[a-z0-9-]{1,40}$/, 'expected 1 to 40 lower-case letters, digits or "-"')

/** `IP:PORT` with an IPv4 address or a bracketed IPv6 address. */
export const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected IP:PORT')

/** Non-negative whole number, such as an amount of a resource in the unit of its dimension. */
export const amountSchema = z.int().min(0).max(1e9)

export const demandSchema = z.strictObject({
  processors: amountSchema,
  memoryMb: amountSchema,
  accelerators: amountSchema
})

export const resourceVectorSchema = z.strictObject({
  processors: amountSchema,
  memoryMb: amountSchema,
  accelerators: amountSchema,
  parallel: amountSchema
})

/** Value of the `traceparent` header of W3C Trace Context. */
export const traceparentSchema = z.string().regex(/^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$/)

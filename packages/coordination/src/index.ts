export * from './attempt.js'
export * from './clock.js'
export * from './lease-ledger.js'
export * from './loans.js'

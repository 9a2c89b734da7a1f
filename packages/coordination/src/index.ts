export * from './attempt.js'
export * from './clock.js'
export * from './loans.js'

export * from './life-cycle.js'
export * from './instance.js'
export * from './load-settings.js'

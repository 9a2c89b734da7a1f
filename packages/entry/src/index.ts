export * from './instance.js'
export * from './load-settings.js'

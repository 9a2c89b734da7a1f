export { ProcessLauncher } from './launcher.js'

import { runProgram } from './program.js'

await runProgram(process.argv.slice(2))

#!/usr/bin/env node
import { createProcessContext } from './command-context.js'
import { runProgram } from './run-program.js'

process.exitCode = await runProgram(createProcessContext(), process.argv.slice(2))

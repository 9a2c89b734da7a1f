import { cac } from 'cac'
import { EmulatedFleet } from './emulated-fleet.js'
import { operatorFaultNames } from './operator-faults.js'
import { allFaultNames, defaultLoad, RandomFaultScenario, scenarioFaultNames } from './random-fault-scenario.js'

/** Time in milliseconds from the start of a fleet to the first job, in which it elects its dispatchers. */
const startMs = 3_500

const program = cac('play-days')
program.option('--seed <n>', 'Seed of the first scenario', { default: 1 })
program.option('--days <n>', 'Number of scenarios; the seed rises by one with each', { default: 10 })
program.option('--length <ms>', 'Time in milliseconds in which each scenario injects faults and submits jobs', { default: 20_000 })
program.option('--faults <names>', 'Faults to choose from, separated by commas', { default: scenarioFaultNames.join(',') })
program.option('--interval <ms>', 'Time in milliseconds between two jobs', { default: defaultLoad.submitIntervalMs })
program.option('--long <fraction>', 'Fraction of the jobs that consist of one long task', { default: defaultLoad.longJobProbability })
program.option('--resends <n>', 'How often a caller sends its job again', { default: defaultLoad.maxResends })
program.option('--drain-bound <ms>', 'Time in milliseconds after the request of a domain\'s drain from which no task may start there', { default: 5_000 })
program.option('--met-runs', 'Print the repeats that were sent while a run of their job still lived')
program.example('node packages/emulator/dist/src/play-days.js --seed 1 --days 100')
program.help()
const { options } = program.parse()
const chosenFaults = String(options.faults).split(',')
const faultNames = [...allFaultNames, ...operatorFaultNames].filter(name => chosenFaults.includes(name))
if (options.help !== true) await runScenarios(Number(options.seed), Number(options.days), Number(options.length))

async function runScenarios (firstSeed: number, scenarios: number, lengthMs: number): Promise<void> {
  let failedCount = 0
  for (let seed = firstSeed; seed < firstSeed + scenarios; seed++) {
    const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed, ...(faultNames.includes('drain-domain') ? { drainBoundMs: Number(options.drainBound) } : {}) })
    await fleet.advance(startMs)
    const result = await new RandomFaultScenario(fleet, faultNames, { submitIntervalMs: Number(options.interval), longJobProbability: Number(options.long), maxResends: Number(options.resends) }).run(lengthMs)
    const hasPassed = result.violations.length === 0 && result.isRecovered && result.reservedRuns === 0
    if (!hasPassed) failedCount++
    process.stdout.write(`seed ${seed}: ${hasPassed ? 'kept' : 'BROKEN'}, ${Math.round(result.completedFraction * 1_000) / 10}% served, ${result.faults.length} faults${fleet.drainHistory.count === 0 ? '' : `, ${fleet.drainHistory.count} drains`}${result.isRecovered ? '' : ', not recovered'}${result.reservedRuns === 0 ? '' : `, ${result.reservedRuns} runs reserved`}\n`)
    if (options.metRuns === true) for (const met of fleet.history.metRuns) process.stdout.write(`  the repeat of ${met.jobId} at ${met.repeatedAt} met a run at ${met.target}\n`)
    for (const violation of result.violations.slice(0, 5)) process.stdout.write(`  ${violation}\n`)
    if (!hasPassed) process.stdout.write(`  faults: ${result.faults.join(', ')}\n`)
  }
  process.stdout.write(`${scenarios - failedCount} passed, ${failedCount} failed\n`)
  process.exitCode = failedCount === 0 ? 0 : 1
}

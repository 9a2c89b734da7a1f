import { cac } from 'cac'
import { EmulatedFleet } from './emulated-fleet.js'
import { RandomFaultScenario } from './random-fault-scenario.js'

/** Time in milliseconds from the start of a fleet to the first job. */
const startMs = 3_500

const program = cac('play-days')
program.option('--seed <n>', 'First seed', { default: 1 })
program.option('--days <n>', 'Days with rising seeds', { default: 10 })
program.option('--length <ms>', 'Length of a day in milliseconds', { default: 20_000 })
program.example('node packages/emulator/dist/src/play-days.js --seed 1 --days 100')
program.help()
const { options } = program.parse()
if (options.help !== true) await playDays(Number(options.seed), Number(options.days), Number(options.length))

async function playDays (seed: number, days: number, lengthMs: number): Promise<void> {
  let broken = 0
  for (let day = seed; day < seed + days; day++) {
    const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed: day })
    await fleet.advance(startMs)
    const result = await new RandomFaultScenario(fleet).run(lengthMs)
    const isKept = result.violations.length === 0 && result.isRecovered && result.reservedRuns === 0
    if (!isKept) broken++
    process.stdout.write(`seed ${day}: ${isKept ? 'kept' : 'BROKEN'}, ${Math.round(result.completedFraction * 1_000) / 10}% served, ${result.faults.length} faults${result.isRecovered ? '' : ', not recovered'}${result.reservedRuns === 0 ? '' : `, ${result.reservedRuns} runs reserved`}\n`)
    for (const violation of result.violations.slice(0, 5)) process.stdout.write(`  ${violation}\n`)
  }
  process.stdout.write(`${days - broken} passed, ${broken} failed\n`)
  process.exitCode = broken === 0 ? 0 : 1
}

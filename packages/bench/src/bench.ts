import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { z } from 'zod'
import { faultNames } from './load-faults.js'
import { formatReport } from './load-format.js'
import { runBenchmark } from './load-run.js'

const policies = ['random', 'round-robin', 'least-outstanding', 'two-choices', 'late-binding', 'default'] as const

const optionsSchema = z.object({
  profile: z.enum(['kalibra', 'guild']).default('kalibra'),
  policy: z.enum(policies).default('default'),
  faults: z.enum(['none', 'mixed', ...faultNames]).default('none'),
  load: z.number().positive().max(2).default(0.7),
  seconds: z.int().min(1).max(600).default(30),
  warmup: z.int().min(0).max(120).default(10),
  seed: z.int().min(0).default(1),
  json: z.string().optional()
})

const cli = cac('npm run bench --')
cli.command('', 'Measure sesamereel under an open-loop load; see docs/measures.md')
  .option('--profile <name>', 'kalibra or guild (default: kalibra)')
  .option('--policy <name>', `${policies.join(', ')} (default: default)`)
  .option('--faults <name>', `none, mixed, ${faultNames.join(', ')} (default: none)`)
  .option('--load <fraction>', 'Load as a fraction of the capacity of all targets (default: 0.7)')
  .option('--seconds <s>', 'Length of the measurement in seconds (default: 30)')
  .option('--warmup <s>', 'Length of the warm-up before the measurement in seconds (default: 10)')
  .option('--seed <n>', 'Seed of the target speeds and the generated load (default: 1)')
  .option('--json <file>', 'Write the report to a file as JSON')
  .example('npm run bench -- --profile guild --load 0.9 --json guild.json')
  .action(async (flags: object) => {
    const parsed = optionsSchema.safeParse(flags)
    if (!parsed.success) {
      process.stderr.write(`${z.prettifyError(parsed.error)}\n`)
      process.exitCode = 2
      return
    }
    const { warmup, json, ...options } = parsed.data
    const report = await runBenchmark({ ...options, warmupSeconds: warmup }, line => { process.stderr.write(`${line}\n`) })
    if (json !== undefined) writeFileSync(json, `${JSON.stringify(report, undefined, 2)}\n`)
    process.stdout.write(`${formatReport(report).join('\n')}\n`)
  })
cli.help()
cli.parse(process.argv, { run: false })
if (cli.options['help'] !== true) await cli.runMatchedCommand()

import { cac, type CAC, type Command } from 'cac'
import { type ListName } from '@sesamereel/protocol'
import { type CheckFlags, runCheck } from './check-command.js'
import { type CommandContext } from './command-context.js'
import { runExplainResultCode } from './explain-command.js'
import { type ExplainFlags, isJobId, runExplainJob } from './explain-job-command.js'
import { type JobFlags, runCancel, runFetch, runSubmit } from './job-commands.js'
import { type ListFlags, runList } from './list-commands.js'
import { runStatus, type StatusFlags } from './status-command.js'

const exitCodeHelp = 'Exit codes: 0 success, 1 job failed, 2 invalid input, 3 refused, 4 outcome unknown,\n5 conflict, 6 no server reached, 7 still running, 130 interrupted. See docs/exit-codes.md.'

/**
 * Creates the command line parser. The action of each command returns a promise of the exit code.
 *
 * @param context - process facilities that the commands use
 * @returns the parser, to be parsed with `run: false`
 */
export function createCommandLine (context: CommandContext): CAC {
  const cli = cac('sesamereel')

  addConnection(cli.command('submit <file>', 'Submit the job in FILE ("-": standard input) and print its answer'))
    .option('--timeout <seconds>', 'Time to wait for the answer; the job itself goes on')
    .example('  sesamereel submit audit.json --server 10.0.1.4:7400\n  echo \'{"customer":"kalibra","tasks":[{"kind":"lookup","payload":{"meter":"W-311"},\n    "demand":{"processors":500,"memoryMb":256,"accelerators":0}}]}\' | sesamereel submit - --json')
    .action(async (file: string, flags: JobFlags) => await runSubmit(context, file, flags))

  addConnection(cli.command('fetch <key>', 'Wait for the answer of a job that was submitted earlier'))
    .option('--timeout <seconds>', 'Time to wait for the answer; 0 asks once')
    .example('  sesamereel fetch gent-1.0.k3j9x2ab.17')
    .action(async (key: string, flags: JobFlags) => await runFetch(context, key, flags))

  addConnection(cli.command('cancel <key>', 'Cancel a job; tasks that have started may have run'))
    .example('  sesamereel cancel gent-1.0.k3j9x2ab.17')
    .action(async (key: string, flags: JobFlags) => await runCancel(context, key, flags))

  addListCommand(cli, context, 'plans', 'customer and its plan')
  addListCommand(cli, context, 'limits', 'plan and its limits')

  cli.command('check', 'Check files without a server and show every problem at once')
    .option('--settings <file>', 'Settings of an instance; repeatable, then also compared with each other')
    .option('--plans <file>', 'Plans list')
    .option('--limits <file>', 'Limits list; with --plans, every plan must have a limit')
    .option('--job <file>', 'Job file')
    .option('--platform <file>', 'Settings file of the platform build; repeatable')
    .option('--deploy <file>', 'Deploy file of the platform build')
    .option('--configuration <file>', "Operator's configuration of the platform build")
    .option('--in-force <file>', 'Configuration in force; with --configuration, shows what differs')
    .option('--settings-targets <file>', 'JSON array of the values with which targets register themselves; with --configuration, every service must have a target')
    .option('--json', 'Print JSON')
    .example('  sesamereel check --settings gent-1.0.json --settings gent-1.1.json\n  sesamereel check --plans plans.json --limits limits.json\n  sesamereel check --configuration next.json --in-force config.json')
    .action(async (flags: CheckFlags) => await runCheck(context, flags))

  addConnection(cli.command('status', 'Show instances, targets, shares and configuration versions'))
    .option('--fleet <address>', 'Metrics address IP:PORT of an instance of the platform build; repeatable, the first that answers')
    .example('  sesamereel status --server 10.0.1.4:7400\n  sesamereel status --fleet 10.0.1.4:9464')
    .action(async (flags: StatusFlags) => await runStatus(context, flags))

  cli.command('explain [code]', 'Explain a result code by number or name, or a job of the platform build by its id; without one, list all codes')
    .option('--log <file>', 'Log of an instance, for a job; repeatable, "-" or none: standard input')
    .option('--json', 'Print JSON, for a job')
    .example('  sesamereel explain 300\n  sesamereel explain KeyExpired\n  sesamereel explain 5c0e7a21d94b36f8 --log edge-1.log --log edge-2.log')
    .action(async (code: string | undefined, flags: ExplainFlags) => code !== undefined && isJobId(code) ? await runExplainJob(context, code, flags) : runExplainResultCode(context, code))

  cli.help(sections => [...sections, { title: '', body: exitCodeHelp }])
  return cli
}

function addConnection (command: Command): Command {
  return command
    .option('--server <address>', 'IP:PORT of a server; repeatable. Default: SESAMEREEL_SERVER')
    .option('--token <token>', 'Token of the caller or operator. Default: SESAMEREEL_TOKEN')
    .option('--json', 'Print one JSON value')
}

function addListCommand (cli: CAC, context: CommandContext, list: ListName, entry: string): void {
  addConnection(cli.command(`${list} <action> [file]`, `Get, diff or apply the ${list} list (${entry})`))
    .usage(`${list} get | diff FILE | apply FILE`)
    .option('--out <file>', 'get: write the list and its version to a file')
    .option('--base <version>', 'apply: version the file was made from, if it does not say so')
    .option('--dry-run', 'apply: check the edit, write nothing')
    .example(`  sesamereel ${list} get --out ${list}.json\n  sesamereel ${list} diff ${list}.json\n  sesamereel ${list} apply ${list}.json --dry-run\n  sesamereel ${list} apply ${list}.json`)
    .action(async (action: string, file: string | undefined, flags: ListFlags) => await runList(context, list, action, file, flags))
}

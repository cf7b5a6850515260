#!/usr/bin/env node
/**
 * `hazelford`: the command line for operators.
 */
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { createKvClient } from '@hazelford/consul'
import { cac } from 'cac'
import type { CliContext } from './lib/cli-context.js'
import { apply } from './lib/commands/apply.js'
import { setDrain } from './lib/commands/drain.js'
import { rollback } from './lib/commands/rollback.js'
import { ConfigStore } from './lib/config-store.js'
import { exitCodes, type Report, report } from './lib/exit-code.js'
import { completion } from './lib/queries/completion.js'
import { explain } from './lib/queries/explain.js'
import { check, diff, history, show } from './lib/queries/config-queries.js'
import { organisations } from './lib/queries/organisation-report.js'
import { adapters, status } from './lib/queries/process-queries.js'
import { reportLoad } from './lib/queries/report-load.js'
import { requests, timeline } from './lib/queries/timeline.js'
import { upstreams } from './lib/queries/upstream-report.js'

interface GlobalOptions {
  readonly kv?: string
  readonly hosts?: string
  readonly json?: boolean
}

interface CommandOptions extends GlobalOptions {
  readonly wait?: boolean
  readonly dryRun?: boolean
  readonly revision?: number
  readonly watch?: boolean
  readonly since?: string
  readonly request?: string
  readonly adapter?: string
  readonly upstream?: string
  readonly kind?: string
  readonly html?: boolean
  readonly from?: string
  readonly for?: string
  readonly entry?: string | readonly string[]
}

const watchMs = 1_000
const boldStyle = '\u001b[1m'
const resetStyle = '\u001b[0m'
const clearScreen = '\u001b[2J\u001b[H'
const unitsMs: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 }

class UsageError extends Error {}

function requireOption (value: string | undefined, flag: string, variable: string): string {
  const found = value ?? process.env[variable]
  if (found === undefined) throw new UsageError(`Give ${flag} or set ${variable}.`)
  return found
}

function context (options: GlobalOptions): CliContext {
  // Options are read when a command first uses them, so a command needs only those that it uses.
  const kvUrl = (): string => requireOption(options.kv, '--kv URL', 'HAZELFORD_KV')
  return {
    connection: {
      get kvUrl () { return kvUrl() },
      get hostListUrl () { return requireOption(options.hosts, '--hosts URL', 'HAZELFORD_HOSTS') },
      get token () { return requireOption(undefined, 'the operator token', 'HAZELFORD_TOKEN') }
    },
    get store () { return new ConfigStore(createKvClient(kvUrl())) },
    author: process.env.HAZELFORD_AUTHOR ?? userInfo().username,
    wall: () => Date.now(),
    progress: line => process.stderr.write(`${line}\n`)
  }
}

function readText (file: string): string {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8')
  } catch (error) {
    throw new UsageError(`Cannot read ${file}: ${(error as Error).message}.`)
  }
}

function parseSpan (text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  const match = /^(\d+)(ms|s|m|h)$/.exec(text)
  if (match === null) throw new UsageError(`Invalid time span "${text}": give one such as 30s, 5m or 1h.`)
  return Number(match[1]) * unitsMs[match[2]!]!
}

/** Values of an option that may be given several times. */
function listOf (values: string | readonly string[] | undefined): readonly string[] { return values === undefined ? [] : [values].flat() }

/** Prints the first line of a table in bold on a terminal, unless NO_COLOR is set. */
function emphasise (text: string): string {
  if (!process.stdout.isTTY || process.env.NO_COLOR !== undefined) return text
  const end = text.indexOf('\n')
  return end < 0 ? text : `${boldStyle}${text.slice(0, end)}${resetStyle}${text.slice(end)}`
}

function print (result: Report, options: GlobalOptions): void {
  const text = options.json === true ? JSON.stringify(result.data, undefined, 2) : emphasise(result.text)
  const stream = result.code === exitCodes.done ? process.stdout : process.stderr
  stream.write(text.endsWith('\n') ? text : `${text}\n`)
}

async function run (options: GlobalOptions, command: () => Report | Promise<Report>): Promise<void> {
  let result: Report
  try {
    result = await command()
  } catch (error) {
    result = report(error instanceof UsageError ? exitCodes.badInput : exitCodes.failed, `hazelford: ${(error as Error).message}`)
  }
  print(result, options)
  // Exits explicitly, because keep-alive connections would keep the process running.
  const end = (): never => process.exit(result.code)
  if (process.stdout.writableLength > 0) process.stdout.once('drain', end)
  else end()
}

async function watchStatus (options: CommandOptions): Promise<void> {
  for (;;) {
    const current = await status(context(options))
    process.stdout.write(clearScreen)
    print(current, options)
    await new Promise(resolve => { setTimeout(resolve, watchMs) })
  }
}

const cli = cac('hazelford')
cli.option('--kv <url>', 'Key-value service (or HAZELFORD_KV)')
cli.option('--hosts <url>', 'Host list (or HAZELFORD_HOSTS)')
cli.option('--json', 'Print the output as JSON')

cli.command('check <file>', 'Check a configuration text').example('hazelford check week.toml')
  .action((file: string, options: CommandOptions) => run(options, () => check(readText(file), file)))
cli.command('diff <file>', 'Show what a text would change')
  .action((file: string, options: CommandOptions) => run(options, () => diff(context(options), readText(file), file)))
cli.command('apply <file>', 'Put a configuration in force').option('--wait', 'Wait until it is in force everywhere').option('--dry-run', 'Show what would change')
  .example('hazelford show > week.toml  # edit it, then:').example('hazelford apply week.toml --wait')
  .action((file: string, options: CommandOptions) => run(options, () =>
    apply(context(options), readText(file), { wait: options.wait === true, dryRun: options.dryRun === true, file })))
cli.command('show', 'Show the configuration').option('--revision <n>', 'Show an earlier revision')
  .action((options: CommandOptions) => run(options, () => show(context(options), options.revision)))
cli.command('history', 'List the revisions')
  .action((options: CommandOptions) => run(options, () => history(context(options))))
cli.command('rollback <revision>', 'Put the text of an earlier revision in force again').option('--wait', 'Wait until it is in force everywhere')
  .action((revision: string, options: CommandOptions) => run(options, () => rollback(context(options), Number(revision), options.wait === true)))
cli.command('status', 'Show every process').option('--watch', 'Refresh every second')
  .action((options: CommandOptions) => options.watch === true ? watchStatus(options) : run(options, () => status(context(options))))
cli.command('adapters', 'Show which adapters are loaded where')
  .action((options: CommandOptions) => run(options, () => adapters(context(options))))
cli.command('drain <upstream>', 'Stop sending new requests to an upstream').option('--wait', 'Wait until it is in force everywhere').example('hazelford drain m1 --wait')
  .action((name: string, options: CommandOptions) => run(options, () => setDrain(context(options), name, true, options.wait === true)))
cli.command('undrain <upstream>', 'Send requests to a drained upstream again').option('--wait', 'Wait until it is in force everywhere')
  .action((name: string, options: CommandOptions) => run(options, () => setDrain(context(options), name, false, options.wait === true)))
cli.command('requests <id>', 'Show the events of one request')
  .action((id: string, options: CommandOptions) => run(options, () => requests(context(options), id)))
cli.command('timeline', 'Show the events of all processes in causal order')
  .option('--since <span>', 'Only events of the last 30s, 5m or 1h').option('--request <id>', 'Only events of one request').option('--adapter <name@version>', 'Only events about one adapter')
  .option('--upstream <name>', 'Only events about one upstream').option('--kind <kind>', 'Only events of one kind, such as load-ended').option('--html', 'Print one self-contained HTML page')
  .example('hazelford timeline --since 5m --html > timeline.html')
  .action((options: CommandOptions) => run(options, () => timeline(context(options), { ...options, since: parseSpan(options.since) })))
cli.command('explain <id> [...logs]', 'Show the decisions on a request and their reasons, from log files or standard input')
  .example('hazelford explain 9c41d07be2a35f68 entry-*.log')
  .action((id: string, logs: readonly string[], options: CommandOptions) => run(options, () =>
    explain(id, (logs.length === 0 ? ['-'] : logs).map(readText))))
cli.command('report [...logs]', 'Show what requests waited for, why they were refused, what was loaded and which entries held engines, from log files or standard input')
  .option('--from <span>', 'Begin the report this long after the first log line, such as 30s').option('--for <span>', 'Length of the reported time span, such as 10s').option('--html', 'Print one self-contained HTML page with plots')
  .example('hazelford report --from 20s --for 10s entry-*.log')
  .action((logs: readonly string[], options: CommandOptions) => run(options, () =>
    reportLoad((logs.length === 0 ? ['-'] : logs).map(readText), { from: parseSpan(options.from), length: parseSpan(options.for) }, options.html === true ? 'page' : 'text')))
const entryOption = ['--entry <address>', 'HOST:PORT at which an entry listens for its peers; repeat it in case some do not answer'] as const
cli.command('upstreams', 'Show the upstreams as the running entries see them: holder, load, speed').option(...entryOption)
  .example('hazelford upstreams --entry 10.0.0.7:7301')
  .action((options: CommandOptions) => run(options, () => upstreams(listOf(options.entry))))
cli.command('organisations', 'Show limits and recent requests of organisations, over all running entries').option(...entryOption)
  .example('hazelford organisations --entry 10.0.0.7:7301 --json')
  .action((options: CommandOptions) => run(options, () => organisations(listOf(options.entry))))
cli.command('completion <shell>', 'Print a completion script for bash or zsh')
  .action((shell: string, options: CommandOptions) => run(options, () => completion(shell, cli.commands.map(command => command.name))))
cli.help()
cli.version('0.1.0')

try {
  cli.parse(process.argv, { run: false })
  if (cli.matchedCommand === undefined && cli.options.help !== true && cli.options.version !== true) {
    process.stderr.write('hazelford: no command given. "hazelford --help" lists the commands.\n')
    process.exit(exitCodes.badInput)
  }
  await cli.runMatchedCommand()
} catch (error) {
  process.stderr.write(`hazelford: ${(error as Error).message}\n`)
  process.exit(exitCodes.badInput)
}

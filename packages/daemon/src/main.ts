#!/usr/bin/env node
/**
 * The `hazelfordd` program, which runs one process of the system.
 */
import { readFileSync } from 'node:fs'
import { formatProblems, parseSettings, type Settings } from '@hazelford/config'
import { cac } from 'cac'
import { runDaemon } from './lib/run-daemon.js'

const exitBadSettings = 2
const exitFailed = 1

function readSettings (file: string): Settings | undefined {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    process.stderr.write(`hazelfordd: cannot read ${file}: ${(error as Error).message}\n`)
    return undefined
  }
  const parsed = parseSettings(text)
  if (parsed.isOk()) return parsed.value
  process.stderr.write(`${formatProblems(parsed.error, file)}\n`)
  return undefined
}

async function run (settings: Settings): Promise<void> {
  const daemon = await runDaemon(settings)
  // The only line on standard output: the ports of the daemon, for launchers.
  process.stdout.write(`${JSON.stringify({ name: settings.name, port: daemon.port, operatorPort: daemon.operatorPort })}\n`)
  let leaving = false
  const leave = (): void => {
    if (leaving) return
    leaving = true
    daemon.shutdown().then(() => process.exit(0), () => process.exit(exitFailed))
  }
  process.on('SIGTERM', leave)
  process.on('SIGINT', leave)
  // Timers of the clock do not keep the process alive; this timer does, until a signal ends the daemon.
  setInterval(() => {}, 1 << 30)
}

const cli = cac('hazelfordd')
cli
  .command('', 'Run one process of the system')
  .option('--settings <file>', 'TOML settings of this process')
  .option('--check', 'Check the settings and exit')
  .example('hazelfordd --settings entry.toml')
  .example('hazelfordd --settings entry.toml --check')
  .action((options: { settings?: string, check?: boolean }) => {
    if (options.settings === undefined) {
      process.stderr.write('hazelfordd: give --settings FILE. See docs/OPERATING.md.\n')
      process.exit(exitBadSettings)
    }
    const settings = readSettings(options.settings)
    if (settings === undefined) process.exit(exitBadSettings)
    if (options.check === true) {
      process.stdout.write('settings are valid.\n')
      return
    }
    run(settings).catch((cause: Error) => {
      process.stderr.write(`hazelfordd: ${cause.message}\n`)
      process.exit(exitFailed)
    })
  })
cli.help()
cli.parse()

/**
 * `npm run soak -- --seed N --seconds S`
 */
import { cac } from 'cac'
import { runSoak, soakSummary } from './lib/run-soak.js'

const cli = cac('soak')
cli
  .command('', 'Run real processes under load and faults')
  .option('--seed <n>', 'Seed of load and faults', { default: 1 })
  .option('--seconds <s>', 'Seconds of load', { default: 20 })
  .option('--trace', 'Print each fault and each failed completion')
  .action(async ({ seed, seconds, trace }: { seed: number, seconds: number, trace?: boolean }) => {
    const result = await runSoak(seed, seconds, line => process.stdout.write(`${line}\n`), trace)
    process.stdout.write(`${soakSummary(seed, result)}\n`)
    process.exit(result.violations.length === 0 ? 0 : 1)
  })
cli.help()
cli.parse()

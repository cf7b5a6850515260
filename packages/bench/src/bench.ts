/**
 * `npm run bench -- path | policy | slopes`
 */
import { cac } from 'cac'
import { benchPath } from './lib/bench-path.js'
import { benchPolicy } from './lib/bench-policy.js'
import { benchSlopes } from './lib/bench-slopes.js'

const say = (line: string): void => { process.stdout.write(`${line}\n`) }

const cli = cac('bench')
cli
  .command('path', 'What one entry and one sidecar carry and add')
  .option('--node-args <args>', 'For the daemons, such as "--cpu-prof --cpu-prof-dir=out"')
  .action(async ({ nodeArgs }: { nodeArgs?: string }) => {
    await benchPath(say, nodeArgs === undefined ? [] : nodeArgs.split(' '))
    process.exit(0)
  })
cli
  .command('policy', 'The decisions beside what users would build')
  .option('--out <folder>', 'Where JSON and plots go', { default: 'out' })
  .option('--seed <n>', 'Seed of arrivals and chance', { default: 7 })
  .action(({ out, seed }: { out: string, seed: number }) => { benchPolicy(say, out, seed) })
cli
  .command('slopes', 'How the cost of control grows')
  .option('--out <folder>', 'Where JSON and plots go', { default: 'out' })
  .action(async ({ out }: { out: string }) => {
    await benchSlopes(say, out)
    process.exit(0)
  })
cli.help()
cli.parse()

/**
 * `npm run bench -- path | policy | slopes`
 */
import { cac } from 'cac'
import { benchPath } from './lib/bench-path.js'
import { benchPolicy } from './lib/bench-policy.js'
import { benchSlopes } from './lib/bench-slopes.js'

const print = (line: string): void => { process.stdout.write(`${line}\n`) }

const cli = cac('bench')
cli
  .command('path', 'Throughput of one entry and one sidecar, and the latency that they add')
  .option('--node-args <args>', 'Node.js options for the daemons, such as "--cpu-prof --cpu-prof-dir=out"')
  .action(async ({ nodeArgs }: { nodeArgs?: string }) => {
    await benchPath(print, nodeArgs === undefined ? [] : nodeArgs.split(' '))
    process.exit(0)
  })
cli
  .command('policy', 'hazelford\'s decisions compared with simple policies')
  .option('--out <folder>', 'Folder for JSON and plots', { default: 'out' })
  .option('--seed <n>', 'Seed of arrivals and random choices', { default: 7 })
  .action(({ out, seed }: { out: string, seed: number }) => { benchPolicy(print, out, seed) })
cli
  .command('slopes', 'How the cost of control traffic and decisions grows')
  .option('--out <folder>', 'Folder for JSON and plots', { default: 'out' })
  .action(async ({ out }: { out: string }) => {
    await benchSlopes(print, out)
    process.exit(0)
  })
cli.help()
cli.parse()

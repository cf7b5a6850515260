/**
 * `npm run bench -- path`
 */
import { cac } from 'cac'
import { benchPath } from './lib/bench-path.js'

const say = (line: string): void => { process.stdout.write(`${line}\n`) }

const cli = cac('bench')
cli
  .command('path', 'What one entry and one sidecar carry and add')
  .option('--node-args <args>', 'For the daemons, such as "--cpu-prof --cpu-prof-dir=out"')
  .action(async ({ nodeArgs }: { nodeArgs?: string }) => {
    await benchPath(say, nodeArgs === undefined ? [] : nodeArgs.split(' '))
    process.exit(0)
  })
cli.help()
cli.parse()

/**
 * Waits until a revision is in force everywhere.
 */
import type { CliContext } from '../cli-context.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { queryProcesses, listHosts, type ProcessStatus } from '../processes.js'

const waitLimitMs = 9_000
const pollMs = 100

/**
 * Polls all processes until they have the revision in force, or the wait limit has passed.
 *
 * @param ctx - connections, operator and clock of the invocation
 * @param revision - the revision to wait for
 */
export async function waitInForce (ctx: CliContext, revision: number): Promise<Report> {
  const from = ctx.wall()
  ctx.progress(`revision ${revision} accepted; waiting until it is in force`)
  let lagging: readonly string[] = []
  while (ctx.wall() - from < waitLimitMs) {
    const hosts = await listHosts(ctx.connection)
    if (!('error' in hosts)) {
      const answers = await queryProcesses<ProcessStatus>(hosts, '/status', ctx.connection.token)
      const behind = answers.filter(answer => (answer.value?.revision ?? 0) < revision)
      if (behind.length === 0) return report(exitCodes.done, `Revision ${revision} is in force at all ${answers.length} processes.`, { revision, processes: answers.length })
      lagging = behind.map(answer => `${answer.host.name}: ${answer.value === undefined ? `not reached (${answer.error ?? ''})` : `revision ${answer.value.revision}`}`)
    } else {
      lagging = [`host list: ${hosts.error}`]
    }
    await new Promise(resolve => { setTimeout(resolve, pollMs) })
  }
  return report(exitCodes.notYetInForce, `Revision ${revision} is accepted and will come into force, but not yet at:\n${lagging.map(line => `  ${line}`).join('\n')}`, { revision, lagging })
}

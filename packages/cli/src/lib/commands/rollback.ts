/**
 * `hazelford rollback`: puts the text of an earlier revision in force, under a new number.
 */
import type { CliContext } from '../cli-context.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { apply } from './apply.js'

/**
 * Rolls back to an earlier revision.
 *
 * @param ctx - connections, operator and clock of the invocation
 * @param revision - the revision whose text is applied again
 * @param wait - whether to wait until it is in force
 */
export async function rollback (ctx: CliContext, revision: number, wait: boolean): Promise<Report> {
  const found = await ctx.store.revision(revision)
  if (found.isErr()) return report(exitCodes.unavailable, `The key-value service can't be reached (${found.error}). Nothing was changed.`)
  if (found.value === undefined) return report(exitCodes.badInput, `Revision ${revision} is not kept. "hazelford history" lists those that are.`)
  return apply(ctx, found.value.text, { wait, dryRun: false, file: `revision ${revision}` })
}

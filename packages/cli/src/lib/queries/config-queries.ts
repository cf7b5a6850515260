/**
 * `hazelford check`, `diff`, `show` and `history`: commands that read configurations.
 */
import { formatProblems, parseConfig } from '@hazelford/config'
import type { CliContext } from '../cli-context.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { formatTable } from '../table.js'
import { textDiff, withoutBase } from '../text-diff.js'

function unavailable (message: string): Report {
  return report(exitCodes.unavailable, `The key-value service can't be reached (${message}).`)
}

/** Validates a configuration text locally, without connecting to any process. */
export function check (edited: string, file: string): Report {
  const parsed = parseConfig(withoutBase(edited))
  if (parsed.isErr()) return report(exitCodes.badInput, formatProblems(parsed.error, file), { problems: parsed.error })
  const { services, upstreams, adapters } = parsed.value
  return report(exitCodes.done, `${file} is valid: ${services.size} services, ${upstreams.size} upstreams, ${adapters.size} adapters.`, { services: services.size, upstreams: upstreams.size, adapters: adapters.size })
}

/** Shows what a configuration text would change. */
export async function diff (ctx: CliContext, edited: string, file: string): Promise<Report> {
  const current = await ctx.store.read()
  if (current.isErr()) return unavailable(current.error)
  const { doc } = current.value
  const differences = textDiff(doc?.text ?? '', withoutBase(edited), `revision ${doc?.revision ?? 0}`, file)
  return report(exitCodes.done, differences === '' ? 'Nothing differs.' : differences, { revision: doc?.revision ?? 0, diff: differences })
}

/** Shows a revision, with the base revision line that `apply` checks after editing. */
export async function show (ctx: CliContext, revision: number | undefined): Promise<Report> {
  const found = revision === undefined ? (await ctx.store.read()).map(stored => stored.doc) : await ctx.store.revision(revision)
  if (found.isErr()) return unavailable(found.error)
  const doc = found.value
  if (doc === undefined) return report(exitCodes.badInput, revision === undefined ? 'No configuration was applied yet. Apply one with "hazelford apply FILE".' : `Revision ${revision} is not kept.`)
  ctx.progress(`revision ${doc.revision} by ${doc.author}, ${new Date(doc.at).toISOString()}, write id ${doc.writeId}`)
  return report(exitCodes.done, `# revision ${doc.revision}\n${doc.text}`, doc)
}

/** Lists the kept revisions. */
export async function history (ctx: CliContext): Promise<Report> {
  const listed = await ctx.store.history()
  if (listed.isErr()) return unavailable(listed.error)
  const rows = listed.value.map(doc => [String(doc.revision), new Date(doc.at).toISOString(), doc.author, doc.writeId, doc.sha256.slice(0, 12)])
  const data = listed.value.map(({ revision, at, author, writeId, sha256 }) => ({ revision, at, author, writeId, sha256 }))
  return report(exitCodes.done, formatTable(['revision', 'accepted', 'author', 'write id', 'sha256'], rows), data)
}

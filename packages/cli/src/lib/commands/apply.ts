/**
 * `hazelford apply`: changes the configuration.
 */
import { formatProblems, parseConfig } from '@hazelford/config'
import { assertNever, type ConfigDocument } from '@hazelford/core'
import type { CliContext } from '../cli-context.js'
import type { ChangeOutcome, StoredConfig } from '../config-store.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { queryProcesses, listHosts, type ProcessStatus } from '../processes.js'
import { baseRevision, textDiff, withoutBase } from '../text-diff.js'
import { waitInForce } from './wait-in-force.js'

/** Options of `apply`. */
export interface ApplyOptions {
  readonly wait: boolean
  readonly dryRun: boolean
  /** Name of the text in error messages. */
  readonly file: string
}

function unavailable (message: string): Report {
  return report(exitCodes.unavailable, `The key-value service can't be reached (${message}). Nothing was changed.`)
}

function conflict (current: ConfigDocument | undefined, text: string): Report {
  if (current === undefined) return report(exitCodes.conflict, 'Another change came first. Nothing was changed. See "hazelford show".')
  const diff = textDiff(current.text, text, `revision ${current.revision} by ${current.author}`, 'yours')
  return report(exitCodes.conflict, `Revision ${current.revision} by ${current.author} came first. Nothing was changed.\nGet the current text with "hazelford show", edit it and apply it. Differences to your text:\n${diff}`, { conflict: current.revision, by: current.author, diff })
}

/**
 * Returns the highest revision that any process has in force. A store that was restored
 * from an old copy is behind it. A change on top of that copy would get a revision that the
 * processes have already passed, and would never come into force.
 */
async function highestInForce (ctx: CliContext): Promise<number> {
  const hosts = await listHosts(ctx.connection)
  if ('error' in hosts) return 0
  const answers = await queryProcesses<ProcessStatus>(hosts, '/status', ctx.connection.token)
  return Math.max(0, ...answers.map(answer => answer.value?.revision ?? 0))
}

/**
 * Applies a configuration text.
 *
 * @param ctx - connections, operator and clock of the invocation
 * @param edited - TOML text, with or without its base revision line
 * @param options - of the command
 */
export async function apply (ctx: CliContext, edited: string, options: ApplyOptions): Promise<Report> {
  const text = withoutBase(edited)
  const parsed = parseConfig(text)
  if (parsed.isErr()) return report(exitCodes.badInput, formatProblems(parsed.error, options.file), { problems: parsed.error })
  const base = await ctx.store.read()
  if (base.isErr()) return unavailable(base.error)
  const { doc } = base.value
  const expected = baseRevision(edited)
  if (expected !== undefined && expected !== (doc?.revision ?? 0)) return conflict(doc, text)
  if (doc?.text === text) return report(exitCodes.done, `Revision ${doc.revision} has this text already. Nothing was changed.`, { revision: doc.revision, changed: false })
  if (options.dryRun) {
    const diff = textDiff(doc?.text ?? '', text, `revision ${doc?.revision ?? 0}`, options.file)
    return report(exitCodes.done, `${diff}Would become revision ${(doc?.revision ?? 0) + 1}. Nothing was changed.`, { diff })
  }
  return changeConfig(ctx, base.value, text, options.wait)
}

/**
 * Changes the configuration to a validated text.
 *
 * @param ctx - connections, operator and clock of the invocation
 * @param base - the stored configuration that the change is based on
 * @param text - the new configuration text
 * @param wait - whether to wait until it is in force
 */
export async function changeConfig (ctx: CliContext, base: StoredConfig, text: string, wait: boolean): Promise<Report> {
  const inForce = await highestInForce(ctx)
  if (inForce > (base.doc?.revision ?? 0)) {
    return report(exitCodes.conflict, `The key-value service has revision ${base.doc?.revision ?? 0}, but revision ${inForce} is in force. Entries bring the service up to date within seconds; try again then.`)
  }
  const outcome = await ctx.store.change(base, text, ctx.author, ctx.wall())
  return reportOutcome(ctx, outcome, text, wait)
}

async function reportOutcome (ctx: CliContext, outcome: ChangeOutcome, text: string, wait: boolean): Promise<Report> {
  switch (outcome.kind) {
    case 'accepted': {
      const { revision } = outcome.doc
      if (wait) return waitInForce(ctx, revision)
      return report(exitCodes.done, `Revision ${revision} is accepted. "hazelford status" shows where it is in force.`, { revision, changed: true })
    }
    case 'replaced':
      return report(exitCodes.done, `Revision ${outcome.doc.revision} was accepted, and ${outcome.current.author} replaced it by revision ${outcome.current.revision} at once.`, { revision: outcome.doc.revision, replacedBy: outcome.current.revision })
    case 'conflict': return conflict(outcome.current, text)
    case 'not-applied': return unavailable(outcome.message)
    case 'unknown':
      return report(exitCodes.unknown, `It is unknown whether the change took effect (${outcome.message}). Check with "hazelford show": it did if the write id there or in the history is ${outcome.writeId}.`, { unknown: true, writeId: outcome.writeId })
    default: return assertNever(outcome)
  }
}

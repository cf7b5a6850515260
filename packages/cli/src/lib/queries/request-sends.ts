/**
 * Follows one request over the upstreams that it was sent to, from its log lines alone.
 */
import type { LogLine } from './log-lines.js'

/** An upstream that a request was withdrawn from, and the one that has the request since then. */
export interface Withdrawal { readonly line: LogLine, readonly from: unknown, readonly favoured: unknown }

/** The way of a request over its upstreams. */
export interface RequestSends {
  /** The lines of its sends. */
  readonly sends: readonly LogLine[]
  readonly withdrawals: readonly Withdrawal[]
  /** The upstreams that still had it at the last line. An upstream that answered with an error of its own is among them, since no line says so. */
  readonly open: ReadonlySet<unknown>
  /** The first upstream that was late or silent; undefined when none was. */
  readonly late: unknown
}

const endsOfSend: ReadonlySet<string> = new Set(['request: refused by upstream.', 'request: upstream unreachable.', 'request: answer lost.', 'request: withdrawn.'])
const lateLines: ReadonlySet<string> = new Set(['request: stalled.', 'request: overdue.'])

/**
 * Follows a request.
 *
 * @param lines - its log lines in order of time
 * @returns its sends, and the upstreams that it was withdrawn from
 */
export function followSends (lines: readonly LogLine[]): RequestSends {
  const sends: LogLine[] = []
  const withdrawals: Withdrawal[] = []
  const open = new Set<unknown>()
  let late: unknown
  let latestLate: unknown
  for (const line of lines) {
    const { msg, upstream } = line
    if (msg === 'request: sent.') {
      sends.push(line)
      open.add(upstream)
    }
    if (lateLines.has(msg)) {
      late ??= upstream
      latestLate = upstream
    }
    if (!endsOfSend.has(msg)) continue
    open.delete(upstream)
    const others = [sends.at(-1)?.upstream, latestLate, ...open]
    if (msg === 'request: withdrawn.') withdrawals.push({ line, from: upstream, favoured: others.find(other => other !== undefined && other !== upstream) })
  }
  return { sends, withdrawals, open, late }
}

/**
 * Finds requests whose answer several upstreams lost, from logs alone.
 */
import { formatTable } from '../table.js'
import type { LogLine } from './log-lines.js'

/** Most rows that the table shows. */
const lossRows = 10

/** A request whose answer upstreams lost, over all its attempts. */
export interface RepeatedLoss {
  readonly upstreams: Set<unknown>
  /** Attempts whose answer was lost. */
  attempts: number
  route: string
  adapter: string
}

/**
 * Returns the requests that were lost at more than one upstream, those with the most upstreams first.
 *
 * A request that terminates each upstream that runs it makes many other requests fail as well, and each of its attempts
 * has an id of its own. By id alone every loss looks like the first, so losses are grouped by the request's fingerprint.
 *
 * @param lines - log lines of any number of entries, in order of time
 * @returns the losses by fingerprint
 */
export function repeatedLosses (lines: readonly LogLine[]): ReadonlyArray<readonly [string, RepeatedLoss]> {
  const taken = new Map(lines.filter(({ msg }) => msg === 'request: taken.').map(line => [line.request, line]))
  const losses = new Map<string, RepeatedLoss>()
  for (const { msg, request, upstream, fingerprint } of lines) {
    if (msg !== 'request: answer lost.' || fingerprint === undefined) continue
    const attempt = taken.get(request)
    const { model, adapter } = (attempt?.want ?? {}) as { readonly model?: string, readonly adapter?: string }
    const name = String(fingerprint)
    const loss = losses.get(name) ?? { upstreams: new Set(), attempts: 0, route: '-', adapter: '-' }
    losses.set(name, loss)
    loss.upstreams.add(upstream)
    loss.attempts++
    if (attempt !== undefined) loss.route = String(attempt.route)
    if (model !== undefined) loss.adapter = `${model}/${adapter ?? ''}`
  }
  return [...losses].filter(([, { upstreams }]) => upstreams.size > 1).sort(([, a], [, b]) => b.upstreams.size - a.upstreams.size)
}

/** Formats a table of the requests that were lost at the most upstreams. */
export function lossTable (losses: ReturnType<typeof repeatedLosses>): string {
  const rows = losses.slice(0, lossRows).map(([name, { upstreams, attempts, route, adapter }]) => [name, route, adapter, String(attempts), String(upstreams.size)])
  return formatTable(['lost at several upstreams', 'route', 'adapter', 'answers lost', 'upstreams'], rows)
}

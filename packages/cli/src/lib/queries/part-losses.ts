/**
 * Finds parts of prompts whose requests were lost at several upstreams, from logs alone.
 */
import { formatTable } from '../table.js'
import type { LogLine } from './log-lines.js'

/** Most rows that the table shows. */
const partRows = 10

/** What became of the requests that have one prompt part in common. */
export interface PartLoss {
  readonly part: string
  /** Upstreams that lost an answer to one of them. */
  readonly upstreams: readonly unknown[]
  /** Number of requests whose answer was lost. */
  readonly lost: number
  /** Number of requests that were answered completely. */
  readonly delivered: number
}

function partsOf ({ parts }: LogLine): readonly string[] { return Array.isArray(parts) ? parts.map(String) : [] }

/**
 * Returns the prompt parts whose requests were lost at more than one upstream. Those with the most upstreams, and among
 * them those with the fewest answers, are first: a part that terminates upstreams is in a lost request at each
 * termination, and none of its requests is answered.
 *
 * @param lines - log lines of any number of entries, in order of time
 */
export function partLosses (lines: readonly LogLine[]): readonly PartLoss[] {
  const delivered = new Set(lines.filter(({ msg, end }) => msg === 'request: over.' && end === 'delivered').map(({ request }) => request))
  const losses = new Map<string, { readonly upstreams: Set<unknown>, readonly lost: Set<unknown>, readonly delivered: Set<unknown> }>()
  for (const line of lines) {
    for (const part of partsOf(line)) {
      const loss = losses.get(part) ?? { upstreams: new Set(), lost: new Set(), delivered: new Set() }
      losses.set(part, loss)
      if (delivered.has(line.request)) loss.delivered.add(line.request)
      if (line.msg !== 'request: answer lost.') continue
      loss.upstreams.add(line.upstream)
      loss.lost.add(line.request)
    }
  }
  return [...losses].map(([part, loss]) => ({ part, upstreams: [...loss.upstreams], lost: loss.lost.size, delivered: loss.delivered.size }))
    .filter(({ upstreams }) => upstreams.length > 1)
    .sort((a, b) => b.upstreams.length - a.upstreams.length || a.delivered - b.delivered)
}

/** Formats a table of the prompt parts whose requests were lost at the most upstreams. */
export function partTable (losses: readonly PartLoss[]): string {
  const rows = losses.slice(0, partRows).map(({ part, upstreams, lost, delivered }) => [part, String(upstreams.length), String(lost), String(delivered)])
  return formatTable(['prompt part lost at several upstreams', 'upstreams', 'requests lost', 'requests answered'], rows)
}

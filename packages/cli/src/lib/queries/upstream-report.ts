/**
 * `hazelford upstreams`: the upstreams as all entries see them.
 */
import type { OperatorView, UpstreamView } from '@hazelford/core'
import type { Report } from '../exit-code.js'
import { type Column, entryReport, rowReport } from './entry-report.js'

/** An upstream over all entries. */
export interface UpstreamRow extends Omit<UpstreamView, 'ejected'> {
  /** Number of entries that have ejected it. */
  readonly ejectedBy: number
  /** Number of entries that list it. */
  readonly seenBy: number
}

/** Orders views of one upstream, the one to show first: of the latest holder, and then with the latest counts. */
function compareViews (a: UpstreamView, b: UpstreamView): number {
  return (b.fence ?? 0) - (a.fence ?? 0) || (a.loadAge ?? Infinity) - (b.loadAge ?? Infinity) || 0
}

/** Merges the entries' views of one upstream. */
function mergeUpstream (views: readonly UpstreamView[]): UpstreamRow {
  const [latest] = [...views].sort(compareViews)
  const { ejected, ...row } = latest!
  // An upstream that one entry knows to be draining does not become ready again.
  const draining = views.find(({ state }) => state !== 'ready')
  return {
    ...row,
    state: (draining ?? row).state,
    outstanding: views.reduce((sum, { outstanding }) => sum + outstanding, 0),
    ejectedBy: views.filter(({ ejected }) => ejected).length,
    seenBy: views.length
  }
}

/** Merges the upstreams of all entries, by service and name. */
export function upstreamRows (views: readonly OperatorView[]): readonly UpstreamRow[] {
  const byId = new Map<string, UpstreamView[]>()
  for (const { upstreams } of views) for (const view of upstreams) byId.set(view.upstream, [...byId.get(view.upstream) ?? [], view])
  return [...byId.values()].map(mergeUpstream).sort((a, b) => a.service.localeCompare(b.service) || a.upstream.localeCompare(b.upstream))
}

function cell (value: number | string | undefined): string { return value === undefined ? '-' : String(value) }

const columns: readonly Column<UpstreamRow>[] = [
  ['upstream', row => row.upstream],
  ['service', row => row.service],
  ['zone', row => row.zone],
  ['state', row => row.state],
  ['holder', row => cell(row.holder)],
  ['fence', row => cell(row.fence)],
  ['running', row => `${cell(row.running)}/${row.slots}`],
  ['backlog', row => cell(row.promptBacklog)],
  ['speed', row => cell(row.speed)],
  ['age ms', row => cell(row.loadAge)],
  ['open', row => String(row.outstanding)],
  ['ejected by', row => `${row.ejectedBy}/${row.seenBy}`]
]

/** Shows the upstreams of the entries that are known at some addresses. */
export function upstreams (addresses: readonly string[]): Promise<Report> {
  return entryReport(addresses, found => rowReport(found, upstreamRows(found.views), columns, ({ omitted }) => omitted.upstreams))
}

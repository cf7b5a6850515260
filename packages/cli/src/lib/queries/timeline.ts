/**
 * `hazelford timeline` and `requests`: events of all processes in causal order.
 */
import { compareStamps } from '@hazelford/core'
import type { CliContext } from '../cli-context.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { queryProcesses, listHosts, type ProcessTimeline } from '../processes.js'
import { formatTable } from '../table.js'
import type { MergedTimeline, ProcessEvent } from './merged-timeline.js'
import { timelinePage } from './timeline-page.js'

/** Selects the events to show. */
export interface TimelineFilter {
  /** Age in ms of the oldest events to show. */
  readonly since?: number
  readonly request?: string
  readonly adapter?: string
  readonly upstream?: string
  readonly kind?: string
  /** Whether to render an HTML page. */
  readonly html?: boolean
}

function passes (event: ProcessEvent, filter: TimelineFilter, from: number): boolean {
  return event.stamp.wall >= from &&
    (filter.request === undefined || event.request === filter.request) &&
    (filter.adapter === undefined || event.adapter === filter.adapter) &&
    (filter.upstream === undefined || event.upstream === filter.upstream) &&
    (filter.kind === undefined || event.kind === filter.kind)
}

/** Collects and merges the events of all processes. */
async function collect (ctx: CliContext, filter: TimelineFilter): Promise<MergedTimeline | Report> {
  const hosts = await listHosts(ctx.connection)
  if ('error' in hosts) return report(exitCodes.unavailable, `The host list can't be reached (${hosts.error}).`)
  const answers = await queryProcesses<ProcessTimeline>(hosts, '/timeline', ctx.connection.token)
  const from = filter.since === undefined ? 0 : ctx.wall() - filter.since
  const events = answers
    .flatMap(({ host, value }) => (value?.events ?? []).map(event => ({ ...event, process: host.name })))
    .filter(event => passes(event, filter, from))
    .sort((a, b) => compareStamps(a.stamp, b.stamp) || a.process.localeCompare(b.process))
  return {
    events,
    unreachable: answers.filter(answer => answer.value === undefined).map(answer => `${answer.host.name} (${answer.error ?? ''})`),
    overflowed: answers.filter(answer => (answer.value?.dropped ?? 0) > 0).map(answer => `${answer.host.name} (${answer.value!.dropped} events dropped)`)
  }
}

function eventRow (event: ProcessEvent): readonly string[] {
  const time = new Date(event.stamp.wall).toISOString().slice(11, 23)
  const about = [event.request, event.adapter, event.upstream, event.peer].filter(part => part !== undefined).join(' ')
  return [`${time}.${event.stamp.count}`, event.process, event.kind, about, event.note ?? '']
}

function missing (merged: MergedTimeline): string {
  const lines = [
    ...merged.unreachable.map(name => `not reached: ${name}`),
    ...merged.overflowed.map(name => `incomplete: ${name}`)
  ]
  return lines.length === 0 ? '' : `\n${lines.join('\n')}`
}

/** Shows events in causal order. */
export async function timeline (ctx: CliContext, filter: TimelineFilter): Promise<Report> {
  const merged = await collect(ctx, filter)
  if ('code' in merged) return merged
  if (filter.html === true) return report(exitCodes.done, timelinePage(merged), merged)
  const table = formatTable(['time', 'process', 'event', 'about', 'note'], merged.events.map(eventRow))
  return report(exitCodes.done, `${table}${missing(merged)}`, merged)
}

/** Shows the events of one request. */
export function requests (ctx: CliContext, id: string): Promise<Report> {
  return timeline(ctx, { request: id })
}

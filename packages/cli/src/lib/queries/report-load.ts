/**
 * `hazelford report`: shows what requests waited for and which loads were ordered, from logs alone.
 */
import { exitCodes, type Report, report } from '../exit-code.js'
import { formatTable } from '../table.js'
import { cutAnswers, cutTable, silences, silenceTable } from './cut-answers.js'
import { loadPage, type Series } from './load-page.js'
import { type LogLine, mergeLogs } from './log-lines.js'
import { openRequests, openTable } from './open-requests.js'
import { organisationTables, usesByOrganisation } from './organisation-table.js'
import { partLosses, partTable } from './part-losses.js'
import { lossTable, repeatedLosses } from './repeated-losses.js'

/** The time span of the logs to report on, in ms from their first line. */
export interface ReportSpan {
  readonly from: number | undefined
  readonly length: number | undefined
}

/**
 * Waiting times in ms of one route's requests: `sent` from arrival to the first send, of which `forAdapter` for the adapter
 * and `atDoor` for the engine's holder to admit the request; `atEngine` from that send to the first event of the answer.
 */
interface RouteWaits {
  readonly sent: number[]
  readonly forAdapter: number[]
  readonly atDoor: number[]
  readonly atEngine: number[]
  readonly ends: Map<string, number>
}

/** Whether an adapter had been loaded before, at the same engine (`here`) or at another one. */
type LoadOrigin = 'never before' | 'elsewhere before' | 'here before'

interface Loads { readonly count: number, readonly took: readonly number[] }

const shares = [0.5, 0.8, 0.95]
/** Number of time steps in the table of holders. */
const holderSteps = 12
/** Number of time steps in a plot. */
const plotSteps = 48

function quantiles (values: readonly number[]): readonly string[] {
  const sorted = [...values].sort((a, b) => a - b)
  return shares.map(share => sorted.length === 0 ? '-' : String(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]))
}

function increment (counts: Map<string, number>, key: string): void { counts.set(key, (counts.get(key) ?? 0) + 1) }

function waitsByRoute (lines: readonly LogLine[]): ReadonlyMap<string, RouteWaits> {
  const routes = new Map<string, RouteWaits>()
  const open = new Map<unknown, { readonly route: RouteWaits, waited?: number }>()
  for (const line of lines) {
    if (line.msg === 'request: taken.') {
      const name = String(line.route)
      const route = routes.get(name) ?? { sent: [], forAdapter: [], atDoor: [], atEngine: [], ends: new Map() }
      routes.set(name, route)
      open.set(line.request, { route })
    }
    const request = open.get(line.request)
    if (request === undefined) continue
    const { route } = request
    if (line.msg === 'request: sent.' && line.send === 1) {
      request.waited = Number(line.waited)
      route.sent.push(request.waited)
      if (line.forAdapter !== undefined) route.forAdapter.push(Number(line.forAdapter))
      if (line.atDoor !== undefined) route.atDoor.push(Number(line.atDoor))
    }
    if (line.msg !== 'request: over.') continue
    increment(route.ends, String(line.end))
    if (line.firstData !== undefined && request.waited !== undefined) route.atEngine.push(Number(line.firstData) - request.waited)
  }
  return routes
}

function waitTable (routes: ReadonlyMap<string, RouteWaits>): string {
  const rows = [...routes].sort(([, a], [, b]) => b.sent.length - a.sent.length).flatMap(([name, route]) => [
    [name, String(route.sent.length), 'before it was sent', ...quantiles(route.sent)],
    ['', '', 'for its adapter', ...quantiles(route.forAdapter)],
    ['', '', 'to be let in', ...quantiles(route.atDoor)],
    ['', '', 'sent, to first event', ...quantiles(route.atEngine)]
  ])
  return formatTable(['route', 'sent', 'ms', 'median', '80 in 100', '95 in 100'], rows.filter(row => row[3] !== '-'))
}

function endTable (routes: ReadonlyMap<string, RouteWaits>): string {
  const rows = [...routes].flatMap(([name, { ends }]) => [...ends].map(([end, times]) => [name, end, String(times)]))
  return formatTable(['route', 'end', 'requests'], rows.sort((a, b) => Number(b[2]) - Number(a[2])))
}

/** Counts the engines at which an adapter was unavailable, by cause. */
function causeTable (lines: readonly LogLine[]): string {
  const sums = new Map<string, number>()
  for (const { msg, causes } of lines) {
    if (msg !== 'request: adapter not to be had.' || typeof causes !== 'object' || causes === null) continue
    for (const [cause, times] of Object.entries(causes)) sums.set(cause, (sums.get(cause) ?? 0) + Number(times))
  }
  return formatTable(['adapter not to be had', 'engines'], [...sums].map(([cause, engines]) => [cause, String(engines)]))
}

function loadsByOrigin (lines: readonly LogLine[]): ReadonlyMap<LoadOrigin, Loads> {
  const loadedAt = new Map<string, Set<unknown>>()
  const pending = new Map<string, { readonly at: number, readonly origin: LoadOrigin }>()
  const loads = new Map<LoadOrigin, { count: number, took: number[] }>()
  for (const { msg, time, upstream, model, adapter } of lines) {
    if (adapter === undefined || (msg !== 'loads: load accepted.' && msg !== 'loads: load holds.')) continue
    const name = `${String(model)}/${String(adapter)}`
    const key = `${String(upstream)} ${name}`
    const engines = loadedAt.get(name) ?? new Set()
    const earlier = pending.get(key)
    if (msg === 'loads: load accepted.' && earlier === undefined) {
      const origin = engines.has(upstream) ? 'here before' : engines.size > 0 ? 'elsewhere before' : 'never before'
      pending.set(key, { at: time, origin })
    }
    if (msg !== 'loads: load holds.' || earlier === undefined) continue
    pending.delete(key)
    loadedAt.set(name, engines.add(upstream))
    const ofOrigin = loads.get(earlier.origin) ?? { count: 0, took: [] }
    ofOrigin.count++
    ofOrigin.took.push(time - earlier.at)
    loads.set(earlier.origin, ofOrigin)
  }
  return loads
}

function loadTable (loads: ReadonlyMap<LoadOrigin, Loads>): string {
  const rows = [...loads].map(([origin, ofOrigin]) => [origin, String(ofOrigin.count), ...quantiles(ofOrigin.took)])
  return formatTable(['loads, adapter was loaded', 'times', 'median ms', '80 in 100', '95 in 100'], rows)
}

/** Yields the holder of each engine after each log line; the map is updated in place. */
function * holdersOverTime (lines: readonly LogLine[]): Generator<{ readonly time: number, readonly holders: ReadonlyMap<unknown, string> }> {
  const holders = new Map<unknown, string>()
  for (const { msg, time, node, upstream } of lines) {
    if (msg === 'loads: engine held.') holders.set(upstream, node)
    else if ((msg === 'loads: engine released.' || msg === 'loads: engine handed over.') && holders.get(upstream) === node) holders.delete(upstream)
    else if (msg === 'lease: lost.' || msg === 'daemon: started.') for (const [engine, holder] of holders) if (holder === node) holders.delete(engine)
    yield { time, holders }
  }
}

/** Divides the time span of the lines into equal steps and returns their starts, in ms since 1970. */
function stepsOver (lines: readonly LogLine[], steps: number): readonly number[] {
  const first = lines[0]?.time ?? 0
  const length = ((lines.at(-1)?.time ?? first) - first) / steps
  return Array.from({ length: steps }, (_, step) => first + step * length)
}

/** Counts the engines that each entry holds at each time step. */
function holderSeries (lines: readonly LogLine[], steps: readonly number[]): readonly Series[] {
  const nodes = [...new Set(lines.filter(({ msg }) => msg === 'loads: engine held.').map(({ node }) => node))].sort()
  const counts: number[][] = []
  for (const { time, holders } of holdersOverTime(lines)) {
    while (counts.length < steps.length && time >= steps[counts.length]!) {
      counts.push(nodes.map(node => [...holders.values()].filter(holder => holder === node).length))
    }
  }
  return nodes.map((name, column) => ({ name, values: counts.map(row => row[column]!) }))
}

function holderTable (lines: readonly LogLine[], start: number): string {
  const steps = stepsOver(lines, holderSteps)
  const series = holderSeries(lines, steps)
  const rows = steps.map((time, step) => [((time - start) / 1_000).toFixed(1), ...series.map(({ values }) => String(values[step] ?? 0))])
  return formatTable(['engines ordered, at s', ...series.map(({ name }) => name)], rows)
}

/** Counts requests by their `end`, in each time step. */
function endSeries (lines: readonly LogLine[], steps: readonly number[]): readonly Series[] {
  const series = new Map<string, number[]>()
  const over = lines.filter(({ msg }) => msg === 'request: over.')
  for (const { time, end } of over) {
    const name = String(end)
    const values = series.get(name) ?? steps.map(() => 0)
    series.set(name, values)
    const step = steps.findLastIndex(from => from <= time)
    values[step] = values[step]! + 1
  }
  return [...series].map(([name, values]) => ({ name, values }))
}

/**
 * Reports on the load in a span of time.
 *
 * @param texts - log files of any number of processes
 * @param span - the time span to report on
 * @param form - plain-text tables, or one self-contained HTML page with plots
 */
export function reportLoad (texts: readonly string[], span: ReportSpan, form: 'text' | 'page' = 'text'): Report {
  const all = mergeLogs(texts)
  const first = all[0]
  if (first === undefined) return report(exitCodes.badInput, 'These logs contain no log line of an entry.')
  const from = first.time + (span.from ?? 0)
  const until = from + (span.length ?? Infinity)
  const lines = all.filter(({ time }) => time >= from && time < until)
  const routes = waitsByRoute(lines)
  const loads = loadsByOrigin(lines)
  const losses = repeatedLosses(lines)
  const parts = partLosses(lines)
  const cuts = cutAnswers(lines)
  const silent = silences(lines)
  const open = openRequests(lines, all)
  const tables = [waitTable(routes), endTable(routes), cutTable(cuts), silenceTable(silent), openTable(open, first.time), ...organisationTables(lines), causeTable(lines), lossTable(losses), partTable(parts), loadTable(loads), holderTable(lines, first.time)]
  const data = {
    routes: [...routes].map(([route, { sent, forAdapter, atDoor, atEngine, ends }]) => ({ route, sent: sent.length, before: quantiles(sent), forAdapter: quantiles(forAdapter), atDoor: quantiles(atDoor), atEngine: quantiles(atEngine), ends: Object.fromEntries(ends) })),
    organisations: usesByOrganisation(lines),
    loads: [...loads].map(([origin, { count: times, took }]) => ({ origin, times, took: quantiles(took) })),
    losses: losses.map(([fingerprint, { upstreams, attempts, route, adapter }]) => ({ fingerprint, route, adapter, answersLost: attempts, upstreams: [...upstreams] })),
    partLosses: parts,
    answersCut: cuts,
    silences: silent,
    openRequests: open.map(({ taken, last, fate, after }) => ({ request: taken.request, route: taken.route, entry: taken.node, at: taken.time, lastLine: last.msg, entryThen: fate, after }))
  }
  if (form === 'text') return report(exitCodes.done, tables.join('\n\n'), data)
  const steps = stepsOver(lines, plotSteps)
  const plots = [
    { title: 'Requests by how they ended', series: endSeries(lines, steps) },
    { title: 'Engines ordered, by entry', series: holderSeries(lines, steps) }
  ]
  return report(exitCodes.done, loadPage({ steps: steps.map(time => (time - first.time) / 1_000), plots, tables }), data)
}

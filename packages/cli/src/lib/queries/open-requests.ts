/**
 * Finds requests that entries took and that have no line with their end, from logs alone.
 */
import { formatTable } from '../table.js'
import type { LogLine } from './log-lines.js'

/** Most rows that the table shows. */
const openRows = 20

/**
 * What the entry did after a request's last line.
 *
 * - `stopping`: it began to stop, and no line says that it stopped.
 * - `runs`: its log goes on; the time is that of its last line.
 * - `log ends`: it has no further line.
 */
export type EntryFate = 'started again' | 'stopped' | 'stopping' | 'runs' | 'log ends'

/** A request without a line with its end. */
export interface OpenRequest {
  readonly taken: LogLine
  readonly last: LogLine
  readonly fate: EntryFate
  /** Ms from the request's last line to the line that shows the entry's fate. */
  readonly after: number | undefined
}

const fates: Readonly<Record<string, EntryFate>> = { 'daemon: started.': 'started again', 'daemon: stopped.': 'stopped', 'daemon: stopping.': 'stopping' }

/**
 * Says what an entry did after a log line of it.
 *
 * @param line - the last line of a request
 * @param own - all lines of that entry, in order of time
 * @returns its fate, and the ms until the line that shows it
 */
export function fateAfter (line: LogLine, own: readonly LogLine[]): Pick<OpenRequest, 'fate' | 'after'> {
  const later = own.filter(({ time }) => time > line.time)
  const ends = later.filter(({ msg }) => fates[msg] !== undefined)
  // After a stop the entry is usually started again: that does not show that it was killed.
  const end = ends[0]?.msg === 'daemon: stopping.' && ends[1]?.msg === 'daemon: stopped.' ? ends[1] : ends[0]
  if (end !== undefined) return { fate: fates[end.msg]!, after: end.time - line.time }
  return later.length === 0 ? { fate: 'log ends', after: undefined } : { fate: 'runs', after: later.at(-1)!.time - line.time }
}

/**
 * Finds requests that were taken and have no end.
 *
 * @param lines - lines of the span in which the requests were taken
 * @param all - all lines, in order of time
 * @returns the requests, in order of time
 */
export function openRequests (lines: readonly LogLine[], all: readonly LogLine[]): readonly OpenRequest[] {
  const inSpan = new Set(lines)
  const open = new Map<string, { readonly taken: LogLine, last: LogLine }>()
  for (const line of all) {
    if (line.request === undefined) continue
    const key = `${line.node} ${String(line.request)}`
    if (line.msg === 'request: taken.' && inSpan.has(line)) open.set(key, { taken: line, last: line })
    else if (line.msg === 'request: over.') open.delete(key)
    else if (open.has(key)) open.get(key)!.last = line
  }
  const byNode = new Map<string, LogLine[]>([...open.values()].map(({ taken }) => [taken.node, []]))
  for (const line of all) byNode.get(line.node)?.push(line)
  return [...open.values()].map(request => ({ ...request, ...fateAfter(request.last, byNode.get(request.taken.node)!) }))
}

/**
 * Formats the requests without an end.
 *
 * @param requests - the requests
 * @param start - time of the first log line, in ms since 1970
 */
export function openTable (requests: readonly OpenRequest[], start: number): string {
  const rows = requests.slice(0, openRows).map(({ taken, last, fate, after }) => [
    String(taken.request), String(taken.route), taken.node, ((taken.time - start) / 1_000).toFixed(1), last.msg, after === undefined ? fate : `${fate} (${after} ms later)`
  ])
  const more = requests.length - rows.length
  const table = formatTable(['taken, not over', 'route', 'entry', 'at s', 'last line', 'the entry then'], rows)
  return more > 0 ? `${table}\n(and ${more} more)` : table
}

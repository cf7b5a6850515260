/**
 * Finds answers that an entry cut and requests whose upstream fell silent, from logs alone.
 */
import { formatTable } from '../table.js'
import type { LogLine } from './log-lines.js'
import { followSends } from './request-sends.js'

/** Causes of cut answers that a request's `end` does not have. */
const cutCauses: Readonly<Record<string, string>> = {
  'entry-fault': 'an error within the entry: see `ended by a fault of the entry.`',
  'process-end': 'its entry\'s process ended first'
}
/** The first sentence: the next ones say whether a request ran that got no answer, which does not hold for a cut answer. */
function firstSentence (text: string): string { return /^.*?(?=\.( |$))/.exec(text)?.[0] ?? text }

/** Share of an upstream's silence from which the entry's own pause explains it. */
const ownPauseShare = 0.5
/** Time in ms without data from which an upstream counts as silent. */
const silentFrom = 250

/** Answers that were cut for one cause. */
export interface CutAnswers {
  readonly cause: string
  requests: number
  /** Answers of which the caller had a part. */
  begun: number
  /** Answers whose upstream seemed silent since the entry itself paused. */
  entryPaused: number
  /** Longest silence of an upstream in ms. */
  longestSilence: number
}

/** How requests whose upstream fell silent went on, as numbers of requests. */
export interface Silences {
  stalled: number
  sentBeside: number
  continuedByFirst: number
  takenOver: number
  /** Delivered, and the logs do not tell by which upstream: one of the two answered with an error. */
  deliveredByEither: number
  notDelivered: number
  /** Without a line with their end. */
  open: number
}

function hasEntryPaused ({ silence, ownPause }: LogLine): boolean { return Number(silence) >= silentFrom && Number(ownPause) >= Number(silence) * ownPauseShare }

/**
 * Says why an answer was cut.
 *
 * @param line - its line `request: answer cut.`
 * @param meanings - what each value of a request's `end` means
 */
export function describeCut (line: LogLine, meanings: Readonly<Record<string, string>>): string {
  const { cause, begun, upstream, silence, ownPause } = line
  const whoStoodStill = hasEntryPaused(line) ? ', so the entry stood still' : Number(silence) >= silentFrom ? ', so the upstream was silent' : ''
  const why = cutCauses[String(cause)] ?? meanings[String(cause)]
  const parts = [
    `Its connection was closed ${begun === true ? 'within' : 'before'} its answer, by its entry. Cause: ${String(cause)}${why === undefined ? '' : ` (${firstSentence(why)})`}.`,
    ...(silence === undefined ? [] : [`Its upstream ${String(upstream)} had sent nothing for ${String(silence)} ms; the entry's own longest pause in that time was ${String(ownPause)} ms${whoStoodStill}.`])
  ]
  return parts.join(' ')
}

/**
 * Lists where a request was sent and withdrawn, for requests with more than one upstream or a cut answer.
 *
 * @param lines - its log lines in order of time
 */
export function describeSends (lines: readonly LogLine[]): readonly string[] {
  const { sends, withdrawals } = followSends(lines)
  if (sends.length < 2 && !lines.some(({ msg }) => msg === 'request: answer cut.')) return []
  return [
    ...sends.map(({ send, upstream, beside, config, version }) => `Send ${String(send)}: ${String(upstream)}${beside === undefined ? '' : `, beside the first one (${String(beside)})`}, configuration ${String(config ?? 'unknown')}${version === undefined ? '' : `, adapter version ${String(version)}`}`),
    ...withdrawals.map(({ line, from, favoured }) => `Withdrawn from ${String(from)} in favour of ${String(favoured ?? 'an unknown upstream')}${line.lastEventId === undefined ? '' : `, after event ${String(line.lastEventId)}`}`)
  ]
}

/** Counts cut answers by cause, the most frequent first. */
export function cutAnswers (lines: readonly LogLine[]): readonly CutAnswers[] {
  const causes = new Map<string, CutAnswers>()
  for (const line of lines) {
    if (line.msg !== 'request: answer cut.') continue
    const cause = String(line.cause)
    const cut = causes.get(cause) ?? { cause, requests: 0, begun: 0, entryPaused: 0, longestSilence: 0 }
    causes.set(cause, cut)
    cut.requests++
    if (line.begun === true) cut.begun++
    if (hasEntryPaused(line)) cut.entryPaused++
    cut.longestSilence = Math.max(cut.longestSilence, Number(line.silence ?? 0))
  }
  return [...causes.values()].sort((a, b) => b.requests - a.requests)
}

/** Formats the cut answers by cause. */
export function cutTable (cuts: readonly CutAnswers[]): string {
  return formatTable(['answers cut', 'requests', 'within the answer', 'entry stood still', 'longest silence, ms'], cuts.map(({ cause, requests, begun, entryPaused, longestSilence }) => [cause, String(requests), String(begun), String(entryPaused), String(longestSilence)]))
}

function outcomeOf (lines: readonly LogLine[]): keyof Silences {
  const end = lines.findLast(({ msg }) => msg === 'request: over.')?.end
  if (end === undefined) return 'open'
  if (end !== 'delivered') return 'notDelivered'
  const { open, late } = followSends(lines)
  if (!open.has(late)) return 'takenOver'
  return open.size === 1 ? 'continuedByFirst' : 'deliveredByEither'
}

/** Counts how requests whose upstream fell silent went on. */
export function silences (lines: readonly LogLine[]): Silences {
  const stalled = new Set(lines.filter(({ msg }) => msg === 'request: stalled.').map(({ request }) => request))
  const byRequest = new Map<unknown, LogLine[]>([...stalled].map(request => [request, []]))
  for (const line of lines) byRequest.get(line.request)?.push(line)
  const counts: Silences = { stalled: stalled.size, sentBeside: 0, continuedByFirst: 0, takenOver: 0, deliveredByEither: 0, notDelivered: 0, open: 0 }
  for (const own of byRequest.values()) {
    if (own.some(({ msg, beside }) => msg === 'request: sent.' && beside === 'stalled')) counts.sentBeside++
    counts[outcomeOf(own)]++
  }
  return counts
}

/** Formats how requests whose upstream fell silent went on. */
export function silenceTable ({ stalled, sentBeside, continuedByFirst, takenOver, deliveredByEither, notDelivered, open }: Silences): string {
  const rows: ReadonlyArray<readonly [string, number]> = [
    ['all', stalled],
    ['sent to a second one beside it', sentBeside],
    ['continued by the first', continuedByFirst],
    ['taken over by the second', takenOver],
    ['delivered by one of them', deliveredByEither],
    ['not delivered', notDelivered],
    ['not over', open]
  ]
  return formatTable(['upstream fell silent', 'requests'], rows.map(([name, requests]) => [name, String(requests)]))
}

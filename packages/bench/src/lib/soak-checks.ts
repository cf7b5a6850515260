/**
 * Compares what callers were told with what the stand-ins recorded.
 */
import type { CallerResult } from './callers.js'
import type { Fleet } from './fleet.js'

/** One booking with all its attempts. */
export interface BookingStory {
  readonly token: string
  readonly attempts: readonly CallerResult[]
}

/** What a soak saw. */
export interface SoakRecord {
  readonly completions: readonly CallerResult[]
  readonly bookings: readonly BookingStory[]
  readonly entryKills: readonly number[]
  readonly revisionDrops: readonly string[]
}

/** Version in force of every adapter of a fleet. */
const versionInForce = '2'

/** The text that an engine gives; a caller may have seen a part of it. */
function modelText (model: string, tokens: number): string {
  const full = model.includes('@') ? model : `${model}@${versionInForce}`
  return Array.from({ length: tokens }, (_, i) => `${full}:${i} `).join('')
}

function checkCompletion (result: CallerResult, tokens: number): string | undefined {
  const expected = modelText(result.model, tokens)
  if (result.status === 200 && result.whole && result.text !== expected) return `${result.token}: an answer that ended is not the whole answer of ${result.model}: "${result.text}"`
  if (result.status === 200 && !expected.startsWith(result.text)) return `${result.token}: text of another request than ${result.model}`
  return undefined
}

function checkBooking (story: BookingStory, runs: number): string | undefined {
  const { token, attempts } = story
  if (runs > 1) return `${token}: ran ${runs} times`
  if (attempts.some(attempt => attempt.status === 201) && runs !== 1) return `${token}: confirmed but ran ${runs} times`
  if (attempts.every(attempt => attempt.verdict === 'not-run') && runs !== 0) return `${token}: told not-run but it ran`
  const wrongStatus = attempts.find(attempt => attempt.verdict === 'may-have-run' && attempt.status === 503)
  return wrongStatus === undefined ? undefined : `${token}: may-have-run told as 503`
}

function checkAnswered (result: CallerResult, record: SoakRecord): string | undefined {
  if (result.status !== 0 || record.entryKills.length > 0) return undefined
  return `${result.token}: no answer (${result.code}) though no entry was killed`
}

/**
 * Lists every broken promise.
 *
 * @param fleet - its stand-ins hold the independent record
 * @param record - what callers were told
 * @param tokens - tokens of each completion
 */
export function findViolations (fleet: Fleet, record: SoakRecord, tokens: number): readonly string[] {
  const runsOf = (token: string): number => fleet.plains.reduce((sum, plain) => sum + (plain.bookings.get(token) ?? 0), 0)
  const found: (string | undefined)[] = [
    ...record.completions.map(result => checkCompletion(result, tokens)),
    ...record.bookings.map(story => checkBooking(story, runsOf(story.token))),
    ...[...record.completions, ...record.bookings.flatMap(story => story.attempts)].map(result => checkAnswered(result, record)),
    ...fleet.engines.flatMap(engine => engine.evictedInUse.map(name => `${name}: evicted in use`)),
    ...record.revisionDrops
  ]
  return found.filter(problem => problem !== undefined)
}

/**
 * Compares the answers that callers got with the records of the stand-ins.
 */
import type { CallerResult } from './callers.js'
import type { Fleet } from './fleet.js'

/** One booking and the results of all its attempts. */
export interface BookingAttempts {
  readonly token: string
  readonly attempts: readonly CallerResult[]
}

/** What a soak recorded. */
export interface SoakRecord {
  readonly completions: readonly CallerResult[]
  readonly bookings: readonly BookingAttempts[]
  readonly entryKills: readonly number[]
  readonly revisionDrops: readonly string[]
}

/** Version in force of every adapter of a fleet. */
const versionInForce = '2'

/** The whole text that an engine produces; a caller may have received only its beginning. */
function modelText (model: string, tokens: number): string {
  const full = model.includes('@') ? model : `${model}@${versionInForce}`
  return Array.from({ length: tokens }, (_, i) => `${full}:${i} `).join('')
}

function checkCompletion (result: CallerResult, tokens: number): string | undefined {
  const expected = modelText(result.model, tokens)
  if (result.status === 200 && result.whole && result.text !== expected) return `${result.token}: a completed answer is not the whole answer of ${result.model}: "${result.text}"`
  if (result.status === 200 && !expected.startsWith(result.text)) return `${result.token}: the answer contains text that is not from ${result.model}`
  return undefined
}

function checkBooking (booking: BookingAttempts, runs: number): string | undefined {
  const { token, attempts } = booking
  if (runs > 1) return `${token}: ran ${runs} times`
  if (attempts.some(attempt => attempt.status === 201) && runs !== 1) return `${token}: confirmed but ran ${runs} times`
  if (attempts.every(attempt => attempt.verdict === 'not-run') && runs !== 0) return `${token}: answered not-run but it ran`
  const wrongStatus = attempts.find(attempt => attempt.verdict === 'may-have-run' && attempt.status === 503)
  return wrongStatus === undefined ? undefined : `${token}: may-have-run answered with status 503`
}

function checkAnswered (result: CallerResult, record: SoakRecord): string | undefined {
  if (result.status !== 0 || record.entryKills.length > 0) return undefined
  return `${result.token}: no answer (${result.code}) though no entry was killed`
}

/**
 * Lists every violated guarantee.
 *
 * @param fleet - the fleet, whose stand-ins keep independent records
 * @param record - what the callers recorded
 * @param tokens - number of tokens of each completion
 */
export function findViolations (fleet: Fleet, record: SoakRecord, tokens: number): readonly string[] {
  const runsOf = (token: string): number => fleet.plains.reduce((sum, plain) => sum + (plain.bookings.get(token) ?? 0), 0)
  const found: (string | undefined)[] = [
    ...record.completions.map(result => checkCompletion(result, tokens)),
    ...record.bookings.map(booking => checkBooking(booking, runsOf(booking.token))),
    ...[...record.completions, ...record.bookings.flatMap(booking => booking.attempts)].map(result => checkAnswered(result, record)),
    ...fleet.engines.flatMap(engine => engine.evictedInUse.map(name => `${name}: evicted while in use`)),
    ...record.revisionDrops
  ]
  return found.filter(problem => problem !== undefined)
}

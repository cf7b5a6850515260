/**
 * Messages with which entries decide on quarantines together.
 */
import type { Ms } from '@hazelford/core'
import type { LostRequests } from '@hazelford/decisions'
import { isNonNegativeNumber } from '../non-negative-number.js'

/** Upstreams that terminated while running requests, reported to an entry that counts terminations. */
export interface TerminationsMessage {
  /** `request`: its fingerprint; `age`: ms since its answer was lost. */
  readonly ends: ReadonlyArray<{ readonly request: string, readonly upstream: string, readonly age: Ms }>
  /** The same terminations by prompt parts; undefined from an entry of a version that does not send them. */
  readonly parts?: readonly PartTerminationReport[]
}

/** An upstream that terminated while it had requests of one entry. */
export interface PartTerminationReport {
  readonly upstream: string
  /** Ms since the answers were lost. */
  readonly age: Ms
  /** Prompt parts of the lost requests, each with the requests that have it. */
  readonly parts: ReadonlyArray<readonly [part: string, lost: LostRequests]>
}

/** A suspect, as `suspectKey` writes it, or a prompt part, with the ms since something happened to it. */
export type AgeRow = readonly [key: string, age: Ms]

/** Quarantined requests and prompt parts, as `suspectKey` writes them. */
export interface QuarantinedMessage {
  readonly requests: readonly string[]
  /** Of some of them, ms since the first termination that counts against them; undefined from an entry of a version that does not send it. */
  readonly terminated?: readonly AgeRow[]
  /** Those that were found to do no harm; undefined from an entry of a version that does not send them. */
  readonly released?: readonly string[]
}

/** Asks which of some requests, by fingerprint, were answered completely in the recent past. */
export interface AnsweredQuery {
  readonly requests: readonly string[]
  /** Prompt parts; undefined from an entry of a version that does not ask about them. */
  readonly parts?: readonly string[]
}

/** Reply to an {@link AnsweredQuery}. */
export interface AnsweredReply {
  readonly answered: readonly string[]
  /** For each of them, ms since the newest answer began; undefined from an entry of a version that does not send it. */
  readonly ages?: readonly AgeRow[]
  /** Prompt parts that were answered, with the ms since the newest answer that clears them began; undefined from an entry of a version that does not know prompt parts. */
  readonly parts?: readonly AgeRow[]
}

function isString (value: unknown): value is string { return typeof value === 'string' }

function isStrings (value: unknown): value is readonly string[] { return Array.isArray(value) && value.every(isString) }

function isAgeRow (value: unknown): value is AgeRow { return Array.isArray(value) && isString(value[0]) && isNonNegativeNumber(value[1]) }

/** Whether a field is absent, as from an entry of a version that does not send it, or a list of valid rows. */
function isListOrAbsent (value: unknown, isRow: (row: unknown) => boolean): boolean { return value === undefined || (Array.isArray(value) && value.every(isRow)) }

function isTermination (value: unknown): boolean {
  const { request, upstream, age } = (value ?? {}) as Record<string, unknown>
  return isString(request) && isString(upstream) && isNonNegativeNumber(age)
}

function isLostPart (value: unknown): boolean {
  if (!Array.isArray(value) || !isString(value[0])) return false
  const { requests, isFirst } = (value[1] ?? {}) as Record<string, unknown>
  return isStrings(requests) && typeof isFirst === 'boolean'
}

function isPartReport (value: unknown): boolean {
  const { upstream, age, parts } = (value ?? {}) as Record<string, unknown>
  return isString(upstream) && isNonNegativeNumber(age) && Array.isArray(parts) && parts.every(isLostPart)
}

/** Reads reports of terminations; undefined when the value is malformed. */
export function readTerminations (value: unknown): TerminationsMessage | undefined {
  const { ends, parts } = (value ?? {}) as Record<string, unknown>
  const isValid = Array.isArray(ends) && ends.every(isTermination) && isListOrAbsent(parts, isPartReport)
  return isValid ? value as TerminationsMessage : undefined
}

/** Reads quarantined and released suspects; undefined when the value is malformed. */
export function readQuarantined (value: unknown): QuarantinedMessage | undefined {
  const { requests, terminated, released } = (value ?? {}) as Record<string, unknown>
  const isValid = isStrings(requests) && isListOrAbsent(terminated, isAgeRow) && isListOrAbsent(released, isString)
  return isValid ? value as QuarantinedMessage : undefined
}

/** Reads a query for answered requests; undefined when the value is malformed. */
export function readAnsweredQuery (value: unknown): AnsweredQuery | undefined {
  const { requests, parts } = (value ?? {}) as Record<string, unknown>
  return isStrings(requests) && isListOrAbsent(parts, isString) ? value as AnsweredQuery : undefined
}

/** Reads the reply to such a query; undefined when the value is malformed. */
export function readAnsweredReply (value: unknown): AnsweredReply | undefined {
  const { answered, ages, parts } = (value ?? {}) as Record<string, unknown>
  return isStrings(answered) && isListOrAbsent(ages, isAgeRow) && isListOrAbsent(parts, isAgeRow) ? value as AnsweredReply : undefined
}

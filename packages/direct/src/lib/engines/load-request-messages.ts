/**
 * Checks load requests and reports of use of other entries. A number that is none would stay in the engine's counts of
 * requests and prompt tokens, and no request would be admitted there any more.
 */
import { isNonNegativeNumber } from '../non-negative-number.js'
import type { LoadRequestMessage, UseMessage } from '../peers/peer-messages.js'

/** Largest number of open requests that an entry may report: one for each port of its address. */
const maxOutstanding = 65_535
/** Largest prompt that an entry may announce, in tokens; callers' requests are limited to some MB. */
const maxPromptTokens = 10_000_000

type Fields = Readonly<Record<string, unknown>>

function isRecord (value: unknown): value is Fields { return typeof value === 'object' && value !== null && !Array.isArray(value) }
function isText (value: unknown): value is string { return typeof value === 'string' }
function isUpTo (value: unknown, most: number): boolean { return isNonNegativeNumber(value) && value <= most }
function isTextList (value: unknown): boolean { return Array.isArray(value) && value.every(isText) }
function isOptional (value: unknown, check: (value: unknown) => boolean): boolean { return value === undefined || check(value) }

function isRequestedAdapter (value: unknown): boolean {
  return isRecord(value) && isText(value.model) && isOptional(value.adapter, isText) && isOptional(value.version, isNonNegativeNumber)
}

function isPrompt (value: unknown): boolean {
  // JSON has no infinity: the time of a request without a due time arrives as null.
  return isRecord(value) && isText(value.request) && isUpTo(value.tokens, maxPromptTokens) && (value.dueIn === null || typeof value.dueIn === 'number') && isOptional(value.organisation, isText)
}

/** Reads a load request; undefined when it is malformed. Fields of later versions are kept; `paces` have a reader of their own. */
export function readLoadRequest (body: unknown): LoadRequestMessage | undefined {
  if (!isRecord(body)) return undefined
  const { upstream, want, urgency, patience, answerIn, missing, mayWait, repeated, entry, uses, outstanding, prompt, streams, paused, heard } = body
  const isValid = isText(upstream) && isText(entry) && isRequestedAdapter(want) && isTextList(uses) &&
    [streams, paused, heard].every(isNonNegativeNumber) && [urgency, patience, answerIn].every(Number.isFinite) &&
    [missing, mayWait, repeated].every(flag => typeof flag === 'boolean') && isUpTo(outstanding, maxOutstanding) && isOptional(prompt, isPrompt)
  return isValid ? body as unknown as LoadRequestMessage : undefined
}

/** Reads a report of use; undefined when it is malformed. */
export function readUse (body: unknown): UseMessage | undefined {
  if (!isRecord(body)) return undefined
  const { upstream, entry, uses, outstanding } = body
  const isValid = isText(upstream) && isText(entry) && isTextList(uses) && isOptional(outstanding, value => isUpTo(value, maxOutstanding))
  return isValid ? body as unknown as UseMessage : undefined
}

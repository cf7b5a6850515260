/**
 * Decides which heads of HTTP/1.1 messages are answers, and what ends their bodies (RFC 9110, sections 5 and 15; RFC 9112,
 * section 6).
 */

/**
 * What ends the body of an answer.
 *
 * - `empty`: it has none.
 * - `length`, `chunks`: the message itself.
 * - `connection`: the close of its connection, which a reset looks like.
 */
export type AnswerFraming = 'empty' | 'length' | 'chunks' | 'connection'

/** What makes a head none of an answer. */
export type HeadProblem = 'status' | 'reason' | 'field-name' | 'field-value' | 'transfer-coding' | 'length'

/** Whether a head is that of an answer. */
export type HeadVerdict =
  | { readonly kind: 'answer', readonly framing: AnswerFraming }
  | { readonly kind: 'invalid', readonly problem: HeadProblem }

const leastStatus = 200
const mostStatus = 599
/** Statuses of answers without a body. */
const emptyStatuses: ReadonlySet<number> = new Set([204, 304])
const token = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
// eslint-disable-next-line no-control-regex
const controlByte = /[\x00-\x08\x0a-\x1f\x7f]/
const lengthValue = /^\d+$/

/**
 * Judges the head of a final answer. Interim responses have to be left out before; a status below 200 in a final answer
 * is one that nobody asked for.
 *
 * @param method - of the request
 * @param status - of the answer
 * @param headers - names and values in turn, as received
 * @param reason - text after the status
 */
export function judgeAnswerHead (method: string, status: number, headers: readonly string[], reason = ''): HeadVerdict {
  if (!Number.isInteger(status) || status < leastStatus || status > mostStatus) return { kind: 'invalid', problem: 'status' }
  if (controlByte.test(reason)) return { kind: 'invalid', problem: 'reason' }
  const codings: string[] = []
  const lengths: string[] = []
  for (let at = 0; at < headers.length; at += 2) {
    const [name, value] = [headers[at]!, headers[at + 1] ?? '']
    if (!token.test(name)) return { kind: 'invalid', problem: 'field-name' }
    if (controlByte.test(value)) return { kind: 'invalid', problem: 'field-value' }
    if (name.toLowerCase() === 'transfer-encoding') codings.push(value.trim().toLowerCase())
    if (name.toLowerCase() === 'content-length') lengths.push(value.trim())
  }
  // No request accepts a coding beside chunks, so the body of any other one can't be decoded.
  if (codings.length > 1 || (codings.length === 1 && codings[0] !== 'chunked')) return { kind: 'invalid', problem: 'transfer-coding' }
  if (lengths.length + codings.length > 1 || !lengths.every(length => lengthValue.test(length))) return { kind: 'invalid', problem: 'length' }
  return { kind: 'answer', framing: framingOf(method, status, lengths.length > 0, codings.length > 0) }
}

function framingOf (method: string, status: number, hasLength: boolean, isChunked: boolean): AnswerFraming {
  if (method === 'HEAD' || emptyStatuses.has(status)) return 'empty'
  if (isChunked) return 'chunks'
  return hasLength ? 'length' : 'connection'
}

/**
 * Writes the single answer to a caller's request.
 */
import type { ServerResponse } from 'node:http'
import type { Ms } from '@hazelford/core'
import type { RelayFailure, UnauthorisedCause } from '@hazelford/decisions'
import type { AnswerHead, WholeAnswer } from './exchange.js'

/** Errors of the entry itself, with the fields that decide the status. */
export type EntryError =
  | { readonly kind: 'relay', readonly failure: RelayFailure, readonly notRun: boolean, readonly retryAfter: Ms }
  | { readonly kind: 'bad-request', readonly message: string }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'headers-too-large' }
  | { readonly kind: 'body-too-large' }
  | { readonly kind: 'body-incomplete' }
  | { readonly kind: 'no-body-memory', readonly retryAfter: Ms }
  | { readonly kind: 'no-config', readonly retryAfter: Ms }
  | { readonly kind: 'unauthorised', readonly cause: UnauthorisedCause }
  /** Whether the usage of its organisation is within the limit could not be found out. */
  | { readonly kind: 'usage-unknown', readonly retryAfter: Ms }
  | { readonly kind: 'over-limit', readonly organisation: string, readonly retryAfter: Ms }
  /** The configuration may have changed without this entry knowing, so the request's key may be withdrawn. */
  | { readonly kind: 'config-unproven', readonly retryAfter: Ms }

/** Statuses of answers that end with their head. */
const bodilessStatuses: readonly number[] = [204, 304]

/** Whether the request failed because its time ran out. */
function isTimeout (failure: RelayFailure): boolean { return failure === 'timeout-sent' || failure === 'timeout-unsent' }

/**
 * Status of an error.
 *
 * 503 promises that the request has not run and won't; a request that may have run gets 502 or 504, which promise
 * nothing.
 *
 * @param error - to be reported to the caller
 */
export function statusOf (error: EntryError): number {
  switch (error.kind) {
    case 'bad-request': return 400
    case 'no-route': return 404
    case 'headers-too-large': return 431
    case 'body-too-large': return 413
    case 'body-incomplete': return 408
    case 'unauthorised': return 401
    case 'over-limit': return 429
    case 'no-body-memory':
    case 'usage-unknown':
    case 'no-config':
    case 'config-unproven': return 503
    case 'relay':
      if (error.notRun) return error.failure === 'key-withdrawn' ? 401 : 503
      return isTimeout(error.failure) ? 504 : 502
  }
}

function messageOf (error: EntryError): string {
  switch (error.kind) {
    case 'bad-request': return error.message
    case 'no-route': return 'No route matches this host and path.'
    case 'headers-too-large': return 'The headers are larger than the configuration allows.'
    case 'body-too-large': return 'The body is larger than the configuration allows.'
    case 'body-incomplete': return 'The body did not arrive within the time limit of its route. The request did not run.'
    case 'no-body-memory': return 'The entry has no memory for the body now. The request did not run; send it again later.'
    case 'no-config': return 'No configuration is known yet. Send the request again later.'
    case 'unauthorised': return `The request has no valid key for this route (${error.cause}). Send the key of your organisation as "Authorization: Bearer KEY".`
    case 'usage-unknown': return 'Whether the usage limit leaves room can not be found out now. The request did not run; send it again later.'
    case 'over-limit': return `The usage limit of ${error.organisation} is used up for now. The request did not run; send it again later.`
    case 'config-unproven': return 'Whether the key is still valid can not be verified now. The request did not run; send it again later.'
    case 'relay': return error.notRun
      ? `The request did not run (${error.failure}). Send it again later.`
      : `The request may have run (${error.failure}). Repeat it only if that does no harm.`
  }
}

/** The response to one caller. */
export class CallerAnswer {
  private _begun = false
  private _ended = false
  private _endsWithConnection = false
  private _isCut = false

  /**
   * @param _res - the raw response
   * @param _closing - whether the connection is closed after this answer, which begins now
   * @param _endConnection - called when the end of this answer is the close of its connection
   */
  constructor (private readonly _res: ServerResponse, private readonly _closing: () => boolean, private readonly _endConnection: () => void) {}

  get begun (): boolean { return this._begun }
  get ended (): boolean { return this._ended }
  /** Whether it was cut off. */
  get isCut (): boolean { return this._isCut }

  whole (answer: WholeAnswer): void {
    this._begun = true
    this._ended = true
    const hasLength = answer.framed && this._hasBody(answer)
    const framing = hasLength ? ['Content-Length', String(answer.body.length)] : this._framing(answer)
    this._res.writeHead(answer.status, answer.message, [...answer.headers, ...framing, ...this._connection()])
    this._res.end(answer.body)
  }

  /** Whether an answer with this head has a body, be it an empty one. */
  private _hasBody ({ status }: AnswerHead): boolean { return this._res.req.method !== 'HEAD' && !bodilessStatuses.includes(status) }

  /**
   * Returns the headers that mark the end of an answer of unknown length. `ServerResponse` adds the one for chunks. A caller
   * of HTTP/1.0 has only the close of its connection, which looks the same when this process ends.
   */
  private _framing (head: AnswerHead): string[] {
    if (!this._hasBody(head) || this._res.req.httpVersion !== '1.0') return []
    this._res.useChunkedEncodingByDefault = false
    this._endsWithConnection = true
    this._endConnection()
    return ['Connection', 'close']
  }

  /** Begins an answer that is passed on as it arrives. */
  begin (head: AnswerHead): void {
    this._begun = true
    this._res.writeHead(head.status, head.message, [...head.headers, ...this._framing(head), ...this._connection()])
  }

  /** @returns false when the caller reads too slowly, until {@link onDrain} */
  data (bytes: Buffer): boolean { return this._res.write(bytes) }

  onDrain (run: () => void): void { this._res.once('drain', run) }

  end (): void {
    this._ended = true
    this._res.end()
  }

  /**
   * Answers with an error.
   *
   * @param endAfter - calls the function that it gets when the response may end; the caller has all of the answer before
   */
  fail (error: EntryError, endAfter?: (end: () => void) => void): void {
    this._begun = true
    this._ended = true
    const body = JSON.stringify({ error: { message: messageOf(error), code: error.kind === 'relay' ? error.failure : error.kind } })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...this._connection()]
    const status = statusOf(error)
    if (status === 401) headers.push('WWW-Authenticate', 'Bearer')
    else if ('retryAfter' in error) headers.push('Retry-After', (error.retryAfter / 1_000).toFixed(3))
    this._res.writeHead(status, headers)
    if (endAfter === undefined) {
      this._res.end(body)
      return
    }
    this._res.write(body)
    endAfter(() => this._res.end())
  }

  /** Cuts off an answer that has begun, in such a way that the caller can't take it for complete. */
  break (): void {
    this._ended = true
    this._isCut = true
    const { socket } = this._res
    // If the close of the connection marks the end of the answer, only a reset shows that the answer is incomplete. Nothing was
    // sent of one that waits behind another answer, and a reset could cut that one.
    if (this._endsWithConnection && socket !== null) socket.resetAndDestroy()
    else this._res.destroy()
  }

  /**
   * Resets the connection of an answer that only the close of its connection ends, unless all of it was sent: the process ends
   * now, and its kernel would close the connection in an orderly way.
   */
  endWithProcess (): void {
    if (this._endsWithConnection && !this._res.writableFinished) this._res.socket?.resetAndDestroy()
  }

  private _connection (): string[] {
    return !this._endsWithConnection && this._closing() ? ['Connection', 'close'] : []
  }
}

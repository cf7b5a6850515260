/**
 * Writes the one answer to a caller.
 */
import type { ServerResponse } from 'node:http'
import type { Ms } from '@hazelford/core'
import type { RelayFailure, UnauthorisedCause } from '@hazelford/decisions'
import type { AnswerHead, WholeAnswer } from './exchange.js'

/** Errors of the entry's own, with the status that says whether the request ran. */
export type EntryError =
  | { readonly kind: 'relay', readonly failure: RelayFailure, readonly notRun: boolean, readonly retryAfter: Ms }
  | { readonly kind: 'bad-request', readonly message: string }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'body-too-large' }
  | { readonly kind: 'no-config', readonly retryAfter: Ms }
  | { readonly kind: 'unauthorised', readonly cause: UnauthorisedCause }
  | { readonly kind: 'over-limit', readonly organisation: string, readonly retryAfter: Ms }
  /** The configuration may have changed unheard, and the request's key with it. */
  | { readonly kind: 'config-unproven', readonly retryAfter: Ms }

/** Whether the failure is that time ran out. */
function isTimeout (failure: RelayFailure): boolean { return failure === 'timeout-sent' || failure === 'timeout-unsent' }

/**
 * Status of an error.
 *
 * 503 promises that the request has not run and won't; what may have run gets 502 or 504,
 * which promise nothing.
 *
 * @param error - what the caller is told
 */
export function statusOf (error: EntryError): number {
  switch (error.kind) {
    case 'bad-request': return 400
    case 'no-route': return 404
    case 'body-too-large': return 413
    case 'unauthorised': return 401
    case 'over-limit': return 429
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
    case 'body-too-large': return 'The body is larger than the configuration allows.'
    case 'no-config': return 'No configuration is known yet. Send the request again later.'
    case 'unauthorised': return `The request shows no key that opens this route (${error.cause}). Send the key of your organisation as "Authorization: Bearer KEY".`
    case 'over-limit': return `The usage limit of ${error.organisation} is used up for now. The request did not run; send it again later.`
    case 'config-unproven': return 'It can not be told now whether the key is still good. The request did not run; send it again later.'
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

  /**
   * @param _res - the raw response
   * @param _closing - whether the connection ends after this answer
   */
  constructor (private readonly _res: ServerResponse, private readonly _closing: () => boolean) {}

  get begun (): boolean { return this._begun }
  get ended (): boolean { return this._ended }

  whole (answer: WholeAnswer): void {
    this._begun = true
    this._ended = true
    const length = answer.framed ? ['Content-Length', String(answer.body.length)] : this._unframed()
    this._res.writeHead(answer.status, answer.message, [...answer.headers, ...length, ...this._connection()])
    this._res.end(answer.body)
  }

  /**
   * Passes on an answer that ends with its connection in the same way. Given a length here, an
   * answer that was cut short would look whole to its caller.
   */
  private _unframed (): string[] {
    this._res.useChunkedEncodingByDefault = false
    this._endsWithConnection = true
    return this._closing() ? [] : ['Connection', 'close']
  }

  /** Begins an answer that is passed on as it comes. */
  begin (head: AnswerHead): void {
    this._begun = true
    const framing = head.framed ? [] : this._unframed()
    this._res.writeHead(head.status, head.message, [...head.headers, ...framing, ...this._connection()])
  }

  /** @returns false when the caller reads too slowly, until {@link onDrain} */
  data (bytes: Buffer): boolean { return this._res.write(bytes) }

  onDrain (run: () => void): void { this._res.once('drain', run) }

  end (): void {
    this._ended = true
    this._res.end()
  }

  fail (error: EntryError): void {
    this._begun = true
    this._ended = true
    const body = JSON.stringify({ error: { message: messageOf(error), code: error.kind === 'relay' ? error.failure : error.kind } })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...this._connection()]
    const status = statusOf(error)
    if (status === 401) headers.push('WWW-Authenticate', 'Bearer')
    else if ('retryAfter' in error) headers.push('Retry-After', (error.retryAfter / 1_000).toFixed(3))
    this._res.writeHead(status, headers)
    this._res.end(body)
  }

  /** Cuts an answer that has begun, without its end, so that it can't be taken for whole. */
  break (): void {
    this._ended = true
    // Where the end of the connection is the end of the answer, only a reset tells them apart.
    if (this._endsWithConnection) this._res.socket?.resetAndDestroy()
    else this._res.destroy()
  }

  private _connection (): string[] {
    return this._closing() ? ['Connection', 'close'] : []
  }
}

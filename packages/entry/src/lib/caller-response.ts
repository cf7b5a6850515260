/**
 * The response to one caller: status, headers, body, and errors that state whether the
 * request may have run.
 */
import type { ServerResponse } from 'node:http'
import type { Failure, Verdict } from '@hazelford/core'
import type { AnswerHead } from '@hazelford/decisions'

const internalPrefix = 'x-hazelford-'

/**
 * HTTP status of a failure.
 *
 * `not-run` is 503 with `Retry-After` unless the code has a status of its own;
 * `may-have-run` is never 503, since clients repeat a 503 automatically.
 *
 * @param cause - the failure that the caller receives
 */
export function statusOf (cause: Failure): number {
  switch (cause.code) {
    case 'bad-request':
    case 'bad-deadline': return 400
    case 'unknown-model':
    case 'unknown-service': return 404
    case 'too-large': return 413
    case 'key-in-use': return cause.verdict === 'not-run' ? 422 : 409
    case 'deadline': return cause.verdict === 'not-run' ? 503 : 504
    default: return cause.verdict === 'not-run' ? 503 : 502
  }
}

function errorBody (cause: Failure, requestId: string): string {
  const { message, code, verdict, retryAfter } = cause
  return JSON.stringify({ error: { message, type: 'hazelford_error', code, verdict, request_id: requestId, retry_after_ms: retryAfter } })
}

/** Writes the response to one caller. */
export class CallerResponse {
  private _written = 0
  private _flushed = 0
  private _streamed = false

  /**
   * @param _res - the raw response
   * @param requestId - sent to the caller as `x-request-id`
   * @param _onFlushed - receives the number of chunks that the caller's connection has accepted
   */
  constructor (private readonly _res: ServerResponse, readonly requestId: string, private readonly _onFlushed: (chunks: number) => void) {
    _res.on('drain', () => this._flush())
  }

  head (head: AnswerHead): void {
    const headers: Record<string, string | string[]> = {}
    for (const { name, value } of head.headers) {
      if (name.startsWith(internalPrefix)) continue
      const earlier = headers[name]
      headers[name] = earlier === undefined ? value : [earlier, value].flat()
    }
    this._streamed = String(headers['content-type']).startsWith('text/event-stream')
    this._res.writeHead(head.status, { ...headers, ...this._ownHeaders('ran') })
    if (this._streamed) this._res.flushHeaders()
  }

  chunk (data: Uint8Array): void {
    this._written++
    if (this._res.write(data)) this._flush()
  }

  end (): void { this._res.end() }

  /** Answers with an error, when no part of an answer has been sent. */
  fail (cause: Failure): void {
    const body = errorBody(cause, this.requestId)
    const headers: Record<string, string | number> = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...this._ownHeaders(cause.verdict)
    }
    if (cause.retryAfter > 0) headers['retry-after'] = Math.ceil(cause.retryAfter / 1_000)
    this._res.writeHead(statusOf(cause), headers)
    this._res.end(body)
  }

  /** Breaks off an answer that has begun, in such a way that no client can take the part for the whole. */
  break (cause: Failure): void {
    if (!this._streamed) return this._cut()
    this._res.write(`event: error\ndata: ${errorBody(cause, this.requestId)}\n\n`, () => this._cut())
  }

  /** Closes the connection without the last chunk. A caller of HTTP/1.0 gets no chunks, and only a reset shows it the break. */
  private _cut (): void {
    const { req, socket } = this._res
    if (req.httpVersion === '1.0' && socket !== null) socket.resetAndDestroy()
    else this._res.destroy()
  }

  private _ownHeaders (verdict: Verdict): Record<string, string> {
    return { 'x-request-id': this.requestId, 'x-hazelford-verdict': verdict }
  }

  private _flush (): void {
    if (this._flushed === this._written) return
    this._flushed = this._written
    this._onFlushed(this._flushed)
  }
}

/**
 * An attempt whose answer is being received over a channel.
 */
import { failure, type Failure, type FailureCode, type Ms, parseVerdict } from '@hazelford/core'
import { Sequencer } from '@hazelford/decisions'
import type { End, Head, Request } from '@hazelford/wire'
import type { AnswerReceiver } from './answer-receiver.js'

/** Most chunks of one answer that may be unacknowledged. */
export const creditChunks = 64
const reorderWindow = 4 * creditChunks

/** Checks order, completeness and end of the answer to one attempt. */
export class OpenAttempt {
  withdrawn = false
  private readonly _chunks: Sequencer<Uint8Array>
  private _headReceived = false
  private _end: End | undefined
  private _isFinished = false

  /**
   * @param request - the request as sent
   * @param deadlineAt - deadline on the entry's clock, for sending the request again
   * @param _receiver - receives the answer
   */
  constructor (readonly request: Request, readonly deadlineAt: Ms, private readonly _receiver: AnswerReceiver) {
    this._chunks = new Sequencer(data => this._receiver.chunk(data), reorderWindow)
  }

  /** Number of chunks received in order. */
  get received (): number { return this._chunks.delivered }

  /** Whether the head of the answer has been received. */
  get begun (): boolean { return this._headReceived }

  get over (): boolean { return this._isFinished }

  receiveHead (head: Head): void {
    if (this._headReceived || this._isFinished) return
    this._headReceived = true
    this._receiver.head({ status: head.status, headers: head.headers })
  }

  receiveChunk (index: number, data: Uint8Array): void {
    if (this._isFinished) return
    if (this._chunks.offer(index, data) === 'overflow') {
      return this.fail(failure('may-have-run', 'stream-incomplete', 'Part of the answer is missing.'))
    }
    this._endIfComplete()
  }

  receiveEnd (end: End): void {
    this._end = end
    this._endIfComplete()
  }

  /** Ends the attempt with a failure that the channel detected. */
  fail (cause: Failure): void {
    if (this._isFinished) return
    this._isFinished = true
    this._receiver.end({ verdict: cause.verdict, failure: cause })
  }

  /** Closes the attempt; the receiver is not called any more. */
  close (): void { this._isFinished = true }

  /**
   * Ends the attempt once the end frame and every chunk before it have been received. Ending
   * on the frame alone would truncate an answer without any error.
   */
  private _endIfComplete (): void {
    const end = this._end
    if (this._isFinished || end === undefined || this._chunks.delivered < end.chunks) return
    this._isFinished = true
    const verdict = parseVerdict(end.verdict)
    if (end.code === '') return this._receiver.end({ verdict })
    const cause = failure(verdict, end.code as FailureCode, end.message, end.retryAfterMs)
    this._receiver.end({ verdict, failure: cause })
  }
}

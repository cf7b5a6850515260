/**
 * An attempt that waits for its answer over a channel.
 */
import { failure, type Failure, type FailureCode, type Ms, parseVerdict } from '@hazelford/core'
import { Sequencer } from '@hazelford/decisions'
import type { End, Head, Request } from '@hazelford/wire'
import type { AnswerReceiver } from './answer-receiver.js'

/** Chunks that may be on their way or unread. */
export const creditChunks = 64
const reorderWindow = 4 * creditChunks

/** Order, completeness and end of one attempt's answer. */
export class OpenAttempt {
  withdrawn = false
  private readonly _chunks: Sequencer<Uint8Array>
  private _headSeen = false
  private _end: End | undefined
  private _over = false

  /**
   * @param request - as sent
   * @param deadlineAt - on the entry's clock, for sending it again
   * @param _receiver - hears the answer
   */
  constructor (readonly request: Request, readonly deadlineAt: Ms, private readonly _receiver: AnswerReceiver) {
    this._chunks = new Sequencer(data => this._receiver.chunk(data), reorderWindow)
  }

  /** Chunks received in order. */
  get received (): number { return this._chunks.delivered }

  /** Whether any of the answer has come. */
  get begun (): boolean { return this._headSeen }

  get over (): boolean { return this._over }

  receiveHead (head: Head): void {
    if (this._headSeen || this._over) return
    this._headSeen = true
    this._receiver.head({ status: head.status, headers: head.headers })
  }

  receiveChunk (index: number, data: Uint8Array): void {
    if (this._over) return
    if (this._chunks.offer(index, data) === 'overflow') {
      return this.fail(failure('may-have-run', 'stream-incomplete', 'A part of the answer is missing.'))
    }
    this._maybeEnd()
  }

  receiveEnd (end: End): void {
    this._end = end
    this._maybeEnd()
  }

  /** Ends the attempt with a failure that the channel found. */
  fail (cause: Failure): void {
    if (this._over) return
    this._over = true
    this._receiver.end({ verdict: cause.verdict, failure: cause })
  }

  /** Lets go of the attempt; the receiver hears nothing more. */
  close (): void { this._over = true }

  /**
   * The end counts only once every chunk before it was passed on. Ending on the
   * frame alone would cut an answer short without anybody noticing.
   */
  private _maybeEnd (): void {
    const end = this._end
    if (this._over || end === undefined || this._chunks.delivered < end.chunks) return
    this._over = true
    const verdict = parseVerdict(end.verdict)
    if (end.code === '') return this._receiver.end({ verdict })
    const cause = failure(verdict, end.code as FailureCode, end.message, end.retryAfterMs)
    this._receiver.end({ verdict, failure: cause })
  }
}

/**
 * One request at a sidecar: its state, its upstream call and the part of its answer that
 * the entry has not acknowledged.
 */
import type { Failure } from '@hazelford/core'
import type { AnswerHeader, CallHandle } from '@hazelford/engine'
import type { Chunk, Head, Request, SidecarFrame } from '@hazelford/wire'

/** State of a request. */
export type RunState = 'queued' | 'claiming' | 'running' | 'ended'

/** Sends frames to the entry, if it is connected. */
export interface EntryLink {
  readonly send: (frame: SidecarFrame) => void
  readonly sendChunk: (chunk: Chunk) => void
}

/**
 * A request and the unacknowledged part of its answer.
 *
 * Chunks are kept until the entry acknowledges them, so that they can be sent again after a
 * broken channel. The entry grants credit for a number of chunks; when that is used up, reading
 * from the upstream pauses, so that a slow caller uses bounded memory.
 */
export class RequestRun {
  state: RunState = 'queued'
  /** Whether the entry withdrew the request while its idempotency key was being claimed. */
  isWithdrawn = false
  handle: CallHandle | undefined

  private _head: Head | undefined
  private _unacknowledged: Chunk[] = []
  private _nextIndex = 0
  private _acknowledged = 0
  private _end: SidecarFrame | undefined
  private _paused = false
  private _failed = false

  /**
   * @param id - unique among all requests of this sidecar
   * @param request - the request frame as received
   * @param _link - connection to the entry
   */
  constructor (readonly id: string, readonly request: Request, private readonly _link: EntryLink) {}

  /** Whether the upstream's complete answer has been received. */
  get isComplete (): boolean { return this.state === 'ended' && !this._failed }

  /** Whether any part of the answer's body has been received from the upstream. */
  get hasAnswered (): boolean { return this._nextIndex > 0 }

  /** Forwards status and headers to the entry. */
  head (status: number, headers: readonly AnswerHeader[]): void {
    if (this.state === 'ended') return
    this._head = { seq: this.request.seq, status, headers: [...headers] }
    this._link.send({ body: { $case: 'head', value: this._head } })
  }

  /** Forwards a chunk of the body to the entry. */
  data (data: Uint8Array): void {
    // A call that must not be stopped continues after its caller received a failure. The rest of
    // its answer has no reader and must neither fill memory nor block the call.
    if (this.state === 'ended') return
    const chunk: Chunk = { seq: this.request.seq, index: this._nextIndex++, data: data as Buffer }
    this._unacknowledged.push(chunk)
    this._link.sendChunk(chunk)
    this._applyBackpressure()
  }

  /** Ends the request: with its complete answer, or with a failure. */
  end (cause?: Failure): void {
    if (this.state === 'ended') return
    this.state = 'ended'
    this._failed = cause !== undefined
    const { seq } = this.request
    this._end = {
      body: {
        $case: 'end',
        value: {
          seq,
          verdict: cause?.verdict ?? 'ran',
          code: cause?.code ?? '',
          message: cause?.message ?? '',
          retryAfterMs: cause?.retryAfter ?? 0,
          chunks: this._nextIndex
        }
      }
    }
    this._link.send(this._end)
  }

  /** Handles an acknowledgement: the entry has forwarded this many chunks. */
  acknowledge (received: number): void {
    if (received <= this._acknowledged) return
    this._unacknowledged.splice(0, received - this._acknowledged)
    this._acknowledged = received
    this._applyBackpressure()
  }

  /** Sends the frames again that the entry had not received when its connection broke. */
  replay (received: number): void {
    this.acknowledge(received)
    if (this._head !== undefined) this._link.send({ body: { $case: 'head', value: this._head } })
    for (const chunk of this._unacknowledged) this._link.sendChunk(chunk)
    if (this._end !== undefined) this._link.send(this._end)
  }

  private _applyBackpressure (): void {
    const full = this._unacknowledged.length >= this.request.credit
    if (full === this._paused) return
    this._paused = full
    if (full) this.handle?.pause()
    else this.handle?.resume()
  }
}

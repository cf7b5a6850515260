/**
 * One request at a sidecar: its place in the plan, its upstream call and the part of
 * its answer that the entry has not confirmed.
 */
import type { Failure } from '@hazelford/core'
import type { AnswerHeader, CallHandle } from '@hazelford/engine'
import type { Chunk, Head, Request, SidecarFrame } from '@hazelford/wire'

/** Where a request stands. */
export type RunState = 'queued' | 'claiming' | 'running' | 'ended'

/** Sends to the entry, if it is connected. */
export interface EntryLink {
  readonly send: (frame: SidecarFrame) => void
  readonly sendChunk: (chunk: Chunk) => void
}

/**
 * A request and its unconfirmed answer.
 *
 * Chunks stay until the entry acknowledges them, so that they can be sent again after
 * a channel broke. The entry grants credit for a number of chunks; when that is used
 * up the upstream is held back, so a slow caller costs bounded memory.
 */
export class RequestRun {
  state: RunState = 'queued'
  /** The entry no longer wants the answer. */
  isWithdrawn = false
  handle: CallHandle | undefined

  private _head: Head | undefined
  private _unconfirmed: Chunk[] = []
  private _nextIndex = 0
  private _confirmed = 0
  private _end: SidecarFrame | undefined
  private _paused = false
  private _failed = false

  /**
   * @param id - unique among all requests of this sidecar
   * @param request - as it came
   * @param _link - to the entry
   */
  constructor (readonly id: string, readonly request: Request, private readonly _link: EntryLink) {}

  /** Whether its whole answer has come. */
  get isComplete (): boolean { return this.state === 'ended' && !this._failed }

  /** Whether any of its answer has come from the upstream. */
  get hasAnswered (): boolean { return this._nextIndex > 0 }

  /** Passes on status and headers. */
  head (status: number, headers: readonly AnswerHeader[]): void {
    if (this.state === 'ended') return
    this._head = { seq: this.request.seq, status, headers: [...headers] }
    this._link.send({ body: { $case: 'head', value: this._head } })
  }

  /** Passes on a piece of the body. */
  data (data: Uint8Array): void {
    // A call that must not be stopped runs on after its caller was told; what it still
    // answers has no reader and must neither fill memory nor hold the call back.
    if (this.state === 'ended') return
    const chunk: Chunk = { seq: this.request.seq, index: this._nextIndex++, data: data as Buffer }
    this._unconfirmed.push(chunk)
    this._link.sendChunk(chunk)
    this._steer()
  }

  /** Ends the request: with its whole answer, or with a failure. */
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

  /** The entry has passed on this many chunks. */
  confirm (received: number): void {
    if (received <= this._confirmed) return
    this._unconfirmed.splice(0, received - this._confirmed)
    this._confirmed = received
    this._steer()
  }

  /** Sends again what the entry lacks after a reconnect. */
  replay (received: number): void {
    this.confirm(received)
    if (this._head !== undefined) this._link.send({ body: { $case: 'head', value: this._head } })
    for (const chunk of this._unconfirmed) this._link.sendChunk(chunk)
    if (this._end !== undefined) this._link.send(this._end)
  }

  private _steer (): void {
    const full = this._unconfirmed.length >= this.request.credit
    if (full === this._paused) return
    this._paused = full
    if (full) this.handle?.pause()
    else this.handle?.resume()
  }
}

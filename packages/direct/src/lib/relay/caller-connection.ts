/**
 * Tracks the requests of one caller's connection until each has its answer.
 */
import type { Socket } from 'node:net'

/** A request whose answer is not complete. */
export interface PendingRequest {
  /** Called when the connection closes, or its caller closes its side, before the answer is complete. */
  gone: () => void
  /** Called once: the answer is complete, or its connection has closed; `isLost`: closed, and not by the caller. */
  readonly done: (isLost: boolean) => void
}

/** One caller's connection. A caller may send further requests before it has the answer to the first one. */
export class CallerConnection {
  private readonly _pending = new Set<PendingRequest>()
  private _hasCallerLeft = false
  private _isEnding = false
  private _endsWhenIdle = false

  constructor (private readonly _socket: Socket) {
    // When the caller closes its side, `end` is emitted a little before `close`.
    _socket.once('end', () => this._callerLeft())
    _socket.once('error', () => { this._hasCallerLeft = true })
    // An answer that waits behind another one emits no `close` of its own.
    _socket.once('close', () => this._closed())
  }

  /** Whether the connection ends after an answer that has begun. Requests that are read later can't be answered. */
  get isEnding (): boolean { return this._isEnding }

  /** Adds a request that is being read. */
  add (request: PendingRequest): void { this._pending.add(request) }

  /** Ends the connection after an answer that begins now, whatever is read after it. */
  end (): void { this._isEnding = true }

  /**
   * Ends the connection after the answer that begins now, or after the last one if it is not the only one.
   *
   * @returns whether the answer that begins now is the last one
   */
  endSoon (): boolean {
    if (this._pending.size > 1) this._endsWhenIdle = true
    else this._isEnding = true
    return this._isEnding
  }

  /** Handles that the answer to a request is complete, or its connection has closed. */
  settle (request: PendingRequest, isLost: boolean): void {
    if (!this._pending.delete(request)) return
    request.done(isLost)
    if (this._endsWhenIdle && this._pending.size === 0) this._socket.destroySoon()
  }

  private _callerLeft (): void {
    this._hasCallerLeft = true
    for (const request of [...this._pending]) request.gone()
  }

  private _closed (): void {
    for (const request of [...this._pending]) {
      if (!this._hasCallerLeft) this.settle(request, true)
      request.gone()
      this.settle(request, false)
    }
  }
}

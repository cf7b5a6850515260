/**
 * Collects the frames of one turn of the event loop into one gRPC message.
 */

/** The part of a gRPC stream that the batcher uses. */
export interface FrameStream<F> {
  /** Sends a batch; returns false when no more may be sent until {@link FrameBatcher.drained}. */
  readonly write: (frames: F[]) => boolean
}

/**
 * Batches frames.
 *
 * A gRPC message costs about 30 microseconds regardless of its content, and a busy channel
 * carries tens of thousands of frames a second. Frames queued in one turn of the event loop are
 * sent together, which delays none of them.
 */
export class FrameBatcher<F> {
  private _queue: F[] = []
  private _scheduled = false
  private _blocked = false
  private _closed = false

  constructor (private readonly _stream: FrameStream<F>) {}

  /** Queues a frame. */
  send (frame: F): void {
    if (this._closed) return
    this._queue.push(frame)
    if (this._scheduled || this._blocked) return
    this._scheduled = true
    setImmediate(() => this._flush())
  }

  /** Continues after the stream has signalled that it accepts data again. */
  drained (): void {
    this._blocked = false
    this._flush()
  }

  /** Sends the queued frames and discards all later ones. */
  close (): void {
    this._blocked = false
    this._flush()
    this._closed = true
  }

  private _flush (): void {
    this._scheduled = false
    if (this._blocked || this._closed || this._queue.length === 0) return
    const frames = this._queue
    this._queue = []
    this._blocked = !this._stream.write(frames)
  }
}

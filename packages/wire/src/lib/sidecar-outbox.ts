/**
 * What a sidecar sends over one connection.
 */
import type { ChunkGroup, SidecarFrame } from '../generated/channel.js'
import { FrameBatcher } from './frame-batcher.js'

/** A piece of the answer to one request. */
export interface Chunk {
  readonly seq: number
  /** From 0, without gaps. */
  readonly index: number
  readonly data: Buffer
}

/**
 * Batches frames, and puts chunks that follow one another into one group.
 *
 * Chunks are nearly all that a busy sidecar sends, so each costs three array entries
 * here and no object of its own.
 */
export class SidecarOutbox {
  private readonly _batcher: FrameBatcher<SidecarFrame>
  private _group: ChunkGroup | undefined

  /** @param write - sends a batch; false asks to hold back */
  constructor (write: (frames: SidecarFrame[]) => boolean) {
    this._batcher = new FrameBatcher({
      write: frames => {
        this._group = undefined
        return write(frames)
      }
    })
  }

  send (frame: SidecarFrame): void {
    this._group = undefined
    this._batcher.send(frame)
  }

  sendChunk (chunk: Chunk): void {
    if (this._group === undefined) {
      this._group = { seqs: [], indexes: [], data: [] }
      this._batcher.send({ body: { $case: 'chunks', value: this._group } })
    }
    this._group.seqs.push(chunk.seq)
    this._group.indexes.push(chunk.index)
    this._group.data.push(chunk.data)
  }

  drained (): void { this._batcher.drained() }
  close (): void { this._batcher.close() }
}

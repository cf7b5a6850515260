/**
 * Send buffer of a sidecar for one connection.
 */
import type { ChunkGroup, SidecarFrame } from '../generated/channel.js'
import { FrameBatcher } from './frame-batcher.js'

/** A chunk of the answer to one request. */
export interface Chunk {
  readonly seq: number
  /** Position of the chunk in the answer, from 0 without gaps. */
  readonly index: number
  readonly data: Buffer
}

/**
 * Batches frames, and collects consecutive chunks in one group.
 *
 * Nearly all frames of a busy sidecar are chunks, so a chunk takes three array entries instead
 * of an object of its own.
 */
export class SidecarOutbox {
  private readonly _batcher: FrameBatcher<SidecarFrame>
  private _group: ChunkGroup | undefined

  /** @param write - sends a batch; returns false when no more may be sent until {@link SidecarOutbox.drained} */
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

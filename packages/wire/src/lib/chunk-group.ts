/**
 * Chunks in groups.
 */
import type { SidecarFrame } from '../generated/channel.js'

/** A piece of the answer to one request. */
export interface Chunk {
  readonly seq: number
  /** From 0, without gaps. */
  readonly index: number
  readonly data: Buffer
}

/**
 * Wraps one chunk.
 *
 * @param chunk - a piece of an answer
 */
export function chunkFrame (chunk: Chunk): SidecarFrame {
  return { body: { $case: 'chunks', value: { seqs: [chunk.seq], indexes: [chunk.index], data: [chunk.data] } } }
}

/**
 * Adds a group of chunks to the group before it.
 *
 * @param last - frame queued last
 * @param frame - next frame
 * @returns whether both were groups, and `last` now holds all chunks
 */
export function mergeChunks (last: SidecarFrame, frame: SidecarFrame): boolean {
  if (last.body?.$case !== 'chunks' || frame.body?.$case !== 'chunks') return false
  const into = last.body.value
  const { seqs, indexes, data } = frame.body.value
  for (let i = 0; i < seqs.length; i++) {
    into.seqs.push(seqs[i]!)
    into.indexes.push(indexes[i]!)
    into.data.push(data[i]!)
  }
  return true
}

/**
 * Splits a stream of server-sent events at the ends of events.
 */
import { ByteBuffer } from './byte-buffer.js'

/** Complete events of one read. */
export interface WholeEvents {
  /** Bytes as received. */
  readonly bytes: Buffer
  /** Id of the last event that has one. */
  readonly lastId: number | undefined
  /** Whether each id is higher than the previous one. */
  readonly inOrder: boolean
}

const separator = '\n\n'
const lineEnd = 0x0a
const idLine = /^id: ?(\d+)\r?$/m

/**
 * Buffers an incomplete event until the rest of it arrives.
 *
 * An upstream that fails may stop in the middle of an event. Passed on, the partial event would run into the first
 * event of the upstream that resumes the stream.
 */
export class EventFramer {
  private readonly _rest = new ByteBuffer()
  private _restPieces = 0

  /** @param _lastId - id of the last event that the reader has */
  constructor (private _lastId: number | undefined) {}

  /** Bytes of the incomplete event. */
  get restBytes (): number { return this._rest.size }

  /** Number of reads in which the incomplete event arrived. */
  get restPieces (): number { return this._restPieces }

  /**
   * Adds bytes.
   *
   * @param read - the next read
   * @returns the events completed by it, or undefined
   */
  push (read: Buffer): WholeEvents | undefined {
    const end = this._endOfEvents(read)
    if (end === 0) {
      this._rest.push(read)
      this._restPieces++
      return undefined
    }
    this._restPieces = end < read.length ? 1 : 0
    this._rest.push(read.subarray(0, end))
    const bytes = this._rest.take()
    if (end < read.length) this._rest.push(read.subarray(end))
    const inOrder = this._checkIds(bytes.toString('latin1'))
    return { bytes, lastId: this._lastId, inOrder }
  }

  /** Length of the part of a read that ends with an event; 0 when no event ends in it. */
  private _endOfEvents (read: Buffer): number {
    const last = read.lastIndexOf(separator)
    if (last >= 0) return last + separator.length
    // The separator may be split between two reads.
    return this._rest.last === lineEnd && read[0] === lineEnd ? 1 : 0
  }

  private _checkIds (text: string): boolean {
    let inOrder = true
    for (const event of text.split(separator)) {
      const match = idLine.exec(event)
      if (match === null) continue
      const id = Number(match[1])
      if (this._lastId !== undefined && id <= this._lastId) inOrder = false
      this._lastId = id
    }
    return inOrder
  }
}

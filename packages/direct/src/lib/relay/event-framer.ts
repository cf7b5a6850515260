/**
 * Splits a stream of server-sent events at the ends of events.
 */

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
const idLine = /^id: ?(\d+)\r?$/m

/**
 * Buffers an incomplete event until the rest of it arrives.
 *
 * An upstream that fails may stop in the middle of an event. Passed on, the partial event would run into the first
 * event of the upstream that resumes the stream.
 */
export class EventFramer {
  private _rest: Buffer | undefined

  /** @param _lastId - id of the last event that the reader has */
  constructor (private _lastId: number | undefined) {}

  /** Whether part of an event is buffered. */
  get hasRest (): boolean { return this._rest !== undefined }

  /**
   * Adds bytes.
   *
   * @param read - the next read
   * @returns the events completed by it, or undefined
   */
  push (read: Buffer): WholeEvents | undefined {
    const bytes = this._rest === undefined ? read : Buffer.concat([this._rest, read])
    const text = bytes.toString('latin1')
    const last = text.lastIndexOf(separator)
    if (last < 0) {
      this._rest = bytes
      return undefined
    }
    const end = last + separator.length
    this._rest = end < bytes.length ? bytes.subarray(end) : undefined
    const inOrder = this._checkIds(text.slice(0, end))
    return { bytes: bytes.subarray(0, end), lastId: this._lastId, inOrder }
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

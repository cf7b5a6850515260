/**
 * Bytes that arrive in pieces.
 */

/**
 * Joins pieces of bytes.
 *
 * A list of the pieces would take far more memory than their bytes, since a server may send them one by one.
 */
export class ByteBuffer {
  private _bytes: Buffer | undefined
  private _size = 0

  get size (): number { return this._size }

  /** The last byte; undefined when it is empty. */
  get last (): number | undefined { return this._bytes?.[this._size - 1] }

  /** Adds a piece, which must not change afterwards. */
  push (piece: Buffer): void {
    const size = this._size + piece.length
    if (this._bytes === undefined) this._bytes = piece
    else {
      if (size > this._bytes.length) this._bytes = this._grown(size)
      piece.copy(this._bytes, this._size)
    }
    this._size = size
  }

  /** Returns the bytes and empties the buffer. */
  take (): Buffer {
    const bytes = this._bytes?.subarray(0, this._size) ?? Buffer.alloc(0)
    this._bytes = undefined
    this._size = 0
    return bytes
  }

  private _grown (size: number): Buffer {
    const grown = Buffer.allocUnsafe(Math.max(size, 2 * this._size))
    this._bytes!.copy(grown, 0, 0, this._size)
    return grown
  }
}

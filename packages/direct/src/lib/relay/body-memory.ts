/**
 * Bounds the memory that holds callers' bodies.
 */

/** Memory for the bodies of all open requests. */
export class BodyMemory {
  private _held = 0

  /** @param _limit - bytes that all bodies together may take */
  constructor (private readonly _limit: number) {}

  /**
   * Reserves memory.
   *
   * @param bytes - to hold in addition
   * @returns whether there is room; otherwise nothing is reserved
   */
  tryReserve (bytes: number): boolean {
    if (this._held + bytes > this._limit) return false
    this._held += bytes
    return true
  }

  release (bytes: number): void { this._held -= bytes }
}

/** Memory that is reserved for one body. */
export class BodyReservation {
  private _bytes = 0

  constructor (private readonly _memory: BodyMemory) {}

  /**
   * Reserves memory for a body.
   *
   * @param bytes - of the body so far, or in all
   * @returns whether there is room
   */
  growTo (bytes: number): boolean {
    if (bytes <= this._bytes) return true
    if (!this._memory.tryReserve(bytes - this._bytes)) return false
    this._bytes = bytes
    return true
  }

  release (): void {
    this._memory.release(this._bytes)
    this._bytes = 0
  }
}

const bytesPerMegabyte = 1 << 20
/** Share of the process's memory that bodies may take; a body is held twice while its parts are joined. */
const bodyShare = 0.2
const defaultBodyBytes = 64 * bytesPerMegabyte

/**
 * Computes how much memory bodies may take.
 *
 * @param processMegabytes - memory of the process in MiB; 0 where it is not known
 * @returns bytes
 */
export function bodyMemoryLimit (processMegabytes: number): number {
  return processMegabytes === 0 ? defaultBodyBytes : Math.floor(processMegabytes * bytesPerMegabyte * bodyShare)
}

/**
 * Requests that one entry has sent to a sidecar.
 */

/** Whether a request frame may be run. */
export type LedgerVerdict = 'new' | 'duplicate' | 'withdrawn'

const tombstoneLimit = 10_000

/**
 * High-water mark and tombstones of one incarnation of an entry.
 *
 * A frame can arrive twice when the entry sends it again after a reconnect, and a withdraw can arrive before the frame
 * that it withdraws. Running either frame would run a request whose caller was answered that it did not run.
 */
export class RequestLedger {
  private readonly _tombstones = new Set<number>()
  private _highest = 0

  /** Highest request number registered; after a reconnect the entry sends the frames above it again. */
  get highest (): number { return this._highest }

  /**
   * Registers a request frame.
   *
   * @param seq - the entry's number of the frame, which increases from frame to frame
   */
  register (seq: number): LedgerVerdict {
    if (this._tombstones.delete(seq)) {
      this._highest = Math.max(this._highest, seq)
      return 'withdrawn'
    }
    if (seq <= this._highest) return 'duplicate'
    this._highest = seq
    return 'new'
  }

  /**
   * Records a withdraw of a request that is not open here.
   *
   * @param seq - the request's number
   * @returns whether its frame has not arrived yet, so that the request certainly won't run
   */
  recordWithdrawal (seq: number): boolean {
    if (seq <= this._highest) return false
    this._tombstones.add(seq)
    if (this._tombstones.size > tombstoneLimit) this._forgetOldest()
    return true
  }

  private _forgetOldest (): void {
    // Dropping only the tombstone would let its late frame run. Raising the high-water mark refuses that frame as a
    // duplicate instead; the entry then sends the request again under a new number.
    const oldest = Math.min(...this._tombstones)
    this._tombstones.delete(oldest)
    this._highest = Math.max(this._highest, oldest)
  }
}

/**
 * What a sidecar remembers of the requests that one entry sent it.
 */

/** Whether a request frame may be taken. */
export type LedgerVerdict = 'new' | 'duplicate' | 'withdrawn'

const tombstoneLimit = 10_000

/**
 * High-water mark and tombstones of one entry incarnation.
 *
 * A frame can come twice when the entry re-sends after a reconnect, and a withdraw
 * can come before the frame it withdraws. Taking either frame would run a request
 * whose caller was told that it did not run.
 */
export class RequestLedger {
  private readonly _tombstones = new Set<number>()
  private _highest = 0

  /** Highest request number taken; the entry re-sends what is above. */
  get highest (): number { return this._highest }

  /**
   * Decides on a request frame.
   *
   * @param seq - the entry's number, which grows from frame to frame
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
   * Notes a withdraw for a request that is not open here.
   *
   * @param seq - the request's number
   * @returns whether the frame has not come yet, so that it is certain not to run
   */
  recordWithdrawal (seq: number): boolean {
    if (seq <= this._highest) return false
    this._tombstones.add(seq)
    if (this._tombstones.size > tombstoneLimit) this._forgetOldest()
    return true
  }

  private _forgetOldest (): void {
    // Forgetting a tombstone alone would let its late frame run. Raising the mark
    // refuses it as a duplicate instead; the entry then re-sends under a new number.
    const oldest = Math.min(...this._tombstones)
    this._tombstones.delete(oldest)
    this._highest = Math.max(this._highest, oldest)
  }
}

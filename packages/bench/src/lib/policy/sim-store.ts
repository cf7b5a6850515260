/**
 * Simulates the weight store, whose loads share its speed.
 */
import type { EventQueue } from './event-queue.js'

interface Transfer { left: number, readonly done: () => void }

/** Shares the store's speed equally once more loads are active than run at full speed. */
export class SimStore {
  private _active: Transfer[] = []
  private _last = 0
  private _generation = 0
  /** Number of finished loads. */
  served = 0

  /**
   * @param _queue - simulated clock
   * @param _fullSpeed - number of concurrent loads that run at full speed
   * @param _loadMs - duration of a load at full speed
   */
  constructor (private readonly _queue: EventQueue, private readonly _fullSpeed: number, private readonly _loadMs: number) {}

  load (done: () => void): void {
    this._advance()
    this._active.push({ left: this._loadMs, done })
    this._reschedule()
  }

  private _speed (): number { return Math.min(1, this._fullSpeed / Math.max(1, this._active.length)) }

  private _advance (): void {
    const passed = (this._queue.now - this._last) * this._speed()
    for (const transfer of this._active) transfer.left -= passed
    this._last = this._queue.now
  }

  private _reschedule (): void {
    const generation = ++this._generation
    if (this._active.length === 0) return
    const least = Math.min(...this._active.map(transfer => transfer.left))
    this._queue.after(least / this._speed(), () => {
      if (generation !== this._generation) return
      this._advance()
      const ended = this._active.filter(transfer => transfer.left <= 1e-6)
      this._active = this._active.filter(transfer => transfer.left > 1e-6)
      this._reschedule()
      for (const transfer of ended) {
        this.served++
        transfer.done()
      }
    })
  }
}

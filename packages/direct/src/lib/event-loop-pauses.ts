/**
 * Pauses of this process, during which it reads no socket and runs no timer.
 */
import type { CancelTimer, Clock, Ms } from '@hazelford/core'

/** Interval of the timer whose delays are the pauses. */
const checkEvery: Ms = 100
/** Shorter delays are not recorded. */
const shortestPause: Ms = 50
/** Time for which pauses are kept; longer than any silence after which an answer is given up. */
const keptFor: Ms = 20_000

interface Pause { readonly endedAt: Ms, readonly length: Ms }

/** Records the pauses of the event loop. */
export class EventLoopPauses {
  private _pauses: Pause[] = []
  private _checkedAt: Ms
  private _cancel: CancelTimer = () => {}

  constructor (private readonly _clock: Clock) {
    this._checkedAt = _clock.now()
    this._schedule()
  }

  stop (): void { this._cancel() }

  /**
   * The longest pause that ended, or still had to be noticed, after a time.
   *
   * @returns its length in ms; 0 when there was none
   */
  longestSince (since: Ms): Ms {
    const current = this._delay(this._clock.now())
    return this._pauses.reduce((longest, { endedAt, length }) => endedAt > since ? Math.max(longest, length) : longest, current < shortestPause ? 0 : current)
  }

  private _schedule (): void {
    this._cancel = this._clock.after(checkEvery, () => {
      this._check()
      this._schedule()
    })
  }

  private _check (): void {
    const now = this._clock.now()
    const delay = this._delay(now)
    this._checkedAt = now
    if (delay < shortestPause) return
    this._pauses = [...this._pauses.filter(({ endedAt }) => endedAt > now - keptFor), { endedAt: now, length: delay }]
  }

  private _delay (now: Ms): Ms { return now - this._checkedAt - checkEvery }
}

/**
 * Time in milliseconds, from a clock that tests can replace.
 */

/** A duration or a point in time, in milliseconds. */
export type Ms = number

/** Cancels a timer. */
export type CancelTimer = () => void

/**
 * Source of time for every component.
 *
 * Durations and deadlines within a process use {@link Clock.now}, which never steps back.
 * Times that people read or that processes exchange use {@link Clock.wall}, which operators may set.
 */
export interface Clock {
  /** Monotonic time in ms from an arbitrary origin. */
  now: () => Ms
  /** Time since 1970 in ms. May jump forwards or backwards. */
  wall: () => Ms
  /**
   * Calls a function once after a delay.
   *
   * @param delay - ms from now; a negative delay counts as 0
   * @param run - function to call
   * @returns a function that cancels the call
   */
  after: (delay: Ms, run: () => void) => CancelTimer
}

/** The clock of this host. Its timers do not keep the process alive. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after (delay, run) {
    const timer = setTimeout(run, Math.max(0, delay))
    timer.unref()
    return () => clearTimeout(timer)
  }
}

interface FakeTimer { readonly at: Ms, readonly order: number, readonly run: () => void }

/**
 * A clock for tests, whose time changes only by {@link FakeClock.advance}.
 *
 * @example
 * ```ts
 * const clock = new FakeClock()
 * clock.after(10, () => console.log('ten'))
 * clock.advance(10) // prints "ten"
 * ```
 */
export class FakeClock implements Clock {
  private _now: Ms = 0
  private _order = 0
  private _timers: FakeTimer[] = []

  now = (): Ms => this._now
  wall = (): Ms => this._now

  after = (delay: Ms, run: () => void): CancelTimer => {
    const timer = { at: this._now + Math.max(0, delay), order: this._order++, run }
    this._timers.push(timer)
    return () => { this._timers = this._timers.filter(other => other !== timer) }
  }

  /**
   * Advances the time and runs the timers that become due, in order.
   *
   * @param by - ms to advance
   */
  advance (by: Ms): void {
    const end = this._now + by
    for (;;) {
      const due = this._nextDue(end)
      if (due === undefined) break
      this._timers = this._timers.filter(other => other !== due)
      this._now = due.at
      due.run()
    }
    this._now = end
  }

  private _nextDue (end: Ms): FakeTimer | undefined {
    return this._timers
      .filter(timer => timer.at <= end)
      .sort((a, b) => a.at - b.at || a.order - b.order)[0]
  }
}

/**
 * Waits on a clock.
 *
 * @param clock - clock that times the wait
 * @param delay - ms to wait
 */
export function sleep (clock: Clock, delay: Ms): Promise<void> {
  return new Promise(resolve => {
    clock.after(delay, resolve)
  })
}

/**
 * Tells whether a process stood still between two moments.
 */
import type { Clock, Ms } from './clock.js'

/** One moment by both clocks. */
export interface Instant {
  /** Monotonic. */
  readonly now: Ms
  /** Time of day. */
  readonly wall: Ms
}

/**
 * Difference between the clocks' courses that tells of a pause. The monotonic clock stands still while the machine is
 * suspended, the time of day goes on.
 */
const pauseSign: Ms = 250

export function instantOf (clock: Clock): Instant { return { now: clock.now(), wall: clock.wall() } }

/**
 * Ms between two moments, never less than the truth while the time of day is not set.
 *
 * @returns infinite when the clocks can't tell
 */
export function elapsed (from: Instant, to: Instant): Ms {
  // A suspension too short to be told from the clocks' own differences still counts by the time of day.
  return clocksAgree(from, to) ? Math.max(to.now - from.now, to.wall - from.wall) : Infinity
}

/**
 * Whether the monotonic clock alone tells the time between two moments.
 *
 * A process that was suspended thinks that no time has passed. A step of the time of day looks the same, and then only
 * asking anew can tell.
 */
export function clocksAgree (a: Instant, b: Instant): boolean {
  return Math.abs((a.wall - a.now) - (b.wall - b.now)) < pauseSign
}

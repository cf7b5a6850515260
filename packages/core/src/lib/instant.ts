/**
 * Detects whether the process was suspended between two instants.
 */
import type { Clock, Ms } from './clock.js'

/** One instant, read from both clocks. */
export interface Instant {
  /** Monotonic time. */
  readonly now: Ms
  /** Wall time. */
  readonly wall: Ms
}

/**
 * Least difference, in ms, between the wall time and the monotonic time elapsed at which the process counts as suspended. The
 * monotonic clock stops while the host is suspended; the wall clock goes on.
 */
const suspensionThreshold: Ms = 250

export function instantOf (clock: Clock): Instant { return { now: clock.now(), wall: clock.wall() } }

/**
 * Time between two instants in ms; never less than the true time unless an operator sets the wall clock.
 *
 * @returns `Infinity` when the clocks disagree
 */
export function elapsed (from: Instant, to: Instant): Ms {
  // A suspension shorter than the threshold can't be detected, but the wall clock includes it.
  return clocksAgree(from, to) ? Math.max(to.now - from.now, to.wall - from.wall) : Infinity
}

/**
 * Whether both clocks advanced by the same time between two instants, so that the monotonic clock can be relied on.
 *
 * During a suspension the monotonic clock does not advance. A step of the wall clock can't be distinguished from a suspension;
 * in both cases the caller must check again whatever depends on the elapsed time.
 */
export function clocksAgree (a: Instant, b: Instant): boolean {
  return Math.abs((a.wall - a.now) - (b.wall - b.now)) < suspensionThreshold
}

/**
 * A measured cost and its growth.
 */

/** One measured point. */
export interface SlopePoint { readonly x: number, readonly y: number }

/** A line through measured points. */
export interface Slope {
  readonly name: string
  readonly unitX: string
  readonly unitY: string
  readonly points: readonly SlopePoint[]
  /** y = base + perUnit * x, by least squares. */
  readonly base: number
  readonly perUnit: number
}

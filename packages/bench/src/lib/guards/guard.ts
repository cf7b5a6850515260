/**
 * A guard of a promise, as a place in the built code.
 */

/** A piece of built code and what it becomes without its guard. */
export interface Edit {
  readonly file: string
  readonly find: string
  readonly replace: string
}

/** One guard. */
export interface Guard extends Edit {
  /** The promise it holds up. */
  readonly promise: string
  /** A second line of defence, taken out with it. */
  readonly also?: Edit
  /** Feature, and words of a scenario's name, that must fail without it. */
  readonly feature: string
  readonly scenario: string
}

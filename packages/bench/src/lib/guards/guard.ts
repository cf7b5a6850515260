/**
 * A guard: code that upholds a guarantee, located by its text in the built files.
 */

/** A piece of built code and its replacement without the guard. */
export interface Edit {
  readonly file: string
  readonly find: string
  readonly replace: string
}

/** One guard. */
export interface Guard extends Edit {
  /** The guarantee that the guard upholds. */
  readonly guarantee: string
  /** A second guard of the same guarantee, removed together with the first. */
  readonly also?: Edit
  /** Feature file, and a part of the name of the scenario in it that must fail without the guard. */
  readonly feature: string
  readonly scenario: string
}

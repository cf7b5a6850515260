/**
 * Exit codes of `hazelford`, for scripts. docs/OPERATING.md lists them.
 */
export const exitCodes = {
  done: 0,
  /** Something unforeseen. */
  failed: 1,
  /** The command line, or a text that a command was given, is wrong. */
  badInput: 2,
  /** Another operator's change came first. Nothing was changed. */
  conflict: 3,
  /** The platform can't be reached. Nothing was changed. */
  unavailable: 4,
  /** Nobody can tell whether the change took effect. Ask with `hazelford show`. */
  unknown: 5,
  /** Accepted, but not in force everywhere within the wait. */
  notYetInForce: 6
} as const

/** One of the codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

/** What a command prints and ends with. */
export interface Report {
  readonly code: ExitCode
  /** Lines for a person. */
  readonly text: string
  /** The same for a program, with `--json`. */
  readonly data: unknown
}

/**
 * Builds a report.
 *
 * @param code - how the command ends
 * @param text - for a person
 * @param data - for a program; the text when left out
 */
export function report (code: ExitCode, text: string, data: unknown = { message: text }): Report {
  return { code, text, data }
}

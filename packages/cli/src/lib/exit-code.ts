/**
 * Exit codes of `hazelford`, for scripts. docs/OPERATING.md lists them.
 */
export const exitCodes = {
  done: 0,
  /** Unexpected error. */
  failed: 1,
  /** The command line or an input text is invalid. */
  badInput: 2,
  /** Another operator's change came first. Nothing was changed. */
  conflict: 3,
  /** The platform can't be reached. Nothing was changed. */
  unavailable: 4,
  /** It is unknown whether the change took effect. Check with `hazelford show`. */
  unknown: 5,
  /** Accepted, but not in force everywhere within the wait limit. */
  notYetInForce: 6
} as const

/** One of the exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

/** Output and exit code of a command. */
export interface Report {
  readonly code: ExitCode
  /** Human-readable output. */
  readonly text: string
  /** The same content for programs, printed with `--json`. */
  readonly data: unknown
}

/**
 * Builds a report.
 *
 * @param code - exit code of the command
 * @param text - human-readable output
 * @param data - output for programs; an object with the text, if not given
 */
export function report (code: ExitCode, text: string, data: unknown = { message: text }): Report {
  return { code, text, data }
}

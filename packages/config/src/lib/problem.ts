/**
 * What is wrong with a text, in words that say what to do.
 */

/** One error in a configuration or settings text. */
export interface Problem {
  /** 1-based line in the text; 0 when no line can be named. */
  readonly line: number
  /** Dotted path of the key, such as `services.chat.kind`. */
  readonly path: string
  readonly message: string
}

/**
 * Formats problems for a person, one a line.
 *
 * @param problems - what was found
 * @param file - name of the text
 */
export function formatProblems (problems: readonly Problem[], file: string): string {
  return problems.map(problem => `${file}:${problem.line}: ${problem.path}: ${problem.message}`).join('\n')
}

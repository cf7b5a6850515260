/**
 * Problems found in a text, with messages that state the remedy.
 */

/** One error in a configuration or settings text. */
export interface Problem {
  /** 1-based line in the text; 0 when the line is unknown. */
  readonly line: number
  /** Dotted path of the key, such as `services.chat.kind`. */
  readonly path: string
  readonly message: string
}

/**
 * Formats problems for people, one per line.
 *
 * @param problems - problems found
 * @param file - name of the text's file
 */
export function formatProblems (problems: readonly Problem[], file: string): string {
  return problems.map(problem => `${file}:${problem.line}: ${problem.path}: ${problem.message}`).join('\n')
}

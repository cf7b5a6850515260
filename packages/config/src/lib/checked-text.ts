/**
 * Parses a TOML text, validates it against a schema and reports every problem at once.
 */
import { err, ok, type Result } from 'neverthrow'
import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'
import { indexLines, lineOf } from './line-index.js'
import { nearestName } from './nearest-name.js'
import type { Problem } from './problem.js'

/** A validated value and the line of each of its keys. */
export interface CheckedText<T> {
  readonly value: T
  readonly lines: ReadonlyMap<string, number>
}

/** Schema of a text; schemas of zod and zod/mini both fit. */
export interface TextSchema<T> {
  readonly safeParse: (raw: unknown) =>
    | { readonly success: true, readonly data: T }
    | { readonly success: false, readonly error: { readonly issues: readonly z.core.$ZodIssue[] } }
}

function describeIssue (issue: z.core.$ZodIssue, known: readonly string[]): string {
  if (issue.code !== 'unrecognized_keys') return issue.message
  const hints = issue.keys.map(key => {
    const near = nearestName(key, known)
    return near === undefined ? `"${key}" is not a known key. Remove it.` : `"${key}" is not a known key. Did you mean "${near}"?`
  })
  return hints.join(' ')
}

function problemOf (issue: z.core.$ZodIssue, lines: ReadonlyMap<string, number>, known: readonly string[]): Problem {
  const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]!] : issue.path
  return { line: lineOf(lines, path), path: path.join('.'), message: describeIssue(issue, known) }
}

/**
 * Parses and validates a text.
 *
 * @param text - TOML text
 * @param schema - schema of the text
 * @param known - known key names, for suggestions
 * @returns the value, or every problem found
 */
export function checkText<T> (text: string, schema: TextSchema<T>, known: readonly string[]): Result<CheckedText<T>, readonly Problem[]> {
  const lines = indexLines(text)
  let raw: unknown
  try {
    raw = parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const summary = error.message.split('\n')[0]!
    return err([{ line: error.line, path: '(text)', message: `${summary}. Correct the TOML here.` }])
  }
  const parsed = schema.safeParse(raw)
  if (parsed.success === true) return ok({ value: parsed.data, lines })
  const problems = parsed.error.issues.map(issue => problemOf(issue, lines, known))
  return err(problems.sort((a, b) => a.line - b.line))
}

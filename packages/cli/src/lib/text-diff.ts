/**
 * Differences between two configuration texts, and the base revision of an edited one.
 */
import { createTwoFilesPatch } from 'diff'

const contextLines = 2

/**
 * Returns a unified diff.
 *
 * @param from - old text
 * @param to - new text
 * @param fromName - name of the old text in the diff
 * @param toName - name of the new text in the diff
 * @returns the diff, or an empty string when the texts are equal
 */
export function textDiff (from: string, to: string, fromName: string, toName: string): string {
  if (from === to) return ''
  return createTwoFilesPatch(fromName, toName, from, to, '', '', { context: contextLines })
}

const basePattern = /^# revision (\d+)$/m

/**
 * Returns the revision that an edited text is based on; `hazelford show` writes it in the
 * first line.
 *
 * @param text - the edited text
 */
export function baseRevision (text: string): number | undefined {
  const match = basePattern.exec(text.split('\n', 1)[0]!)
  return match === null ? undefined : Number(match[1])
}

/** Removes the base revision line from a text. */
export function withoutBase (text: string): string {
  return baseRevision(text) === undefined ? text : text.slice(text.indexOf('\n') + 1)
}

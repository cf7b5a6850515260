/**
 * Differences between two configuration texts.
 */
import { createTwoFilesPatch } from 'diff'

const contextLines = 2

/**
 * Unified diff.
 *
 * @param from - old text
 * @param to - new text
 * @param fromName - shown for the old one
 * @param toName - shown for the new one
 * @returns the diff, or an empty text when nothing differs
 */
export function textDiff (from: string, to: string, fromName: string, toName: string): string {
  if (from === to) return ''
  return createTwoFilesPatch(fromName, toName, from, to, '', '', { context: contextLines })
}

const basePattern = /^# revision (\d+)$/m

/**
 * The revision that an edited text was taken from, which `hazelford show` writes in
 * its first line.
 *
 * @param text - what the operator edited
 */
export function baseRevision (text: string): number | undefined {
  const match = basePattern.exec(text.split('\n', 1)[0]!)
  return match === null ? undefined : Number(match[1])
}

/** The text without that line. */
export function withoutBase (text: string): string {
  return baseRevision(text) === undefined ? text : text.slice(text.indexOf('\n') + 1)
}

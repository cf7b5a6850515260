/**
 * Parses the JSON log lines of entries.
 */

/** One log line of an entry. */
export interface LogLine {
  /** Ms since 1970, by the clock of the entry's host. */
  readonly time: number
  readonly node: string
  readonly msg: string
  readonly [field: string]: unknown
}

function parseLine (text: string): LogLine | undefined {
  // Log collectors may add a prefix, such as a time and a host name.
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>
    return typeof line.time === 'number' && typeof line.msg === 'string' ? { ...line, time: line.time, msg: line.msg, node: String(line.node) } : undefined
  } catch {
    // A truncated line at the end of a file, or the output of another program, is skipped.
    return undefined
  }
}

/**
 * Merges the logs of any number of processes.
 *
 * @param texts - log files
 * @returns their lines in order of time
 */
export function mergeLogs (texts: readonly string[]): readonly LogLine[] {
  return texts.flatMap(text => text.split('\n')).map(parseLine).filter(line => line !== undefined).sort((a, b) => a.time - b.time)
}

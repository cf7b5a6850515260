/**
 * Reads the JSON lines that entries write.
 */

/** One log line of an entry. */
export interface LogLine {
  /** Ms since 1970, by that host's clock. */
  readonly time: number
  readonly node: string
  readonly msg: string
  readonly [field: string]: unknown
}

function parseLine (text: string): LogLine | undefined {
  // Lines may have a prefix, such as a time and a host, from whatever collected them.
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>
    return typeof line.time === 'number' && typeof line.msg === 'string' ? { ...line, time: line.time, msg: line.msg, node: String(line.node) } : undefined
  } catch {
    // Half a line at the end of a file, or output of another program: nothing of ours.
    return undefined
  }
}

/**
 * Merges logs of any number of processes.
 *
 * @param texts - logs
 * @returns their lines by time
 */
export function mergeLogs (texts: readonly string[]): readonly LogLine[] {
  return texts.flatMap(text => text.split('\n')).map(parseLine).filter(line => line !== undefined).sort((a, b) => a.time - b.time)
}

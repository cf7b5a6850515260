/**
 * Structured log lines on standard output that never block the process.
 */
import type { Log, LogPrefix } from '@hazelford/core'
import pino, { type DestinationStream } from 'pino'

/** Bytes buffered before a write: one system call for some dozens of lines. */
const flushBytes = 8_192
/** Bytes buffered for a slow reader; further lines are dropped and counted. */
const maxBuffered = 512 * 1024
const flushEvery = 250

/** A log that can be flushed before the process exits. */
export interface JsonLog extends Log {
  readonly flush: () => void
}

/**
 * Creates the log.
 *
 * @param name - of the process, on every line
 * @param dropped - called with the number of lines dropped since the last call
 */
export function createJsonLog (name: string, dropped: (lines: number) => void): JsonLog {
  const out = pino.destination({ dest: 1, sync: false, minLength: flushBytes, maxLength: maxBuffered })
  let droppedLines = 0
  out.on('drop', () => { droppedLines++ })
  // If the reader of standard output goes away, the process must not end; the lines are dropped.
  out.on('error', () => { droppedLines++ })
  const logger = pino({ base: { node: name }, timestamp: pino.stdTimeFunctions.epochTime }, out as DestinationStream)
  const report = (): void => {
    out.flush()
    if (droppedLines === 0) return
    const lines = droppedLines
    droppedLines = 0
    dropped(lines)
    logger.warn({ lines }, 'daemon: log lines left out.')
  }
  setInterval(report, flushEvery).unref()
  const line = (prefix: LogPrefix, sentence: string): string => `${prefix}: ${sentence}`
  return {
    info: (prefix, sentence, fields = {}) => logger.info(fields, line(prefix, sentence)),
    warn: (prefix, sentence, fields = {}) => logger.warn(fields, line(prefix, sentence)),
    flush: () => {
      try {
        out.flushSync()
      } catch {
        // The reader is gone, so there is no place to report this.
      }
    }
  }
}

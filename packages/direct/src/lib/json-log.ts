/**
 * Structured lines on standard output that never hold the process up.
 */
import type { Log, LogPrefix } from '@hazelford/core'
import pino, { type DestinationStream } from 'pino'

/** Bytes gathered before a write: one system call for some dozens of lines. */
const flushBytes = 8_192
/** Bytes that wait for a slow reader; further lines are left out and counted. */
const maxWaiting = 512 * 1024
const flushEvery = 250

/** A log that can be flushed at the end. */
export interface JsonLog extends Log {
  readonly flush: () => void
}

/**
 * Opens the log.
 *
 * @param name - of the process, on every line
 * @param dropped - hears how many lines were left out since the last call
 */
export function createJsonLog (name: string, dropped: (lines: number) => void): JsonLog {
  const out = pino.destination({ dest: 1, sync: false, minLength: flushBytes, maxLength: maxWaiting })
  let left = 0
  out.on('drop', () => { left++ })
  // A reader that goes away must not end the process; its lines are lost with it.
  out.on('error', () => { left++ })
  const logger = pino({ base: { node: name }, timestamp: pino.stdTimeFunctions.epochTime }, out as DestinationStream)
  const report = (): void => {
    out.flush()
    if (left === 0) return
    const lines = left
    left = 0
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
        // The reader is gone; nobody is left to tell.
      }
    }
  }
}

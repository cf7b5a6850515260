/**
 * Structured logs: short sentences with a fixed prefix for each part.
 */
import type { Log, LogPrefix } from '@hazelford/core'
import bunyan from 'bunyan'

/**
 * Builds a logger that writes JSON lines to standard error.
 *
 * @param name - of the process
 * @param level - least severe level written
 */
export function createBunyanLog (name: string, level: 'debug' | 'info' | 'warn' | 'error'): Log {
  const logger = bunyan.createLogger({ name, level, stream: process.stderr })
  const line = (prefix: LogPrefix, sentence: string): string => `${prefix}: ${sentence}`
  return {
    info: (prefix, sentence, fields = {}) => logger.info(fields, line(prefix, sentence)),
    warn: (prefix, sentence, fields = {}) => logger.warn(fields, line(prefix, sentence))
  }
}

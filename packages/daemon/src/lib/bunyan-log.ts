/**
 * Structured logs: short sentences with a fixed prefix for each component.
 */
import type { Log, LogPrefix } from '@hazelford/core'
import bunyan from 'bunyan'

/**
 * Creates a logger that writes JSON lines to standard error.
 *
 * @param name - name of the process
 * @param level - least severe level that is written
 */
export function createBunyanLog (name: string, level: 'debug' | 'info' | 'warn' | 'error'): Log {
  const logger = bunyan.createLogger({ name, level, stream: process.stderr })
  const formatMessage = (prefix: LogPrefix, message: string): string => `${prefix}: ${message}`
  return {
    info: (prefix, message, fields = {}) => logger.info(fields, formatMessage(prefix, message)),
    warn: (prefix, message, fields = {}) => logger.warn(fields, formatMessage(prefix, message))
  }
}

/**
 * Interface of the logger. The daemon passes a bunyan logger; tests may pass one that
 * discards all messages.
 */

/** Components that write logs; each name is the prefix of the component's messages. */
export type LogPrefix =
  | 'entry' | 'sidecar' | 'channel' | 'config' | 'fence' | 'claims' | 'loads' | 'daemon' | 'operator'
  | 'store' | 'membership' | 'lease' | 'request' | 'peers' | 'usage'

/** Writes messages, each a short sentence with structured fields. */
export interface Log {
  info: (prefix: LogPrefix, message: string, fields?: object) => void
  warn: (prefix: LogPrefix, message: string, fields?: object) => void
}

/** A logger that discards all messages. */
export const silentLog: Log = {
  info: () => {},
  warn: () => {}
}

/**
 * What a part needs of a logger. The daemon gives a bunyan logger; a test may
 * give a silent one.
 */

/** Parts of the system that write logs; each is the prefix of its lines. */
export type LogPrefix =
  | 'entry' | 'sidecar' | 'channel' | 'config' | 'fence' | 'claims' | 'loads' | 'daemon' | 'operator'
  | 'store' | 'membership' | 'lease' | 'request' | 'peers' | 'usage'

/** Writes short sentences with fields beside them. */
export interface Log {
  info: (prefix: LogPrefix, sentence: string, fields?: object) => void
  warn: (prefix: LogPrefix, sentence: string, fields?: object) => void
}

/** A logger that writes nothing. */
export const silentLog: Log = {
  info: () => {},
  warn: () => {}
}

/**
 * What every command works with.
 */
import type { ConfigStore } from './config-store.js'
import type { Connection } from './processes.js'

/** Connections, the operator and the clock of one call. */
export interface CliContext {
  readonly connection: Connection
  readonly store: ConfigStore
  readonly author: string
  /** Wall time in ms. */
  readonly wall: () => number
  /** Tells of progress on long work; goes to standard error. */
  readonly progress: (line: string) => void
}

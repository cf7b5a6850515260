/**
 * The context that every command runs in.
 */
import type { ConfigStore } from './config-store.js'
import type { Connection } from './processes.js'

/** Connections, operator and clock of one invocation. */
export interface CliContext {
  readonly connection: Connection
  readonly store: ConfigStore
  readonly author: string
  /** Returns wall-clock time in ms. */
  readonly wall: () => number
  /** Reports progress of long operations on standard error. */
  readonly progress: (line: string) => void
}

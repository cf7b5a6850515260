/**
 * One accepted revision of the operators' configuration.
 */
import type { Ms } from './clock.js'

/** A revision as it stands in the key-value service and travels between processes. */
export interface ConfigDocument {
  /** Grows by one with each accepted change; nobody goes to a lower one. */
  readonly revision: number
  /** Random name of the write, by which a writer knows its own. */
  readonly writeId: string
  readonly author: string
  /** Wall time of the write. */
  readonly at: Ms
  /** SHA-256 of the text, in hex. */
  readonly sha256: string
  /** The TOML text. */
  readonly text: string
}

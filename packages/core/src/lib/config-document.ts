/**
 * One accepted revision of the operators' configuration.
 */
import type { Ms } from './clock.js'

/** A revision as stored in the key-value service and sent between processes. */
export interface ConfigDocument {
  /** Increases by one with each accepted change; no process goes back to a lower revision. */
  readonly revision: number
  /** Random id of the write, by which a writer recognises its own. */
  readonly writeId: string
  readonly author: string
  /** Wall time of the write. */
  readonly at: Ms
  /** SHA-256 of the text, in hex. */
  readonly sha256: string
  /** The TOML text. */
  readonly text: string
}

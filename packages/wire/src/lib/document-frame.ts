/**
 * Configuration documents on the wire.
 */
import type { ConfigDocument as WireDocument } from '../generated/channel.js'

/** Fields that travel; the same names as in core's `ConfigDocument`. */
export interface DocumentFields {
  readonly revision: number
  readonly writeId: string
  readonly author: string
  readonly at: number
  readonly sha256: string
  readonly text: string
}

/**
 * Copies a document into a frame.
 *
 * @param doc - a document of core
 */
export function toWireDocument (doc: DocumentFields): WireDocument {
  const { revision, writeId, author, at, sha256, text } = doc
  return { revision, writeId, author, at, sha256, text }
}

/**
 * Conversion of configuration documents to frames.
 */
import type { ConfigDocument as WireDocument } from '../generated/channel.js'

/** Fields of a document that are sent; named as in core's `ConfigDocument`. */
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
 * @param doc - document to send, such as core's `ConfigDocument`
 */
export function toWireDocument (doc: DocumentFields): WireDocument {
  const { revision, writeId, author, at, sha256, text } = doc
  return { revision, writeId, author, at, sha256, text }
}

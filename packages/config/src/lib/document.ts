/**
 * A revision of the configuration: building, reading and checking it.
 */
import { createHash } from 'node:crypto'
import { type ConfigDocument, newId, type Ms } from '@hazelford/core'
import { z } from 'zod'

/** Where the configuration stands in the key-value service. */
export const configKey = 'hazelford/config'
/** Earlier revisions stand below this prefix, by number. */
export const historyPrefix = 'hazelford/config-history/'

const documentSchema = z.object({
  revision: z.int().min(1),
  writeId: z.string(),
  author: z.string(),
  at: z.number(),
  sha256: z.string(),
  text: z.string()
})

/**
 * Fingerprint of a text.
 *
 * @param text - the TOML text
 * @returns SHA-256 in hex
 */
export function textDigest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Builds the next revision.
 *
 * @param previous - revision number that it replaces; 0 for the first
 * @param text - checked TOML text
 * @param author - who changes it
 * @param at - wall time in ms
 */
export function nextDocument (previous: number, text: string, author: string, at: Ms): ConfigDocument {
  return { revision: previous + 1, writeId: newId('write'), author, at, sha256: textDigest(text), text }
}

/**
 * Reads a stored document.
 *
 * @param json - value of {@link configKey}
 * @returns the document, or undefined when it is damaged
 */
export function readDocument (json: string): ConfigDocument | undefined {
  try {
    const doc = documentSchema.parse(JSON.parse(json))
    // A document whose text was cut or mixed with another would put a decision in
    // force that no operator made. The digest shows it, and the reader keeps what it has.
    return doc.sha256 === textDigest(doc.text) ? doc : undefined
  } catch {
    return undefined
  }
}

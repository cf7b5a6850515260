/**
 * Builds, parses and verifies revisions of the configuration.
 */
import { createHash } from 'node:crypto'
import { type ConfigDocument, newId, type Ms } from '@hazelford/core'
import { z } from 'zod'

/** Key of the current configuration in the key-value service. */
export const configKey = 'hazelford/config'
/** Key prefix of earlier revisions, followed by the revision number. */
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
 * Digest of a text, to detect damage.
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
 * @param previous - number of the revision that it replaces; 0 for the first
 * @param text - validated TOML text
 * @param author - author of the change
 * @param at - wall time in ms
 */
export function nextDocument (previous: number, text: string, author: string, at: Ms): ConfigDocument {
  return { revision: previous + 1, writeId: newId('write'), author, at, sha256: textDigest(text), text }
}

/**
 * Parses a stored document.
 *
 * @param json - value of {@link configKey}
 * @returns the document, or undefined when it is damaged
 */
export function readDocument (json: string): ConfigDocument | undefined {
  try {
    const doc = documentSchema.parse(JSON.parse(json))
    // A truncated or mixed-up text would put a configuration in force that no operator wrote.
    // The digest detects this; the reader then keeps the revision that it has.
    return doc.sha256 === textDigest(doc.text) ? doc : undefined
  } catch {
    return undefined
  }
}

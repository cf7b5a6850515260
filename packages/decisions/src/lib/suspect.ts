/**
 * What may be the cause when upstreams terminate: a whole request, or one part of the prompts of many requests.
 */

/** A possible cause of terminations. */
export type Suspect =
  /** A request, by the fingerprint of its content. */
  | { readonly kind: 'request', readonly fingerprint: string }
  /** A part of prompts, by its id; the same id is the same part for all callers, routes and adapters. */
  | { readonly kind: 'part', readonly id: string }

/** Fingerprints are hexadecimal, so no fingerprint begins like this. */
const partKeyPrefix = 'part/'

/** Returns the text that identifies a suspect in messages between entries and in the store. */
export function suspectKey (suspect: Suspect): string {
  return suspect.kind === 'part' ? `${partKeyPrefix}${suspect.id}` : suspect.fingerprint
}

/** Reads a text of {@link suspectKey}. */
export function readSuspectKey (key: string): Suspect {
  return key.startsWith(partKeyPrefix) ? { kind: 'part', id: key.slice(partKeyPrefix.length) } : { kind: 'request', fingerprint: key }
}

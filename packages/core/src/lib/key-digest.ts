/**
 * Identifies a caller's API key without revealing it.
 */
import { createHash } from 'node:crypto'

/** Digest of a key. Keys themselves are not stored anywhere. */
export type KeyDigest = string

/** 128 bits, so that even keys chosen on purpose don't have the same digest. */
const digestHexDigits = 32

/** Digits that logs show: enough to distinguish the keys of one organisation, too few to look a key up. */
const abbreviatedHexDigits = 8

/**
 * Digest of a key.
 *
 * Keys are looked up by digest, so that the time of a lookup does not reveal how much of a key is correct.
 *
 * @param key - key as the caller sent it
 */
export function keyDigest (key: string): KeyDigest {
  return createHash('sha256').update(key).digest('hex').slice(0, digestHexDigits)
}

/** The first digits of a digest, for logs. */
export function abbreviateKeyDigest (digest: KeyDigest): string { return digest.slice(0, abbreviatedHexDigits) }

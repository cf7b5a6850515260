/**
 * Names a caller's key without telling it.
 */
import { createHash } from 'node:crypto'

/** Digest of a key. Keys themselves are kept nowhere. */
export type KeyDigest = string

/** 128 bits: two keys that somebody chose are not taken for one. */
const digestHexDigits = 32

/** Digits that logs show: enough to tell the keys of one organisation apart, too few to be looked up. */
const shownHexDigits = 8

/**
 * Digest of a key.
 *
 * Looked up by digest, a key is compared with others in a time that does not depend on how much of it is right.
 *
 * @param key - as its caller sent it
 */
export function keyDigest (key: string): KeyDigest {
  return createHash('sha256').update(key).digest('hex').slice(0, digestHexDigits)
}

/** What logs show of a key. */
export function abbreviateKeyDigest (digest: KeyDigest): string { return digest.slice(0, shownHexDigits) }

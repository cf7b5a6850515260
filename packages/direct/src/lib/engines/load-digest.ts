/**
 * Digests of engines' loads that entries attach to the messages that they exchange in any case.
 */
import type { Ms } from '@hazelford/core'
import type { EngineLoad } from './engine-admission.js'

/** The load of an engine some time ago. */
export interface LoadDigest extends EngineLoad {
  readonly upstream: string
  /** Ms since its holder counted. */
  readonly age: Ms
}

/**
 * Largest number of digests in one message. With six messages a second in each direction, as for an entry of 68, an
 * entry receives the load of each of 84 engines about once a second. Sixteen digests, each with its field names, more
 * than doubled the bytes sent between zones (62 to 143 MB in 50 s of 28 entries).
 */
export const maxDigestsPerMessage = 8

/** A digest in a message: upstream, requests, prompt tokens, age, and the relative speed where its holder measures it. */
export type DigestRow = readonly [string, number, number, Ms, number?]

export function toDigestRow ({ upstream, running, promptBacklog, age, speed }: LoadDigest): DigestRow {
  const row = [upstream, running, Math.round(promptBacklog), Math.round(age)] as const
  return speed === undefined ? row : [...row, speed]
}

function isCount (value: unknown): value is number { return typeof value === 'number' && value >= 0 }

function readRow (row: unknown): readonly LoadDigest[] {
  if (!Array.isArray(row)) return []
  const [upstream, running, promptBacklog, age, speed] = row as readonly unknown[]
  if (typeof upstream !== 'string' || !isCount(running) || !isCount(promptBacklog) || !isCount(age)) return []
  return [{ upstream, running, promptBacklog, age, ...(isCount(speed) && speed > 0 ? { speed } : {}) }]
}

/** Reads the digests of a message; malformed ones, from another version of the program, are left out. */
export function readDigests (value: unknown): readonly LoadDigest[] {
  return Array.isArray(value) ? value.flatMap(readRow) : []
}

/**
 * Picks the digests to send.
 *
 * @param own - of engines that this entry holds: no entry has newer ones
 * @param others - as received
 * @param random - uniform in [0, 1)
 */
export function pickDigests (own: readonly LoadDigest[], others: readonly LoadDigest[], random: () => number): readonly LoadDigest[] {
  const picked = own.slice(0, maxDigestsPerMessage)
  // A random start, so that messages differ and each digest is sent sooner or later.
  const start = Math.floor(random() * others.length)
  for (let n = 0; n < others.length && picked.length < maxDigestsPerMessage; n++) picked.push(others[(start + n) % others.length]!)
  return picked
}

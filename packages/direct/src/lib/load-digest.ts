/**
 * What entries tell each other of engines' loads, with the messages that they send anyhow.
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
 * Digests in one message. With six messages a second each way, as an entry of 68 has, each engine of 84 is heard of about once a
 * second. Sixteen, each with its field names, more than doubled the bytes between zones (62 to 143 MB in 50 s of 28 entries).
 */
export const maxDigestsPerMessage = 8

/** A digest in a message: upstream, requests, prompt tokens, age. */
export type DigestRow = readonly [string, number, number, Ms]

export function toDigestRow ({ upstream, running, promptBacklog, age }: LoadDigest): DigestRow {
  return [upstream, running, Math.round(promptBacklog), Math.round(age)]
}

function isCount (value: unknown): value is number { return typeof value === 'number' && value >= 0 }

function readRow (row: unknown): readonly LoadDigest[] {
  if (!Array.isArray(row)) return []
  const [upstream, running, promptBacklog, age] = row as readonly unknown[]
  if (typeof upstream !== 'string' || !isCount(running) || !isCount(promptBacklog) || !isCount(age)) return []
  return [{ upstream, running, promptBacklog, age }]
}

/** Digests of a message; what is none, from another version of the program, is left out. */
export function readDigests (value: unknown): readonly LoadDigest[] {
  return Array.isArray(value) ? value.flatMap(readRow) : []
}

/**
 * Picks what to tell.
 *
 * @param own - of engines that this entry holds: nobody has newer ones
 * @param others - as heard
 * @param random - uniform in [0, 1)
 */
export function pickDigests (own: readonly LoadDigest[], others: readonly LoadDigest[], random: () => number): readonly LoadDigest[] {
  const picked = own.slice(0, maxDigestsPerMessage)
  // A random start: those told together differ from message to message, and all have their turn.
  const start = Math.floor(random() * others.length)
  for (let n = 0; n < others.length && picked.length < maxDigestsPerMessage; n++) picked.push(others[(start + n) % others.length]!)
  return picked
}

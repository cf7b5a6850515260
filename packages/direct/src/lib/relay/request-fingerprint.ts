/**
 * Identity of a request across its attempts.
 */
import { callDigest } from '@hazelford/core'

/** What all attempts at one request have in common. */
export interface RequestContent {
  readonly method: string
  readonly host: string
  readonly path: string
  readonly body: Buffer | undefined
  /** Organisation that sends it. Without it, one organisation could have requests of another one quarantined. */
  readonly organisation: string | undefined
  readonly model: string | undefined
  /** A body may make engines terminate with one adapter and be harmless with all others. */
  readonly adapter: string | undefined
}

/** 128 bits, so that the fingerprints of no two requests of a day collide. */
const fingerprintHexDigits = 32
const noBody = Buffer.alloc(0)

/**
 * Computes the fingerprint of a request.
 *
 * Each attempt of a caller has an id of its own, and its deadline, its event to resume from and the entry that it
 * reaches differ too. The fingerprint covers only what all attempts share.
 *
 * @returns the same text for each attempt at the same request
 */
export function requestFingerprint ({ method, host, path, body, ...rest }: RequestContent): string {
  const of = [rest.organisation, rest.model, rest.adapter].map(part => part ?? '')
  return callDigest(method, [host.toLowerCase(), path, ...of].map(encodeURIComponent).join(' '), body ?? noBody).slice(0, fingerprintHexDigits)
}

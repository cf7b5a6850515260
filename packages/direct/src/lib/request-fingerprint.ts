/**
 * Identity of a request across its attempts.
 */
import { callDigest } from '@hazelford/core'

/** What two attempts at the same request have in common. */
export interface RequestContent {
  readonly method: string
  readonly host: string
  readonly path: string
  readonly body: Buffer | undefined
  /** Whose request it is. Without it one organisation could have requests of another one held back. */
  readonly organisation: string | undefined
  readonly model: string | undefined
  /** One body may end engines with one adapter and be harmless with all others. */
  readonly adapter: string | undefined
}

/** 128 bits: no two of the requests of any day are taken for one. */
const fingerprintHexDigits = 32
const noBody = Buffer.alloc(0)

/**
 * Names what a request asks for.
 *
 * Each attempt of a caller has an id of its own, and its time limit, its event to resume from and the entry that it
 * reaches differ too. Only what is asked, and where, stays.
 *
 * @returns the same text for each attempt at the same request
 */
export function requestFingerprint ({ method, host, path, body, ...rest }: RequestContent): string {
  const of = [rest.organisation, rest.model, rest.adapter].map(part => part ?? '')
  return callDigest(method, [host.toLowerCase(), path, ...of].map(encodeURIComponent).join(' '), body ?? noBody).slice(0, fingerprintHexDigits)
}

/**
 * Identifies the caller of a request.
 */
import { assertNever } from '@hazelford/core'
import type { Credential, Organisation, Route } from '@hazelford/ports'
import type { RouteTable } from './route-table.js'

/** Why a request can't be attributed to an organisation. Log fields and metrics carry it. */
export type UnauthorisedCause = 'no-key' | 'unreadable-credential' | 'unknown-key'

/** The caller of a request. */
export type CallerIdentity =
  /** No key is required, by the configuration or on a public route, and no key of an organisation is used. */
  | { readonly kind: 'anyone' }
  | { readonly kind: 'organisation', readonly organisation: Organisation }
  | { readonly kind: 'unauthorised', readonly cause: UnauthorisedCause }

function identifyByKey (table: RouteTable, credential: Credential): CallerIdentity {
  switch (credential.kind) {
    case 'absent': return { kind: 'unauthorised', cause: 'no-key' }
    case 'unreadable': return { kind: 'unauthorised', cause: 'unreadable-credential' }
    case 'key': {
      const organisation = table.organisationOf(credential.digest)
      return organisation === undefined ? { kind: 'unauthorised', cause: 'unknown-key' } : { kind: 'organisation', organisation }
    }
    default: return assertNever(credential)
  }
}

/**
 * Identifies the caller of a request.
 *
 * A public route requires no key. A request to a public route that still carries an organisation's key counts towards
 * that organisation's usage; a key that belongs to no organisation is ignored there.
 *
 * @param table - the configuration in force
 * @param route - route of the request
 * @param credential - credential that the request carries
 */
export function identifyCaller (table: RouteTable, route: Route, credential: Credential): CallerIdentity {
  if (table.config.access.kind === 'anyone') return { kind: 'anyone' }
  const identity = identifyByKey(table, credential)
  return identity.kind === 'unauthorised' && route.public ? { kind: 'anyone' } : identity
}

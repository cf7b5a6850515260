/**
 * Tells whose request it is.
 */
import { assertNever } from '@hazelford/core'
import type { Credential, Organisation, Route } from '@hazelford/ports'
import type { RouteTable } from './route-table.js'

/** Why a request is nobody's. Logs and metrics name it. */
export type UnauthorisedCause = 'no-key' | 'unreadable-credential' | 'unknown-key'

/** Whose request it is. */
export type CallerIdentity =
  /** No key is asked for, and none of an organisation was shown. */
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
 * Tells whose request it is.
 *
 * A public route needs no key. One that is shown there all the same says who pays for the request; one that is nobody's says
 * nothing.
 *
 * @param table - the configuration in force
 * @param route - of the request
 * @param credential - what the request shows
 */
export function identifyCaller (table: RouteTable, route: Route, credential: Credential): CallerIdentity {
  if (table.config.access.kind === 'anyone') return { kind: 'anyone' }
  const identity = identifyByKey(table, credential)
  return identity.kind === 'unauthorised' && route.public ? { kind: 'anyone' } : identity
}

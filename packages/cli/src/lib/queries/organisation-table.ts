/**
 * Counts each organisation's requests by outcome, from logs alone.
 */
import { formatTable } from '../table.js'
import type { LogLine } from './log-lines.js'

/** Counts of one organisation's requests; `taken` counts those that entries accepted. */
export interface OrganisationUse {
  readonly organisation: string
  taken: number
  delivered: number
  overLimit: number
}

/** Requests refused for their key, by cause and digest of the key. */
interface Unauthorised { readonly cause: string, readonly key: string, count: number }

const rowsShown = 20

/** Counts requests by organisation, the one with the most requests first. */
export function usesByOrganisation (lines: readonly LogLine[]): readonly OrganisationUse[] {
  const uses = new Map<string, OrganisationUse>()
  const owners = new Map<unknown, OrganisationUse>()
  const useOf = (name: string): OrganisationUse => {
    const known = uses.get(name) ?? { organisation: name, taken: 0, delivered: 0, overLimit: 0 }
    uses.set(name, known)
    return known
  }
  for (const { msg, request, organisation, end } of lines) {
    if (msg === 'request: taken.' && typeof organisation === 'string') {
      const use = useOf(organisation)
      use.taken++
      owners.set(request, use)
    } else if (msg === 'request: over its usage limit.') useOf(String(organisation)).overLimit++
    else if (msg === 'request: over.' && end === 'delivered') {
      const use = owners.get(request)
      if (use !== undefined) use.delivered++
    }
  }
  return [...uses.values()].sort((a, b) => b.taken + b.overLimit - a.taken - a.overLimit)
}

function unauthorised (lines: readonly LogLine[]): readonly Unauthorised[] {
  const found = new Map<string, Unauthorised>()
  for (const { msg, cause, key } of lines) {
    if (msg !== 'request: unauthorised.') continue
    const id = `${String(cause)} ${String(key)}`
    const group = found.get(id) ?? { cause: String(cause), key: key === undefined ? '-' : String(key), count: 0 }
    group.count++
    found.set(id, group)
  }
  return [...found.values()].sort((a, b) => b.count - a.count)
}

/** Tables of organisations and of requests without a valid key; none where callers use no keys. */
export function organisationTables (lines: readonly LogLine[]): readonly string[] {
  const uses = usesByOrganisation(lines).slice(0, rowsShown).map(({ organisation, taken, delivered, overLimit }) => [organisation, String(taken), String(delivered), String(overLimit)])
  const refused = unauthorised(lines).slice(0, rowsShown).map(({ cause, key, count }) => [cause, key, String(count)])
  return [
    ...(uses.length === 0 ? [] : [formatTable(['organisation', 'let in', 'answered', 'over its limit'], uses)]),
    ...(refused.length === 0 ? [] : [formatTable(['unauthorised', 'digest of the key', 'requests'], refused)])
  ]
}

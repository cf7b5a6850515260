/**
 * `hazelford organisations`: limits and recent requests of organisations over all entries.
 */
import type { OperatorView, OrganisationView } from '@hazelford/core'
import type { Report } from '../exit-code.js'
import { type Column, entryReport, rowReport } from './entry-report.js'

/** An organisation over all entries. */
export interface OrganisationRow extends OrganisationView {
  /** Units admitted a second. */
  readonly rate: number
}

function addEnds (a: Readonly<Record<string, number>>, b: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
  const names = new Set([...Object.keys(a), ...Object.keys(b)])
  return Object.fromEntries([...names].map(end => [end, (a[end] ?? 0) + (b[end] ?? 0)]))
}

function addOrganisation (a: OrganisationView, b: OrganisationView): OrganisationView {
  return { ...a, ...b, admitted: a.admitted + b.admitted, refused: a.refused + b.refused, ends: addEnds(a.ends, b.ends) }
}

/** Merges the organisations of all entries, the one that uses the most first. */
export function organisationRows (views: readonly OperatorView[]): readonly OrganisationRow[] {
  const merged = new Map<string, OrganisationView>()
  for (const { organisations } of views) {
    for (const view of organisations) {
      const known = merged.get(view.organisation)
      merged.set(view.organisation, known === undefined ? view : addOrganisation(known, view))
    }
  }
  const seconds = (views[0]?.window ?? 1_000) / 1_000
  const requests = ({ ends }: OrganisationView): number => Object.values(ends).reduce((sum, times) => sum + times, 0)
  return [...merged.values()]
    .map(view => ({ ...view, rate: view.admitted / seconds }))
    .sort((a, b) => requests(b) - requests(a) || a.organisation.localeCompare(b.organisation))
}

function describeLimit ({ limit }: OrganisationRow): string { return limit === undefined ? '-' : `${limit.rate} + ${limit.burst} ${limit.unit}` }

/** Ends other than an answer, the most frequent first. */
function describeFailures ({ ends }: OrganisationRow): string {
  const failures = Object.entries(ends).filter(([end]) => end !== 'delivered').sort(([, a], [, b]) => b - a)
  return failures.length === 0 ? '-' : failures.map(([end, times]) => `${end} ${times}`).join(', ')
}

const columns: readonly Column<OrganisationRow>[] = [
  ['organisation', row => row.organisation],
  ['limit a second', describeLimit],
  ['admitted a second', row => row.rate.toFixed(1)],
  ['units refused', row => String(Math.round(row.refused))],
  ['answered', row => String(row.ends.delivered ?? 0)],
  ['not answered, by cause', describeFailures]
]

/** Shows the organisations of the entries that are known at some addresses. */
export function organisations (addresses: readonly string[]): Promise<Report> {
  return entryReport(addresses, found => rowReport(found, organisationRows(found.views), columns, ({ omitted }) => omitted.organisations))
}

/**
 * An entry's state as operators see it.
 */
import type { Clock, OperatorView, OrganisationView, UpstreamView } from '@hazelford/core'
import type { RouteTable } from '@hazelford/decisions'
import type { Organisation } from '@hazelford/ports'
import type { LoadDigest } from '../engines/load-digest.js'
import { activityWindow, type OrganisationActivity, type OrganisationCounts } from '../usage/organisation-activity.js'
import type { PeerTable } from '../peers/peer-table.js'
import type { Upstream } from '../placing/upstream.js'

/** Rows of one answer; the JSON of as many stays under some hundred KB. */
const maxUpstreams = 1_000
const maxOrganisations = 500

/** What the view is made of. */
export interface OperatorViewSources {
  readonly node: string
  readonly clock: Clock
  readonly viewAge: number
  readonly peers: PeerTable
  readonly upstreams: Iterable<Upstream>
  /** Loads of the engines that this entry holds. */
  readonly heldLoads: readonly LoadDigest[]
  readonly table: RouteTable | undefined
  readonly activity: OrganisationActivity
}

function upstreamView (upstream: Upstream, held: LoadDigest | undefined, { clock, peers }: OperatorViewSources): UpstreamView {
  const { id, record: { service, zone, state, slots }, outstanding } = upstream
  const holder = peers.holder(id)
  const load = held ?? upstream.load
  return {
    upstream: id,
    service,
    zone,
    state,
    ...(holder === undefined ? {} : { holder: holder.node, fence: holder.fence }),
    slots,
    ...(load === undefined ? {} : { running: load.running, promptBacklog: Math.round(load.promptBacklog), loadAge: Math.round(load.age), ...(load.speed === undefined ? {} : { speed: load.speed }) }),
    ejected: !upstream.health.accepts(clock.now()),
    outstanding
  }
}

function organisationView (organisation: string, { limit }: Partial<Organisation>, counts: OrganisationCounts | undefined): OrganisationView {
  const { admitted = 0, refused = 0, ends = {} } = counts ?? {}
  return { organisation, ...(limit === undefined ? {} : { limit: { unit: limit.unit, rate: limit.rate, burst: limit.burst } }), admitted, refused, ends }
}

function requestCount ({ ends }: OrganisationView): number { return Object.values(ends).reduce((sum, times) => sum + times, 0) }

/** Organisations of the configuration and those with recent requests, the ones with the most requests first. */
function organisationViews ({ table, activity }: OperatorViewSources): readonly OrganisationView[] {
  const recent = activity.recent
  const configured = new Map((table?.organisations ?? []).map(organisation => [organisation.name, organisation]))
  const names = new Set([...recent.keys(), ...configured.keys()])
  return [...names].map(name => organisationView(name, configured.get(name) ?? {}, recent.get(name))).sort((a, b) => requestCount(b) - requestCount(a) || (a.organisation < b.organisation ? -1 : 1))
}

/** Makes the view; bounded in size, with the number of rows left out. */
export function operatorView (sources: OperatorViewSources): OperatorView {
  const { node, viewAge, peers, heldLoads } = sources
  const held = new Map(heldLoads.map(load => [load.upstream, load]))
  const upstreams = [...sources.upstreams].map(upstream => upstreamView(upstream, held.get(upstream.id), sources))
  const organisations = organisationViews(sources)
  return {
    node,
    entries: peers.entries.map(({ node, host, port }) => ({ node, host, port })),
    viewAge: Number.isFinite(viewAge) ? Math.round(viewAge) : null,
    window: activityWindow,
    upstreams: upstreams.slice(0, maxUpstreams),
    organisations: organisations.slice(0, maxOrganisations),
    omitted: { upstreams: Math.max(0, upstreams.length - maxUpstreams), organisations: Math.max(0, organisations.length - maxOrganisations) }
  }
}

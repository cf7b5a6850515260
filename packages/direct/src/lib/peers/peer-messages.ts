/**
 * Messages between entries, and the paths of their calls.
 */
import type { Ms } from '@hazelford/core'
import type { UsageGrant } from '@hazelford/decisions'
import type { EngineLoad } from '../engines/engine-admission.js'
import type { LoadRequest, LoadRequestOutcome, UnavailableCause } from '../engines/engine-holder.js'
import type { DigestRow } from '../engines/load-digest.js'
import type { RecentLoadsUpdate } from '../engines/recent-loads.js'
import type { NoticeMessage } from '../placing/notice-messages.js'
import type { StreamReport } from '../engines/stream-report.js'
import type { UsageMessage } from '../usage/usage-coordinator.js'

/** Path of each call. */
export const peerPaths = {
  ask: '/adapters/ask',
  use: '/adapters/use',
  taken: '/holders/taken',
  ends: '/requests/ends',
  held: '/requests/held',
  answered: '/requests/answered',
  changes: '/store/changes',
  state: '/state',
  configAge: '/config/age',
  usage: '/usage/report',
  limits: '/upstreams/limits',
  notices: '/upstreams/notices',
  began: '/streams/began',
  origin: '/streams/origin',
  operators: '/operators/view',
  ping: '/ping'
} as const

/** Status of an answer of an entry that can't handle a call yet, and has not acted on it. */
export const unavailableStatus = 503

/** A load request to the holder of an engine. */
export interface LoadRequestMessage extends LoadRequest {
  readonly upstream: string
  /** Digests of engines' loads known to the sending entry. */
  readonly loads: readonly DigestRow[]
}

/** A holder's answer to a load request of another entry. */
export type PeerLoadRequestOutcome = LoadRequestOutcome & { readonly loads: readonly DigestRow[] }

/** Adapters that an entry still uses at an engine; without streams from an entry of a version that reports them with load requests alone. */
export interface UseMessage extends Partial<StreamReport> {
  readonly upstream: string
  readonly entry: string
  readonly uses: readonly string[]
  /** Its open requests there; undefined from an entry of a version that does not send them. */
  readonly outstanding?: number
}

/** An engine that has a new holder. */
export interface TakeoverMessage { readonly upstream: string, readonly fence: number }

/** An entry's usage of upstreams' limits, with the notices that it has received from upstreams. */
export type LimitReport = UsageMessage & NoticeMessage

/** Usage granted to an entry, with the notices that the allocator has received from upstreams. */
export interface LimitReply extends NoticeMessage { readonly grants: readonly UsageGrant[] }

/** The answer on the wire; a reservation is sent as the time left, since clocks differ. */
export type LoadRequestReply = { readonly news?: RecentLoadsUpdate, readonly loads?: readonly DigestRow[] } & (
  | { readonly kind: 'ready', readonly lasts: Ms, readonly version?: number, readonly load?: EngineLoad, readonly atDoor?: Ms }
  | { readonly kind: 'coming', readonly atDoor?: Ms }
  | { readonly kind: 'unavailable', readonly cause: UnavailableCause, readonly line?: number, readonly wait?: Ms, readonly load?: EngineLoad }
)

/** A poll for changes in the store. */
export interface ChangesMessage { readonly after: number, readonly wait: Ms }

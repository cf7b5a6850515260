/**
 * What entries say to each other, and at which paths.
 */
import type { Ms } from '@hazelford/core'
import type { UsageGrant } from '@hazelford/decisions'
import type { EngineLoad } from './engine-admission.js'
import type { LoadRequest, LoadRequestOutcome, UnavailableCause } from './engine-holder.js'
import type { DigestRow } from './load-digest.js'
import type { RecentLoadsUpdate } from './recent-loads.js'
import type { NoticeMessage } from './notice-messages.js'
import type { UsageMessage } from './usage-coordinator.js'

/** Where each call is served. */
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
  ping: '/ping'
} as const

/** An adapter asked of another entry. */
export interface LoadRequestMessage extends LoadRequest {
  readonly upstream: string
  /** What the asking entry knows of engines' loads. */
  readonly loads: readonly DigestRow[]
}

/** The answer to an ask of another entry. */
export type PeerLoadRequestOutcome = LoadRequestOutcome & { readonly loads: readonly DigestRow[] }

/** What an entry still uses at an engine. */
export interface UseMessage {
  readonly upstream: string
  readonly entry: string
  readonly uses: readonly string[]
  /** Its open requests there; undefined from an entry of a version that does not say. */
  readonly outstanding?: number
}

/** An engine that has a new holder. */
export interface TakeoverMessage { readonly upstream: string, readonly fence: number }

/** Upstreams that ended while they had requests, told to an entry that counts such ends. */
export interface TerminationsMessage {
  /** `request`: its fingerprint; `age`: ms since its answer was lost. */
  readonly ends: ReadonlyArray<{ readonly request: string, readonly upstream: string, readonly age: Ms }>
}

/** Requests that are held back, by their fingerprints. */
export interface QuarantinedMessage { readonly requests: readonly string[] }

/** Asks which of some requests were answered whole lately, by their fingerprints. */
export interface AnsweredQuery { readonly requests: readonly string[] }

/** What an entry uses of upstreams' limits, with what these have told it. */
export type LimitReport = UsageMessage & NoticeMessage

/** What is lent to it, with what upstreams have told the keeper. */
export interface LimitReply extends NoticeMessage { readonly grants: readonly UsageGrant[] }

/** The answer; a promise is told as the time left, since clocks differ. */
export type LoadRequestReply = { readonly news?: RecentLoadsUpdate, readonly loads?: readonly DigestRow[] } & (
  | { readonly kind: 'ready', readonly lasts: Ms, readonly version?: number, readonly load?: EngineLoad, readonly atDoor?: Ms }
  | { readonly kind: 'coming', readonly atDoor?: Ms }
  | { readonly kind: 'unavailable', readonly cause: UnavailableCause, readonly line?: number, readonly load?: EngineLoad }
)

/** A question for changes in the store. */
export interface ChangesMessage { readonly after: number, readonly wait: Ms }

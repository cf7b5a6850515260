/**
 * The operators' configuration as an entry uses it.
 */
import type { KeyDigest, Ms } from '@hazelford/core'

/**
 * What may be repeated.
 *
 * - `read-only`: may run more than once.
 * - `non-idempotent`: runs once at most.
 * - `stream`: an answer of events; runs once at most unless it is resumable.
 */
export type RouteKind = 'read-only' | 'non-idempotent' | 'stream'

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** One route. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time a caller is kept waiting. */
  readonly timeout: Ms
  /** Time within which an answer, or the first event of a stream, is on time. */
  readonly latencyTarget: Ms
  /** 0 is the most urgent. */
  readonly priority: number
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number
  readonly resumable: boolean
  /** Whether callers need no key for it. */
  readonly public: boolean
  /** Longest pause between events of an answer that is on time. */
  readonly gapTarget: Ms
}

/** A model that a service's engines may hold. */
export interface ModelSpec {
  readonly name: string
  readonly weightsMb: number
  readonly adapterMb: number
  readonly adapters: number
}

/** What the engines of a service can hold. */
export interface EngineSpec {
  /** Requests in one batch. */
  readonly slots: number
  readonly weightsMb: number
  readonly adapterSlots: number
  /** Loads a second that the weight store allows over all engines. */
  readonly loadsPerSecond: number
  readonly models: readonly ModelSpec[]
}

/** One service. */
export interface ServiceSpec {
  readonly name: string
  readonly healthPath: string
  /** Connections that one of its upstreams accepts from all hosts. */
  readonly maxConnections: number
  readonly engine?: EngineSpec
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeout: Ms
  readonly idleTimeout: Ms
}

/** What a usage limit counts. */
export type UsageUnit = 'requests' | 'tokens'

/** How much an organisation may ask for, over all entries. */
export interface UsageLimit {
  readonly unit: UsageUnit
  /** Units a second. */
  readonly rate: number
  /** Units that may be used at once on top. */
  readonly burst: number
  /** Tokens that a request counts for which does not name its own. */
  readonly plainTokens: number
}

/** Whose callers may send requests. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly KeyDigest[]
  /** Goes before the priority of a route; undefined leaves it to the route. */
  readonly priority?: number
  /** Undefined when nothing limits it. */
  readonly limit?: UsageLimit
}

/** Who may send requests. */
export type Access =
  | { readonly kind: 'anyone' }
  /** Who has the key of an organisation, and anyone on public routes. */
  | { readonly kind: 'by-key', readonly organisations: readonly Organisation[] }

/** One version of the configuration. */
export interface RouteConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceSpec[]
  readonly limits: CallerLimits
  readonly access: Access
}

/**
 * The operators' configuration as entries use it.
 */
import type { KeyDigest, Ms } from '@hazelford/core'

/**
 * Whether the requests of a route may be repeated.
 *
 * - `read-only`: a request may run more than once.
 * - `non-idempotent`: a request runs at most once.
 * - `stream`: the answer is a stream of events; a request runs at most once unless the route is resumable.
 */
export type RouteKind = 'read-only' | 'non-idempotent' | 'stream'

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** One route. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time that a caller waits for its answer. */
  readonly timeout: Ms
  /** Target time for an answer, or for the first event of a stream. */
  readonly latencyTarget: Ms
  /** 0 is the most urgent. */
  readonly priority: number
  /** Most upstreams that one request is sent to. */
  readonly maxAttempts: number
  readonly resumable: boolean
  /** Whether callers may use the route without a key. */
  readonly public: boolean
  /** Target for the longest pause between events of a stream. */
  readonly gapTarget: Ms
}

/** A model that a service's engines may load. */
export interface ModelSpec {
  readonly name: string
  readonly weightsMb: number
  readonly adapterMb: number
  readonly adapters: number
}

/** Capacity of each engine of a service. */
export interface EngineSpec {
  /** Batch slots: requests that an engine runs at once. */
  readonly slots: number
  readonly weightsMb: number
  readonly adapterSlots: number
  /** Loads per second that the weight store allows, summed over all engines. */
  readonly loadsPerSecond: number
  readonly models: readonly ModelSpec[]
}

/** One service. */
export interface ServiceSpec {
  readonly name: string
  readonly healthPath: string
  /** Connections that one upstream of the service accepts, summed over all hosts. */
  readonly maxConnections: number
  readonly engine?: EngineSpec
}

/** Limits on the size of a caller's request and on the time it takes to send it. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeout: Ms
  readonly idleTimeout: Ms
}

/** Unit in which a usage limit counts. */
export type UsageUnit = 'requests' | 'tokens'

/** Usage limit of an organisation, summed over all entries. */
export interface UsageLimit {
  readonly unit: UsageUnit
  /** Units per second. */
  readonly rate: number
  /** Units that may be used at once, in addition to the rate. */
  readonly burst: number
  /** Tokens counted for a request that declares no token count. */
  readonly plainTokens: number
}

/** An organisation whose callers may send requests. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly KeyDigest[]
  /** Overrides the priority of a route; undefined leaves the route's. */
  readonly priority?: number
  /** Undefined when the organisation's usage is unlimited. */
  readonly limit?: UsageLimit
}

/** Who may send requests. */
export type Access =
  | { readonly kind: 'anyone' }
  /** Callers with the key of an organisation, and any caller on public routes. */
  | { readonly kind: 'by-key', readonly organisations: readonly Organisation[] }

/** One version of the configuration. */
export interface RouteConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceSpec[]
  readonly limits: CallerLimits
  readonly access: Access
}

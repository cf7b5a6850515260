/**
 * What an entry shows operators of itself: its answer to `hazelford upstreams` and `hazelford organisations`.
 */
import type { Ms } from './clock.js'

/** Where an entry answers operators: the address at which it listens for its peers. */
export interface EntryAddress {
  readonly node: string
  readonly host: string
  readonly port: number
}

/** One upstream as one entry sees it. */
export interface UpstreamView {
  readonly upstream: string
  readonly service: string
  readonly zone: string
  readonly state: string
  /** Entry that loads and unloads the engine's adapters; undefined for a plain service, and for an engine without one. */
  readonly holder?: string
  /** Fencing number of that holder. */
  readonly fence?: number
  /** Requests that all entries have there; undefined without a fresh report. */
  readonly running?: number
  /** Requests that it runs at once. */
  readonly slots: number
  /** Prompt tokens that it has yet to read. */
  readonly promptBacklog?: number
  /** Measured speed relative to the median engine of its service. */
  readonly speed?: number
  /** Ms since `running` and `promptBacklog` were counted. */
  readonly loadAge?: Ms
  /** Whether the entry sends it no new requests for now, since answers of it failed. */
  readonly ejected: boolean
  /** Open requests of the entry there. */
  readonly outstanding: number
}

/** One organisation's requests at one entry in {@link OperatorView.window}. */
export interface OrganisationView {
  readonly organisation: string
  /** Usage limit over all entries; undefined for an organisation without one. */
  readonly limit?: { readonly unit: string, readonly rate: number, readonly burst: number }
  /** Units admitted, less those returned, and refused; in the limit's unit, and 0 without a limit. */
  readonly admitted: number
  readonly refused: number
  /** Requests by how they ended. */
  readonly ends: Readonly<Record<string, number>>
}

/** State of one entry for operators. */
export interface OperatorView {
  readonly node: string
  /** Entries that it knows, itself included once it is registered. */
  readonly entries: readonly EntryAddress[]
  /** Ms for which it may have missed changes in the store; null while it has no view of the store. */
  readonly viewAge: Ms | null
  /** Ms that the counts of organisations cover. */
  readonly window: Ms
  readonly upstreams: readonly UpstreamView[]
  readonly organisations: readonly OrganisationView[]
  /** Rows that the answer leaves out, to bound its size. */
  readonly omitted: { readonly upstreams: number, readonly organisations: number }
}

/**
 * What an upstream says of itself in the store.
 */
import type { Ms } from '@hazelford/core'

/** An adapter in an engine, with its version. */
export interface HeldAdapter {
  readonly adapter: string
  readonly version: number
}

/** A model in an engine, with the adapters loaded on it. */
export interface HeldModel {
  readonly model: string
  readonly version: number
  readonly adapters: readonly HeldAdapter[]
}

/** One incarnation of an upstream. A restart has a new id. */
export interface UpstreamRecord {
  readonly id: string
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Requests that it runs at once. */
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Time until it is gone, when it was told to leave at short notice. */
  readonly leavesIn?: Ms
  readonly models: readonly HeldModel[]
  /** Orders accepted since its start. */
  readonly orders: number
}

/** A version of an adapter that the operators declared. */
export interface AdapterVersion {
  readonly model: string
  readonly adapter: string
  readonly version: number
}

/**
 * What an upstream says of itself in the store.
 */
import type { Ms } from '@hazelford/core'

/** An adapter in an engine, with its version. */
export interface EngineAdapter {
  readonly adapter: string
  readonly version: number
}

/** A model in an engine, with the adapters loaded on it. */
export interface EngineModel {
  readonly model: string
  readonly version: number
  readonly adapters: readonly EngineAdapter[]
}

/** One incarnation of an upstream: a restart has a new id, or a later start under the same one. */
export interface UpstreamRecord {
  readonly id: string
  /** When it started, in Unix ms of its own clock; undefined where upstreams don't say. */
  readonly startedAt?: number
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Requests that it runs at once. */
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Time until it is gone, when it was told to leave at short notice. */
  readonly leavesIn?: Ms
  readonly models: readonly EngineModel[]
  /** Orders accepted since its start. */
  readonly orders: number
}

/** A version of an adapter that the operators declared. */
export interface AdapterVersion {
  readonly model: string
  readonly adapter: string
  readonly version: number
}

/** How a word on an upstream stands to the incarnation that is known. */
export type IncarnationComparison = 'same' | 'later' | 'earlier'

/**
 * Compares incarnations of one upstream.
 *
 * A word without a start is earlier than any with one: its writer is of a version that didn't say, and once a start is
 * known nothing shows that the word is not about an incarnation that has ended.
 *
 * @param heard - start that a word names
 * @param known - start of the incarnation that is known
 */
export function compareStartTimes (heard: number | undefined, known: number | undefined): IncarnationComparison {
  if (heard === known) return 'same'
  return (heard ?? -Infinity) > (known ?? -Infinity) ? 'later' : 'earlier'
}

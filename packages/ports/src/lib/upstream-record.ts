/**
 * Record that an upstream keeps of itself in the store.
 */
import type { Ms } from '@hazelford/core'

/** An adapter that an engine has loaded or is loading, with its version. */
export interface EngineAdapter {
  readonly adapter: string
  readonly version: number
}

/** A model that an engine has loaded, with the adapters loaded for it. */
export interface EngineModel {
  readonly model: string
  readonly version: number
  readonly adapters: readonly EngineAdapter[]
}

/** One incarnation of an upstream. A restarted upstream has a new id, or a later start under the same id. */
export interface UpstreamRecord {
  readonly id: string
  /** Start in Unix ms of the upstream's own clock; undefined for an upstream that does not report it. */
  readonly startedAt?: number
  readonly service: string
  /**
   * Version of the upstream's software, as opposed to that of its models; undefined in a record from an entry of a version
   * that does not send it.
   */
  readonly software?: string
  readonly host: string
  readonly port: number
  readonly zone: string
  /** Batch slots: requests that the upstream runs at once. */
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Time until the upstream terminates, when it must leave at short notice. */
  readonly leavesIn?: Ms
  readonly models: readonly EngineModel[]
  /** Number of load and unload orders accepted since the start. */
  readonly orders: number
}

/** A version of an adapter, as declared by the operators. */
export interface AdapterVersion {
  readonly model: string
  readonly adapter: string
  readonly version: number
}

/** Whether a report describes the same incarnation as the known one, a later or an earlier one. */
export type IncarnationComparison = 'same' | 'later' | 'earlier'

/**
 * Compares incarnations of one upstream by their start times.
 *
 * A report without a start is earlier than any report with one: it was written by a version that does not report starts, and
 * it may describe an incarnation that has terminated since.
 *
 * @param reported - start named by the report
 * @param known - start of the known incarnation
 */
export function compareStartTimes (reported: number | undefined, known: number | undefined): IncarnationComparison {
  if (reported === known) return 'same'
  return (reported ?? -Infinity) > (known ?? -Infinity) ? 'later' : 'earlier'
}

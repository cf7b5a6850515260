/**
 * Load and unload orders to engines, and the engines' reports.
 */
import type { ResultAsync } from 'neverthrow'
import type { EngineAdapter, EngineModel } from './upstream-record.js'

/** Identifies a model, or one of its adapters. */
export interface LoadTarget {
  readonly model: string
  readonly adapter?: string
  readonly version?: number
}

/** Sender of an order, and the state of the engine on which the sender based it. */
export interface EngineOrderContext {
  readonly holder: string
  readonly fence: number
  /** Number of orders that the engine must have accepted so far; it refuses the order on any other number. */
  readonly afterOrders: number
}

/**
 * Answer of an engine to an order.
 *
 * - `accepted`: the engine is carrying out the order.
 * - `holds`: the engine is already in the requested state.
 * - `conflict`: another order is being carried out, or the engine has accepted orders that the sender does not know of.
 * - `fenced`: the engine has received an order with a higher fencing number, from a newer holder.
 * - `refused`: the engine can't carry out the order.
 * - `other-instance`: another incarnation listens at this address.
 */
export type EngineOrderOutcome = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'refused' | 'other-instance'

/** What an engine has loaded and queued. A report may be some hundred ms old. */
export interface EngineReport {
  /** Start of the reporting incarnation, as in its record in the store. */
  readonly startedAt?: number
  readonly models: readonly EngineModel[]
  /** Adapters that are being fetched from the weight store. */
  readonly coming: readonly (EngineAdapter & { readonly model: string })[]
  /** Whether the engine is loading a model; loads of adapters are not included. */
  readonly busy: boolean
  /** Number of orders that the engine has accepted since its start. */
  readonly orders: number
  /** Requests that occupy a batch slot. */
  readonly running: number
  /** Requests that wait for a batch slot. */
  readonly waiting: number
}

/** No answer was received. The engine may have accepted the order, or may still carry it out later. */
export interface ControlFailure {
  readonly kind: 'no-answer'
  readonly message: string
}

/** Control of one incarnation of an engine. */
export interface EngineControl {
  readonly load: (target: LoadTarget, order: EngineOrderContext) => ResultAsync<EngineOrderOutcome, ControlFailure>
  readonly unload: (target: LoadTarget, order: EngineOrderContext) => ResultAsync<EngineOrderOutcome, ControlFailure>
  readonly report: () => ResultAsync<EngineReport, ControlFailure>
}

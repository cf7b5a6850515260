/**
 * Orders to engines and what they report.
 */
import type { ResultAsync } from 'neverthrow'
import type { EngineAdapter, EngineModel } from './upstream-record.js'

/** Names a model, or one of its adapters. */
export interface LoadTarget {
  readonly model: string
  readonly adapter?: string
  readonly version?: number
}

/** Who orders, and on what view of the engine. */
export interface EngineOrderContext {
  readonly holder: string
  readonly fence: number
  /** Orders that the engine must have accepted so far; others make it refuse this one. */
  readonly afterOrders: number
}

/**
 * What an engine says to an order.
 *
 * - `accepted`: it is being carried out.
 * - `holds`: what was asked for is already so.
 * - `conflict`: another order runs, or the engine has accepted more orders than the sender knew.
 * - `fenced`: a newer holder has given orders.
 * - `refused`: the order can't be carried out as it is.
 * - `other-instance`: another incarnation answers at this address.
 */
export type EngineOrderOutcome = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'refused' | 'other-instance'

/** What an engine holds, some hundred ms ago. */
export interface EngineReport {
  /** Start of the incarnation that reports, as in its record. */
  readonly startedAt?: number
  readonly models: readonly EngineModel[]
  /** Adapters on their way from the weight store. */
  readonly coming: readonly (EngineAdapter & { readonly model: string })[]
  readonly busy: boolean
  readonly orders: number
  readonly running: number
  readonly waiting: number
}

/** No answer came: an order may have been accepted, or may be carried out later. */
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

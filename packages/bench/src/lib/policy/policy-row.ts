/**
 * One row of the policy benchmark.
 */
import type { Bound } from './bound.js'
import type { Outcome } from './experiment.js'

/** The results of every policy under one condition. */
export interface PolicyRow {
  readonly deployment: string
  readonly condition: string
  readonly naive: Outcome
  readonly hash: Outcome
  readonly hazelford: Outcome
  readonly bound: Bound
}

/**
 * Verdicts: whether a request may have run, which decides whether it may be retried.
 */
import type { Ms } from './clock.js'

/**
 * What is known about the execution of a request.
 *
 * - `not-run`: it did not run and never will. It may always be sent again.
 * - `may-have-run`: unknown. Only an idempotent request may be sent again.
 * - `ran`: it ran, and the answer belongs to it.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'

/** Why a request ended without an answer. Callers receive it as `error.code`. */
export type FailureCode =
  | 'bad-request' | 'unknown-model' | 'unknown-service' | 'too-large' | 'bad-deadline'
  | 'overloaded' | 'queue-deadline' | 'withdrawn' | 'leaving' | 'cold' | 'load-failed' | 'no-upstream'
  | 'duplicate-frame' | 'dependency-down' | 'key-in-use' | 'claims-unavailable' | 'first-attempt-unknown'
  | 'deadline' | 'channel-lost' | 'sidecar-restarted' | 'upstream-lost' | 'wrong-adapter' | 'stream-incomplete'
  | 'retry-budget' | 'shutting-down' | 'internal' | 'quarantined'

/** Outcome of a request without an answer. */
export interface Failure {
  readonly verdict: Verdict
  readonly code: FailureCode
  readonly message: string
  /** Ms after which a retry may succeed; 0 when waiting does not help. */
  readonly retryAfter: Ms
}

/**
 * Builds a failure.
 *
 * @param verdict - whether the request may have run
 * @param code - machine-readable cause
 * @param message - cause and remedy for people
 * @param retryAfter - ms until a retry may succeed
 */
export function failure (verdict: Verdict, code: FailureCode, message: string, retryAfter: Ms = 0): Failure {
  return { verdict, code, message, retryAfter }
}

/**
 * Whether a request may be sent to another upstream.
 *
 * @param verdict - verdict on the failed attempt
 * @param idempotent - whether the request may run twice
 */
export function mayResend (verdict: Verdict, idempotent: boolean): boolean {
  switch (verdict) {
    case 'not-run': return true
    case 'may-have-run': return idempotent
    case 'ran': return false
  }
}

/**
 * Parses the verdict of a frame.
 *
 * @param text - verdict that the peer sent
 * @returns the verdict; `may-have-run` for an unknown one, the only safe assumption
 */
export function parseVerdict (text: string): Verdict {
  return text === 'not-run' || text === 'ran' ? text : 'may-have-run'
}

/**
 * Interfaces by which an upstream's answer is delivered to the sidecar.
 */
import type { Failure } from '@hazelford/core'

/** One header of an answer. */
export interface AnswerHeader {
  readonly name: string
  readonly value: string
}

/** Receives an answer as it arrives. No call follows `end`, `fail` or `notLoaded`. */
export interface AnswerSink {
  readonly head: (status: number, headers: readonly AnswerHeader[]) => void
  readonly data: (data: Uint8Array) => void
  /** The answer is complete. */
  readonly end: () => void
  readonly fail: (failure: Failure) => void
  /** The engine refused the call because the adapter is not loaded: nothing ran. */
  readonly notLoaded: () => void
}

/** Controls a running call. */
export interface CallHandle {
  /** Stops reading the answer, which applies backpressure to the upstream. */
  readonly pause: () => void
  readonly resume: () => void
  /**
   * Cancels the call; the sink is not called any more.
   *
   * @returns resolves when the upstream has stopped, as far as can be known
   */
  readonly cancel: () => Promise<void>
}

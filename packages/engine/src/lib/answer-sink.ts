/**
 * How an upstream's answer reaches the sidecar.
 */
import type { Failure } from '@hazelford/core'

/** One header of an answer. */
export interface AnswerHeader {
  readonly name: string
  readonly value: string
}

/** Takes an answer as it comes. After `end`, `fail` or `notLoaded` nothing follows. */
export interface AnswerSink {
  readonly head: (status: number, headers: readonly AnswerHeader[]) => void
  readonly data: (data: Uint8Array) => void
  /** The answer is whole. */
  readonly end: () => void
  readonly fail: (failure: Failure) => void
  /** The engine refused since it lacks the adapter: nothing ran. */
  readonly notLoaded: () => void
}

/** Steers a call that runs. */
export interface CallHandle {
  /** Stops reading, so that the upstream is held back. */
  readonly pause: () => void
  readonly resume: () => void
  /**
   * Gives the call up; the sink hears nothing more.
   *
   * @returns when the upstream has stopped, as far as can be known
   */
  readonly cancel: () => Promise<void>
}

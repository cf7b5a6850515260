/**
 * How an attempt's answer reaches the request it belongs to.
 */
import type { AnswerHead, AttemptEnd } from '@hazelford/decisions'

/** Takes an answer in order. Nothing is called before the attempt's `send` returns. */
export interface AnswerReceiver {
  readonly head: (head: AnswerHead) => void
  readonly chunk: (data: Uint8Array) => void
  readonly end: (end: AttemptEnd) => void
}

/** Steers an attempt. */
export interface Attempt {
  /** Asks the sidecar to give it up; its answer tells whether it had begun. */
  readonly withdraw: (reason: 'deadline' | 'caller-gone') => void
  /** So many chunks have gone to the caller. */
  readonly confirm: (received: number) => void
  /** Nothing more is wanted. */
  readonly close: () => void
}

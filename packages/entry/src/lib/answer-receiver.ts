/**
 * Interfaces between a request and its attempts over a channel.
 */
import type { AnswerHead, AttemptEnd } from '@hazelford/decisions'

/** Receives an answer in order. No method is called before the `send` of the attempt has returned. */
export interface AnswerReceiver {
  readonly head: (head: AnswerHead) => void
  readonly chunk: (data: Uint8Array) => void
  readonly end: (end: AttemptEnd) => void
}

/** Controls an attempt. */
export interface Attempt {
  /** Asks the sidecar to withdraw the request; the end frame states whether the request had begun to run. */
  readonly withdraw: (reason: 'deadline' | 'caller-gone') => void
  /** Acknowledges chunks: `received` is the number that have been sent to the caller. */
  readonly confirm: (received: number) => void
  /** Closes the attempt; the receiver is not called any more. */
  readonly close: () => void
}

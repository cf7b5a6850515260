/**
 * Encoding of requests and answers in the platform's headers.
 */
import type { KeyDigest, Ms } from '@hazelford/core'
import type { Result } from 'neverthrow'
import type { UpstreamNotice } from './upstream-notice.js'

/** Credential that a request carries. */
export type Credential =
  | { readonly kind: 'absent' }
  /** More than one credential, or one of an unsupported scheme. */
  | { readonly kind: 'unreadable' }
  | { readonly kind: 'key', readonly digest: KeyDigest }

/** Metadata read from a request's headers. */
export interface CallMetadata {
  /** Unique to this attempt: a caller that repeats a request sends a new id. */
  readonly id: string
  /** Longest time that the caller waits, counted from the request's arrival; undefined when the request declares none. */
  readonly patience: Ms | undefined
  readonly model: string | undefined
  readonly adapter: string | undefined
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Whether the request declares a token count. */
  readonly declaresTokens: boolean
  /** Parts of the prompt from first to last; the last one belongs to this request alone. */
  readonly promptParts: readonly { readonly id: string, readonly tokens: number }[]
  /** Id of the last event received by a caller that resumes a stream. */
  readonly lastEventId: number | undefined
  /** Id of the attempt that brought the first event of the stream which the caller resumes. */
  readonly resumes: string | undefined
}

/** What an entry adds to a request that it forwards to an upstream. */
export interface ForwardContext {
  readonly instance: string
  readonly remaining: Ms
  readonly priority: number
  readonly adapterVersion?: number
  readonly lastEventId?: number
  /** Whether callers authenticate by key. Requests are then forwarded without the caller's key. */
  readonly byKey: boolean
  /** Organisation that the request belongs to. */
  readonly organisation?: string
}

/** Alternating names and values, as in Node's raw headers. */
export type RawHeaders = readonly string[]

/** Metadata read from the head of an upstream's answer. */
export interface AnswerMetadata {
  /** Whether the upstream states that it did not run the request. */
  readonly notRun: boolean
  /** Whether the answer carries the upstream's seal. */
  readonly sealed: boolean
  /** Id of the request that the answer belongs to. */
  readonly requestId: string | undefined
  /** Id of the incarnation that answered; undefined when the answer does not name it. */
  readonly instance: string | undefined
  readonly notice: UpstreamNotice
}

/** Reads and writes the platform's headers. */
export interface CallCodec {
  /**
   * Reads a request's headers.
   *
   * @returns the metadata, or an error message for the caller
   */
  readonly readCall: (headers: RawHeaders) => Result<CallMetadata, string>
  readonly readCredential: (headers: RawHeaders) => Credential
  /** Headers to send to the upstream, without connection-specific ones. */
  readonly forwardHeaders: (headers: RawHeaders, context: ForwardContext) => string[]
  readonly readAnswer: (status: number, headers: RawHeaders) => AnswerMetadata
}

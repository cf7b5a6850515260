/**
 * How requests and answers are spoken on a platform.
 */
import type { KeyDigest, Ms } from '@hazelford/core'
import type { Result } from 'neverthrow'
import type { UpstreamNotice } from './upstream-notice.js'

/** What a request shows to say whose it is. */
export type Credential =
  | { readonly kind: 'absent' }
  /** More than one, or of a scheme that is not understood. */
  | { readonly kind: 'unreadable' }
  | { readonly kind: 'key', readonly digest: KeyDigest }

/** What a request says of itself. */
export interface CallMetadata {
  /** Unique to this attempt of the caller. */
  readonly id: string
  /** How long the caller waits, from its arrival; undefined when it does not say. */
  readonly patience: Ms | undefined
  readonly model: string | undefined
  readonly adapter: string | undefined
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Whether the request names its tokens at all. */
  readonly declaresTokens: boolean
  /** Parts of the prompt in order, the last one the request's own. */
  readonly promptParts: readonly { readonly id: string, readonly tokens: number }[]
  /** Last event that the caller has of a stream it takes up again. */
  readonly lastEventId: number | undefined
}

/** What the system adds to a request on its way to an upstream. */
export interface ForwardContext {
  readonly instance: string
  readonly remaining: Ms
  readonly priority: number
  readonly adapterVersion?: number
  readonly lastEventId?: number
  /** Whether keys say who may send requests; the one of a request is then not passed on. */
  readonly byKey: boolean
  /** Whose request it is. */
  readonly organisation?: string
}

/** Flat list of names and values, as Node reads and writes raw headers. */
export type RawHeaders = readonly string[]

/** What the head of an upstream's answer says. */
export interface AnswerMetadata {
  /** The upstream's own word that the request did not run. */
  readonly notRun: boolean
  /** Whether the answer bears the upstream's seal. */
  readonly sealed: boolean
  /** Id of the request that the answer belongs to. */
  readonly requestId: string | undefined
  /** Incarnation that answered, when it says so. */
  readonly instance: string | undefined
  readonly notice: UpstreamNotice
}

/** Reads and writes the platform's headers. */
export interface CallCodec {
  /**
   * Reads a request's headers.
   *
   * @returns the facts, or a sentence for the caller on what is wrong
   */
  readonly readCall: (headers: RawHeaders) => Result<CallMetadata, string>
  readonly readCredential: (headers: RawHeaders) => Credential
  /** Headers to send to the upstream, without those of one connection. */
  readonly forwardHeaders: (headers: RawHeaders, context: ForwardContext) => string[]
  readonly readAnswer: (status: number, headers: RawHeaders) => AnswerMetadata
}

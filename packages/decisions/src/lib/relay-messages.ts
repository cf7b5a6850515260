/**
 * Messages and effects of the decisions for one request that an entry sends to upstreams directly.
 */
import type { Ms } from '@hazelford/core'
import type { RetryCause } from './shared-retry-budget.js'

/** Why an upstream refused a placed request. After each of them the request certainly did not run. */
export type UpstreamRefusal = 'full' | 'other-instance' | 'adapter-missing'

/**
 * Why no upstream can take a request now.
 *
 * - `upstream-limit`: every upstream has reported a request limit, which is used up.
 * - `upstream-rest`: every upstream has refused this entry and asked it to back off for a while.
 * - `software-gone`: no upstream of the software version that began the stream accepts requests.
 * - `origin-unknown`: the software version that began the stream is not known.
 */
export type UnplacedCause = 'no-upstream' | 'adapter-unavailable' | 'upstream-limit' | 'upstream-rest' | 'software-gone' | 'origin-unknown'

/**
 * What of a request is quarantined, because upstreams terminate while running it.
 *
 * - `quarantined`: the request itself.
 * - `part-quarantined`: a part of its prompt, which other requests have too.
 */
export type QuarantineCause = 'quarantined' | 'part-quarantined'

/** Why an entry gives up a request. Log fields and metrics carry it. */
export type RelayFailure =
  | UnplacedCause | 'refused' | 'attempts-spent' | 'budget-spent'
  | 'lost' | 'timeout-unsent' | 'timeout-sent' | QuarantineCause
  /** The entry stops, and another one can take the request. */
  | 'shutting-down'
  /** The entry's process ends, and the upstream has not answered yet. */
  | 'process-end'
  /** The caller's key was withdrawn while the request waited. */
  | 'key-withdrawn'

/** The upstream of an exchange; without it, the only one that has the request. */
interface FromUpstream { readonly from?: string }

/** An event of a request. */
export type RelayMessage =
  /** An upstream can take the request now. */
  | { readonly kind: 'placed', readonly upstream: string }
  | { readonly kind: 'unplaced', readonly cause: UnplacedCause }
  | { readonly kind: 'refused', readonly refusal: UpstreamRefusal } & FromUpstream
  /** No connection was made, and nothing was sent. */
  | { readonly kind: 'unreachable' } & FromUpstream
  /** The connection broke, or the answer can't be used, after bytes were sent. */
  | { readonly kind: 'lost' } & FromUpstream
  /** A read has no answer by the time when another upstream could still answer it within the route's latency target. */
  | { readonly kind: 'overdue' }
  /** The upstream has been silent for long, but may continue. */
  | { readonly kind: 'stalled' } & FromUpstream
  /** A complete answer has arrived; `failed` when it is an error of the upstream itself. */
  | { readonly kind: 'whole', readonly failed: boolean } & FromUpstream
  /** Bytes of an answer that is passed on as it arrives: its first ones, or the next ones after a silence or while two upstreams have the request. */
  | { readonly kind: 'streaming' } & FromUpstream
  | { readonly kind: 'stream-ended' } & FromUpstream
  | { readonly kind: 'waited' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'caller-gone' }
  /** The entry stops soon: from now on it keeps only requests that may have run. */
  | { readonly kind: 'stopping' }
  /** The entry's process ends now. */
  | { readonly kind: 'process-end' }
  /** The request is quarantined from now on: upstreams terminate while running it. */
  | { readonly kind: 'held', readonly cause: QuarantineCause }

/**
 * Why a second upstream is needed for a request that the first one still has.
 *
 * - `overdue`: the first one may answer late.
 * - `stalled`: the first one may have terminated without closing its connections.
 */
export type LateCause = 'overdue' | 'stalled'

/** What the entry must do. */
export type RelayEffect =
  /** Find an upstream outside `avoid`, or one of `only` if that is given, or use the one named by `retryUpstream`. `beside`: why a second one is needed, while the current one goes on. */
  | { readonly kind: 'place', readonly avoid: ReadonlySet<string>, readonly only?: ReadonlySet<string>, readonly retryUpstream?: string, readonly beside?: LateCause }
  | { readonly kind: 'send', readonly upstream: string }
  /** Send the request to a second upstream, while the first one goes on with it. */
  | { readonly kind: 'send-beside', readonly upstream: string, readonly cause: LateCause }
  /** Close the connection to the named upstream, or to all, so that they stop working on the request. */
  | { readonly kind: 'abandon', readonly upstream?: string }
  | { readonly kind: 'wait', readonly delay: Ms }
  /** Keep the complete answer that has arrived: it is an error, and another upstream may send a better answer. */
  | { readonly kind: 'hold' }
  /** Pass the answer that has arrived to the caller. */
  | { readonly kind: 'deliver' }
  | { readonly kind: 'finish' }
  /** Nothing was sent to the caller: answer with an error. */
  | { readonly kind: 'fail', readonly failure: RelayFailure, readonly notRun: boolean }
  /** Part of the answer was sent to the caller: break the connection, so that the answer can't look complete. */
  | { readonly kind: 'break', readonly failure: RelayFailure }
  | { readonly kind: 'forget' }

/** Properties of a request that decide about retries. */
export interface RelayRequest {
  readonly kind: 'read-only' | 'non-idempotent' | 'stream'
  readonly resumable: boolean
  /** Number of upstreams that the request may be sent to. */
  readonly maxAttempts: number
}

/** Functions that the entry provides to the decisions. */
export interface RelayDeps {
  /** Takes a retry from the service's budget; false when it is spent. */
  readonly takeRetry: (cause: RetryCause) => boolean
  /** Whether the budget leaves a retry. */
  readonly hasRetry: (cause: RetryCause) => boolean
  /** Returns a retry that was taken for a send that reached no upstream. */
  readonly returnRetry: () => void
  /** Whether the caller may still send the request. */
  readonly isAllowed: () => boolean
  /** Why the request is quarantined; undefined when it is not. */
  readonly quarantine: () => QuarantineCause | undefined
}

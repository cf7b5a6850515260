/**
 * The platform's key-value store: conditional transactions, leases and watches.
 */
import type { Ms } from '@hazelford/core'
import type { ResultAsync } from 'neverthrow'

/**
 * An answer of the store.
 *
 * The store may come back from a copy some seconds old. Its era rises by one each time; what was written since the copy is
 * gone, and revisions are given out again.
 */
export interface StoreAnswer {
  /** Era of the store when it answered; 0 for a store that names none. */
  readonly era: number
}

/** A stored value. */
export interface StoreItem {
  readonly key: string
  readonly value: string
  /** Store revision of the last change of this key. */
  readonly revision: number
}

/** A change that a watch reports. */
export type StoreEvent =
  | { readonly kind: 'put', readonly item: StoreItem }
  | { readonly kind: 'removed', readonly key: string, readonly revision: number }

/** Items under a prefix, and the revision from which a watch continues. */
export interface StoreListing extends StoreAnswer {
  readonly items: readonly StoreItem[]
  readonly revision: number
  /** Size of the store's answer in bytes. */
  readonly bytes: number
}

/** Changes after a revision, and the revision from which the next watch continues. */
export interface StoreChanges extends StoreAnswer {
  readonly events: readonly StoreEvent[]
  readonly revision: number
}

/** A write. With lease 0 the key stays until it is removed. */
export interface StorePut {
  readonly key: string
  readonly value: string
  readonly lease: number
}

/** Writes and removals that are applied atomically, if every condition holds. */
export interface StoreTransaction {
  /** Keys with the revision they must have; 0 means that the key must not exist. */
  readonly conditions: readonly { readonly key: string, readonly revision: number }[]
  readonly puts: readonly StorePut[]
  readonly removals: readonly string[]
}

/** Outcome of a transaction to which the store replied. */
export type TransactionOutcome =
  | { readonly kind: 'stored', readonly revision: number } & StoreAnswer
  | { readonly kind: 'conflict' } & StoreAnswer
  | { readonly kind: 'no-lease' } & StoreAnswer

/**
 * Why a call failed.
 *
 * - `not-applied`: the store refused the call; nothing was changed.
 * - `unknown`: no reply was received; the call may have taken effect, or may still do so.
 * - `history-lost`: a watch asked for changes that the store no longer keeps.
 * - `no-lease`: the lease has expired or was ended.
 * - `too-large`: the answer of a watch is larger than the caller accepts.
 */
export interface StoreFailure extends Partial<StoreAnswer> {
  readonly kind: 'not-applied' | 'unknown' | 'history-lost' | 'no-lease' | 'too-large'
  readonly message: string
  /** Bytes of an incomplete answer that were received. */
  readonly bytes?: number
}

/** A lease as granted. */
export interface StoreLease extends StoreAnswer {
  readonly lease: number
  readonly ttl: Ms
}

/** How to read an answer of the store. */
export interface ReadOptions {
  /** Is called whenever a part of a successful answer has arrived. */
  readonly onData?: () => void
}

/** How to read the answer of a watch. */
export interface WatchOptions extends ReadOptions {
  /** A larger answer is not read. */
  readonly maxBytes: number
}

/** Operations of the store. */
export interface Store {
  /** Reads all items under a prefix, linearizably. */
  readonly list: (prefix: string, options?: ReadOptions) => ResultAsync<StoreListing, StoreFailure>
  /** Waits at most `wait` ms until something under the prefix changes after `revision`. */
  readonly watch: (prefix: string, revision: number, wait: Ms, options: WatchOptions) => ResultAsync<StoreChanges, StoreFailure>
  readonly commit: (txn: StoreTransaction) => ResultAsync<TransactionOutcome, StoreFailure>
  readonly grantLease: (ttl: Ms) => ResultAsync<StoreLease, StoreFailure>
  readonly renewLease: (lease: number) => ResultAsync<StoreAnswer, StoreFailure>
  readonly endLease: (lease: number) => ResultAsync<StoreAnswer, StoreFailure>
}

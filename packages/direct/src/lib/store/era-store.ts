/**
 * A store whose revisions are ordered over its eras.
 */
import type { Log, Ms } from '@hazelford/core'
import { eraOf, positionOf, revisionOf, type ReadOptions, type Store, type StoreAnswer, type StoreChanges, type StoreEvent, type StoreFailure, type StoreItem, type StoreLease, type StoreListing, type StoreTransaction, type TransactionOutcome, type WatchOptions } from '@hazelford/ports'
import { err, ok, type Result, ResultAsync } from 'neverthrow'
import { systemKeyPrefix } from '../peers/peer-table.js'

/** Called when an answer shows that the store is in another era than it was known to be. */
export type EraListener = (change: {
  readonly era: number
  /** Whether it is the first answer that this process has received. */
  readonly isFirst: boolean
}) => void

/** Key that shows that hazelford has written in an era. */
function eraKey (era: number): string { return `${systemKeyPrefix}eras/${era}` }

const earlierEra = 'The answer is from an earlier era of the store.'

/**
 * Follows the store over its eras: revisions in answers and conditions are positions (see {@link positionOf}), and answers
 * that arrive late from an earlier era are dropped.
 *
 * A condition names a revision, and in a later era that revision may belong to another value. So each transaction also
 * requires that nobody has written in the next era, and each process marks an era before it writes in it: a transaction
 * that is based on an earlier era, or that the store carries out late, is rejected once the new era has any write of
 * hazelford.
 */
export class EraStore implements Store {
  private _era = 0
  private _hasAnswered = false
  /** Era that this process has marked. */
  private _markedEra = 0
  private _marking: Promise<Result<void, StoreFailure>> | undefined

  constructor (private readonly _store: Store, private readonly _log: Log, private readonly _listener: EraListener) {}

  /** Latest era that an answer has shown. */
  get era (): number { return this._era }

  list (prefix: string, options?: ReadOptions): ResultAsync<StoreListing, StoreFailure> {
    return new ResultAsync(this._list(prefix, options))
  }

  watch (prefix: string, position: number, wait: Ms, options: WatchOptions): ResultAsync<StoreChanges, StoreFailure> {
    return new ResultAsync(this._watch(prefix, position, wait, options))
  }

  commit (txn: StoreTransaction): ResultAsync<TransactionOutcome, StoreFailure> { return new ResultAsync(this._commit(txn)) }

  grantLease (ttl: Ms): ResultAsync<StoreLease, StoreFailure> { return new ResultAsync(this._checked(this._store.grantLease(ttl))) }

  renewLease (lease: number): ResultAsync<StoreAnswer, StoreFailure> { return new ResultAsync(this._checked(this._store.renewLease(lease))) }

  endLease (lease: number): ResultAsync<StoreAnswer, StoreFailure> { return new ResultAsync(this._checked(this._store.endLease(lease))) }

  /** Records the era of an answer; false for an answer of an earlier era than the latest one. */
  private _observe (era: number): boolean {
    if (era < this._era) return false
    const isFirst = !this._hasAnswered
    this._hasAnswered = true
    if (era === this._era) return true
    const before = this._era
    this._era = era
    this._log.warn('store', isFirst ? 'is in a later era.' : 'came back from a copy.', { era, before })
    this._listener({ era, isFirst })
    return true
  }

  /** Drops an answer of an earlier era. */
  private async _checked<T extends StoreAnswer> (call: ResultAsync<T, StoreFailure>): Promise<Result<T, StoreFailure>> {
    const answer = await call
    const era = answer.isOk() ? answer.value.era : answer.error.era
    if (era === undefined || this._observe(era)) return answer
    return err({ kind: 'unknown', message: earlierEra, era })
  }

  private async _list (prefix: string, options: ReadOptions | undefined): Promise<Result<StoreListing, StoreFailure>> {
    const listing = await this._checked(this._store.list(prefix, options))
    return listing.map(({ items, revision, era, bytes }) => ({ items: items.map(item => withPosition(item, era)), revision: positionOf(era, revision), era, bytes }))
  }

  private async _watch (prefix: string, position: number, wait: Ms, options: WatchOptions): Promise<Result<StoreChanges, StoreFailure>> {
    const lost: StoreFailure = { kind: 'history-lost', message: 'The store has come back from a copy since this position.', era: this._era }
    if (eraOf(position) !== this._era) return err(lost)
    const changes = await this._checked(this._store.watch(prefix, revisionOf(position), wait, options))
    if (eraOf(position) !== this._era) return err(lost)
    return changes.map(({ events, revision, era }) => ({ events: events.map(event => eventWithPosition(event, era)), revision: positionOf(era, revision), era }))
  }

  private async _commit (txn: StoreTransaction): Promise<Result<TransactionOutcome, StoreFailure>> {
    if (this._isOutdated(txn)) return ok({ kind: 'conflict', era: this._era })
    const marked = await this._mark()
    if (marked.isErr()) return err(marked.error)
    // The era may have changed while it was marked.
    if (this._isOutdated(txn)) return ok({ kind: 'conflict', era: this._era })
    const outcome = await this._checked(this._store.commit(this._guarded(txn, this._era)))
    return outcome.map(answer => answer.kind === 'stored' ? { ...answer, revision: positionOf(answer.era, answer.revision) } : answer)
  }

  /** Whether a transaction is based on an earlier era. */
  private _isOutdated ({ conditions }: StoreTransaction): boolean { return conditions.some(({ revision }) => revision !== 0 && eraOf(revision) !== this._era) }

  /** The transaction with the store's revisions, to be rejected once hazelford has written in a later era. */
  private _guarded ({ conditions, ...rest }: StoreTransaction, era: number): StoreTransaction {
    return { ...rest, conditions: [...conditions.map(({ key, revision }) => ({ key, revision: revisionOf(revision) })), { key: eraKey(era + 1), revision: 0 }] }
  }

  /** Marks the current era in the store, once for all transactions that wait; era 0 needs no mark. */
  private async _mark (): Promise<Result<void, StoreFailure>> {
    if (this._markedEra === this._era) return ok(undefined)
    this._marking ??= this._writeMark(this._era).finally(() => { this._marking = undefined })
    return await this._marking
  }

  private async _writeMark (era: number): Promise<Result<void, StoreFailure>> {
    const outcome = await this._checked(this._store.commit(this._guarded({ conditions: [], puts: [{ key: eraKey(era), value: '{}', lease: 0 }], removals: [] }, era)))
    if (outcome.isErr()) return err({ ...outcome.error, kind: 'not-applied' })
    if (outcome.value.kind !== 'stored' || outcome.value.era !== era) return err({ kind: 'not-applied', message: 'The store is in a later era.' })
    this._markedEra = era
    return ok(undefined)
  }
}

function withPosition (item: StoreItem, era: number): StoreItem { return { ...item, revision: positionOf(era, item.revision) } }

function eventWithPosition (event: StoreEvent, era: number): StoreEvent {
  return event.kind === 'put' ? { kind: 'put', item: withPosition(event.item, era) } : { ...event, revision: positionOf(era, event.revision) }
}

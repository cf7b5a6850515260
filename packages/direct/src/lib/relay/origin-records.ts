/**
 * Keeps the origins of streams in the store, where they outlive all entries.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { fullJitter } from '@hazelford/decisions'
import type { Store } from '@hazelford/ports'
import type { OriginRow } from './origin-messages.js'
import { decodeOrigins, encodeOrigins, ownOriginsPrefix } from './origin-values.js'
import { type StreamOrigin, StreamOrigins } from './stream-origins.js'

/** What happened to origins of streams on their way to the store; `dropped`: there was no room for them. */
export type OriginOutcome = 'written' | 'dropped'

/** What the records need of their entry. */
export interface OriginRecordsOptions {
  readonly node: string
  /** Differs for each process of the entry. */
  readonly incarnation: string
  readonly clock: Clock
  readonly log: Log
  readonly store: Pick<Store, 'commit' | 'grantLease'>
  /** Number of entries that share the store's rate limit. */
  readonly entryCount: () => number
  /** Whether upstreams of several software versions may have served a service within a time in ms before now. */
  readonly hasSeveralVersions: (service: string, within: Ms) => boolean
  readonly counted: (outcome: OriginOutcome, streams: number) => void
  /** Random numbers from 0 to below 1. */
  readonly random?: () => number
}

/** A stream of this entry that is not in the store. */
interface UnwrittenStream { readonly origin: StreamOrigin, readonly until: Ms }

/** An origin is kept for at most this time, so a version that went before it matters to no caller. */
const longestReturn: Ms = 60_000
/** Streams that begin within this time are written together; those that are delivered within it are not written. */
const batchDelay: Ms = 200
/** Batches that all entries together write in a second at most. The store's limit of writes is shared with leases and claims. */
const batchesPerSecond = 50
/** Time for which a lease is used for new keys. */
const leaseUse: Ms = 15_000
/** Time to live of a lease, which is never renewed: a key written at the end of its use lasts for as long as a caller can come back. */
const leaseTtl: Ms = leaseUse + longestReturn
const retryPause = { base: 300, cap: 2_000 }
/** Characters of the ids in one value. */
const maxBatchLength = 128 * 1024
/** Longer ids are not written. */
const maxIdLength = 256
/** Streams that wait to be written, and those whose keys are to be removed: beyond this number, the oldest ones are dropped and left to their lease. */
const maxStreams = 20_000
/** Keys whose streams are over and that are not removed yet; the others end with their lease. */
const maxRemovable = 1_000
/** Removals in one transaction: the store accepts 32 entries. */
const maxRemovals = 24

/**
 * One entry's part in keeping the origins of streams in the store.
 *
 * Only origins that are known are written, so a record may be missing and is never wrong. Nothing is written while one
 * software version serves.
 */
export class OriginRecords {
  /** Origins in the store. */
  private readonly _stored: StreamOrigins
  private readonly _unwritten = new Map<string, UnwrittenStream>()
  /** The own keys, each with its streams that are not over. */
  private readonly _keys = new Map<string, { readonly streams: Set<string>, readonly until: Ms }>()
  private readonly _keyOf = new Map<string, string>()
  private _removable: string[] = []
  private _lease: { readonly id: number, readonly usedUntil: Ms } | undefined
  private _batch = 0
  private _failures = 0
  private _isScheduled = false
  private _stopped = false

  constructor (private readonly _options: OriginRecordsOptions) { this._stored = new StreamOrigins(_options.clock) }

  stop (): void { this._stopped = true }

  /** Number of streams that wait to be written. */
  get waiting (): number { return this._unwritten.size }

  /** Records a stream of this entry. */
  record (request: string, origin: StreamOrigin, lasts: Ms): void {
    if (request.length > maxIdLength) return this._options.counted('dropped', 1)
    this._unwritten.delete(request)
    this._unwritten.set(request, { origin, until: this._now + lasts })
    this._dropOldest()
    if (this._isNeeded(origin.service)) this._schedule(this._delay)
  }

  /** Forgets a stream whose caller has all of it. */
  forget (request: string): void {
    this._unwritten.delete(request)
    const key = this._keyOf.get(request)
    if (key === undefined) return
    this._keyOf.delete(request)
    const streams = this._keys.get(key)?.streams
    if (streams?.delete(request) === true && streams.size === 0) this._release(key)
  }

  find (request: string): StreamOrigin | undefined { return this._stored.find(request) }

  /** Reads a value in the store. */
  receive (key: string, value: string): void {
    if (key.startsWith(this._ownKeys)) return
    const rows = decodeOrigins(value)
    if (rows === undefined) return this._options.log.info('store', 'origins of streams can not be read.', { key: key.slice(0, maxIdLength) })
    for (const { request, service, software, lasts } of rows) {
      if (request.length <= maxIdLength) this._stored.add(request, { service, software }, Math.min(lasts, longestReturn))
    }
  }

  /** Handles that the store came back from a copy: the number of the lease may have been given to another process since. */
  storeReturned (): void { this._lease = undefined }

  /** Writes streams that began before a second version appeared. */
  upstreamsChanged (): void {
    if (this._isScheduled) return
    const services = new Set<string>()
    for (const { origin: { service } } of this._unwritten.values()) services.add(service)
    if ([...services].some(service => this._isNeeded(service))) this._schedule(this._delay)
  }

  private get _ownKeys (): string { return ownOriginsPrefix(this._options.node, this._options.incarnation) }

  private get _now (): Ms { return this._options.clock.now() }

  private get _delay (): Ms { return Math.max(batchDelay, this._options.entryCount() / batchesPerSecond * 1_000) }

  private _isNeeded (service: string): boolean { return this._options.hasSeveralVersions(service, longestReturn) }

  private _dropOldest (): void {
    let dropped = 0
    for (const [request, { until }] of this._unwritten) {
      if (until > this._now && this._unwritten.size <= maxStreams) break
      if (until > this._now) dropped++
      this._unwritten.delete(request)
    }
    if (dropped > 0) this._options.counted('dropped', dropped)
  }

  private _schedule (delay: Ms): void {
    if (this._isScheduled || this._stopped) return
    this._isScheduled = true
    this._options.clock.after(delay, () => {
      this._write().catch((error: Error) => {
        this._options.log.warn('store', 'origins of streams not written.', { error: error.stack })
        return undefined
      }).then(delay => {
        this._isScheduled = false
        if (delay !== undefined) this._schedule(delay)
      }, () => {})
    })
  }

  /**
   * Writes what waits, as much as one value holds.
   *
   * @returns ms until the next batch; undefined when nothing waits
   */
  private async _write (): Promise<Ms | undefined> {
    if (this._stopped) return undefined
    const readAt = this._now
    const rows = this._nextRows()
    if (rows.length === 0) return undefined
    const lease = await this._leaseInUse()
    if (lease === undefined || this._stopped) return this._retryDelay
    // A write without a reply may be carried out later, so each attempt has a key of its own.
    const key = `${this._ownKeys}${this._batch++}`
    const value = encodeOrigins(rows)
    const removals = this._nextRemovals()
    const outcome = await this._options.store.commit({ conditions: [], puts: [{ key, value, lease }], removals })
    if (outcome.isErr() || outcome.value.kind !== 'stored') {
      if (outcome.isOk() && outcome.value.kind === 'no-lease') this._lease = undefined
      this._options.log.info('store', 'origins of streams not written.', { streams: rows.length, cause: outcome.isErr() ? outcome.error.message : outcome.value.kind })
      return this._retryDelay
    }
    this._failures = 0
    this._removable = this._removable.filter(removable => !removals.includes(removable))
    this._written(key, rows, readAt)
    this._options.counted('written', rows.length)
    this._options.log.info('store', 'origins of streams written.', { key, streams: rows.length, bytes: value.length, versions: new Set(rows.map(({ software }) => software)).size })
    return this._unwritten.size > 0 ? this._delay : undefined
  }

  private get _retryDelay (): Ms {
    this._failures++
    return Math.max(this._delay, fullJitter(this._failures, retryPause, this._options.random ?? Math.random))
  }

  /** The streams of the next value, the oldest first. */
  private _nextRows (): readonly OriginRow[] {
    const now = this._now
    const needed = new Map<string, boolean>()
    const rows: OriginRow[] = []
    let length = 0
    for (const [request, { origin: { service, software }, until }] of this._unwritten) {
      if (until <= now) {
        this._unwritten.delete(request)
        continue
      }
      if (!needed.has(service)) needed.set(service, this._isNeeded(service))
      if (needed.get(service) !== true) continue
      length += request.length
      if (length > maxBatchLength) break
      rows.push({ request, service, software, lasts: Math.ceil(until - now) })
    }
    return rows
  }

  private _nextRemovals (): readonly string[] {
    const now = this._now
    for (const [key, { until }] of this._keys) {
      if (until > now) break
      this._release(key)
    }
    return this._removable.slice(0, maxRemovals)
  }

  private _release (key: string): void {
    for (const request of this._keys.get(key)?.streams ?? []) this._keyOf.delete(request)
    this._keys.delete(key)
    this._removable.push(key)
    if (this._removable.length > maxRemovable) this._removable.shift()
  }

  private async _leaseInUse (): Promise<number | undefined> {
    const now = this._now
    if (this._lease !== undefined && now < this._lease.usedUntil) return this._lease.id
    const granted = await this._options.store.grantLease(leaseTtl)
    if (granted.isErr()) return undefined
    this._lease = { id: granted.value.lease, usedUntil: now + Math.min(leaseUse, granted.value.ttl) }
    return this._lease.id
  }

  /** Handles that a value is in the store. A stream that was delivered meanwhile is over; one that was resumed meanwhile is written again. */
  private _written (key: string, rows: readonly OriginRow[], readAt: Ms): void {
    const streams = new Set<string>()
    let until = readAt
    for (const { request, lasts } of rows) {
      const unwritten = this._unwritten.get(request)
      if (unwritten === undefined) continue
      if (unwritten.until <= readAt + lasts) this._unwritten.delete(request)
      this._moveTo(key, request)
      streams.add(request)
      until = Math.max(until, readAt + lasts)
    }
    this._keys.set(key, { streams, until })
    if (streams.size === 0) this._release(key)
    for (const [oldest, { streams }] of this._keys) {
      if (this._keyOf.size <= maxStreams) break
      for (const request of streams) this._keyOf.delete(request)
      this._keys.delete(oldest)
    }
  }

  /** Records under which key a stream is found; one that was resumed here is written again. */
  private _moveTo (key: string, request: string): void {
    const before = this._keyOf.get(request)
    this._keyOf.set(request, key)
    if (before === undefined) return
    const streams = this._keys.get(before)?.streams
    if (streams?.delete(request) === true && streams.size === 0) this._release(before)
  }
}

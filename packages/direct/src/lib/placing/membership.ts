/**
 * The upstreams that are running, from their records in the store.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { SoftwareHistory } from '@hazelford/decisions'
import { compareStartTimes, type UpstreamRecord } from '@hazelford/ports'
import { Upstream } from './upstream.js'

/**
 * Time after the store's return within which running upstreams write their expired records again (about 2 s), plus a
 * margin for this entry to receive them.
 */
const expiryGrace: Ms = 2_300

/** Number of upstreams that are gone whose last start time is remembered; late records of them arrive within seconds. */
const maxGone = 1_000

/** An upstream that is gone: its record was removed. One whose record has lapsed may come back. */
export interface Departure {
  readonly id: string
  /** Start of the incarnation that is gone; undefined for one that does not report it. */
  readonly startedAt?: number
}

/** How a complete list relates to what was known. */
export interface ListOrigin {
  /** Whether no upstream can have come and gone since the last change or list that was applied. */
  readonly isContinuous: boolean
  /** Whether a record was in the copy from which the store came back, or may have been, and was not written since. */
  readonly isFromCopy?: (id: string) => boolean
}

/** Called when upstreams change. */
export interface MembershipListener {
  /** Number of connections that this entry may open to an upstream of a service. */
  readonly connections: (service: string) => number
  /** A request of this entry at the upstream has ended. */
  readonly requestEnded: (upstream: Upstream) => void
  /** This incarnation is gone, and all state kept for it must be discarded. */
  readonly gone: (upstream: Upstream) => void
  /** An upstream has restarted under its id. */
  readonly restarted: (upstream: Upstream) => void
}

/** Upstreams by id. */
export class Membership {
  /** Software versions that were listed lately. */
  readonly software = new SoftwareHistory()
  private readonly _upstreams = new Map<string, Upstream>()
  /** Records that vanished around an outage of the store, and when their upstreams count as gone. */
  private readonly _expiredRecords = new Map<string, Ms>()
  private _storeLost = false
  private _regainedAt: Ms = -Infinity
  private _known = false

  /** Latest known start time of each upstream, gone ones included. */
  private readonly _starts = new Map<string, number>()
  /** Upstreams that are gone, with the start times of their last incarnations. */
  private readonly _departed = new Map<string, number | undefined>()
  /** Start times of upstreams that have announced that they leave, gone ones included; undefined for one without a start time. */
  private readonly _leaving = new Map<string, number | undefined>()
  /** Revisions of keys whose values can't be read, so that each is logged once. */
  private readonly _unreadable = new Map<string, number>()

  constructor (private readonly _clock: Clock, private readonly _log: Log, private readonly _listener: MembershipListener) {}

  /** Whether a complete list was received. */
  get known (): boolean { return this._known }

  get (id: string): Upstream | undefined { return this._upstreams.get(id) }

  all (): IterableIterator<Upstream> { return this._upstreams.values() }

  /** Upstreams of a service that accept new requests. */
  serving (service: string): readonly Upstream[] {
    return [...this._upstreams.values()].filter(({ record }) => record.service === service && record.state === 'ready')
  }

  /**
   * Applies a complete list.
   *
   * A copy from which the store came back may list upstreams that are gone, by records from before they left. They are not
   * used again unless their records are written again.
   *
   * @returns the number of upstreams that were left out for that reason
   */
  reset (records: readonly UpstreamRecord[], { isContinuous, isFromCopy = () => false }: ListOrigin): number {
    this._known = true
    this.software.recordList(this._clock.now(), isContinuous)
    const present = records.filter(record => !(isFromCopy(record.id) && this._hasDeparted(record)))
    for (const { id } of this._putAll(present)) this.remove(id)
    return records.length - present.length
  }

  /** Upstreams that are gone, for an entry that starts after the store's return from a copy. */
  get departures (): readonly Departure[] { return [...this._departed].map(([id, startedAt]) => ({ id, ...(startedAt === undefined ? {} : { startedAt }) })) }

  /** Applies what a peer knows of upstreams that are gone or leave, and that a copy of the store may list as running. */
  applyDepartures (departures: readonly Departure[], leaving: readonly UpstreamRecord[]): void {
    for (const { id, startedAt } of departures) {
      this._recordDeparture(id, startedAt)
      const known = this._upstreams.get(id)
      if (known !== undefined && known.record.startedAt === startedAt) this._removeUpstream(known, 'gone by a peer\'s view')
    }
    for (const { id, startedAt } of leaving) {
      const known = this._upstreams.get(id)
      if (known !== undefined && known.record.startedAt === startedAt) this.markLeaving(known)
    }
  }

  private _hasDeparted ({ id, startedAt }: UpstreamRecord): boolean { return this._departed.has(id) && this._departed.get(id) === startedAt }

  private _recordDeparture (id: string, startedAt: number | undefined): void {
    this._departed.delete(id)
    this._departed.set(id, startedAt)
    this._forgetOldest(this._departed)
  }

  /** Applies the list of a peer that reads the store; an upstream that the peer no longer lists is gone. */
  follow (records: readonly UpstreamRecord[]): void {
    this.software.recordList(this._clock.now(), false)
    for (const upstream of this._putAll(records)) this._removeUpstream(upstream, 'not known to a peer')
  }

  /** Applies all records of a list and returns the known upstreams that it lacks. */
  private _putAll (records: readonly UpstreamRecord[]): readonly Upstream[] {
    const listed = new Set(records.map(({ id }) => id))
    for (const record of records) this.put(record)
    return [...this._upstreams.values()].filter(({ id }) => !listed.has(id))
  }

  /**
   * Applies a record.
   *
   * An upstream may restart under its id. If it were taken for its former incarnation, it would be sent requests for
   * adapters that are no longer loaded, on broken connections, and would stay excluded for a failure or a drain of that
   * incarnation. A late record of the former incarnation, from a peer or a slow read, would replace the new one.
   */
  put (record: UpstreamRecord): void {
    const known = this._upstreams.get(record.id)
    const order = compareStartTimes(record.startedAt, this._starts.get(record.id))
    if (order === 'earlier') {
      this._log.info('membership', 'record of an earlier incarnation dropped.', { upstream: record.id, startedAt: record.startedAt, known: this._starts.get(record.id) })
      return
    }
    this._expiredRecords.delete(record.id)
    this._unreadable.delete(record.id)
    this._departed.delete(record.id)
    if (known !== undefined && order === 'same') return this._update(known, record)
    if (record.startedAt !== undefined) this._recordStart(record.id, record.startedAt)
    if (known !== undefined) this._removeUpstream(known, 'started again')
    const upstream = new Upstream(record, this._clock, this._listener.connections(record.service), this._listener.requestEnded)
    if (this._leaving.has(record.id) && this._leaving.get(record.id) === record.startedAt) upstream.leave()
    if (record.state === 'draining') this._recordLeaving(record)
    this._upstreams.set(record.id, upstream)
    this.software.recordListed(record.service, record.id, record.software)
    this._log.info('membership', 'upstream seen.', { upstream: record.id, startedAt: record.startedAt, service: record.service, software: record.software, address: `${record.host}:${record.port}`, zone: record.zone, state: upstream.record.state })
    if (known !== undefined) this._listener.restarted(upstream)
  }

  /**
   * Marks an upstream as leaving after its own notice. Its record may expire and come back, and has the state `ready`
   * until the store has received that it leaves.
   */
  markLeaving (upstream: Upstream): void {
    this._recordLeaving(upstream.record)
    upstream.leave()
  }

  private _recordLeaving ({ id, startedAt }: UpstreamRecord): void {
    this._leaving.delete(id)
    this._leaving.set(id, startedAt)
    this._forgetOldest(this._leaving)
  }

  private _update (known: Upstream, record: UpstreamRecord): void {
    if (known.record.state !== record.state) this._log.info('membership', `upstream ${record.state}.`, { upstream: record.id, service: record.service, leavesIn: record.leavesIn })
    if (record.state === 'draining') this._recordLeaving(record)
    if (known.record.software !== record.software) {
      this.software.recordRemoved(known.record.service, record.id, known.record.software, this._clock.now())
      this.software.recordListed(record.service, record.id, record.software)
    }
    known.update(record)
  }

  private _recordStart (id: string, startedAt: number): void {
    this._starts.delete(id)
    this._starts.set(id, startedAt)
    this._forgetOldest(this._starts)
  }

  private _forgetOldest (byUpstream: Map<string, unknown>): void {
    for (const oldest of byUpstream.keys()) {
      if (byUpstream.size <= maxGone) break
      if (!this._upstreams.has(oldest)) byUpstream.delete(oldest)
    }
  }

  /**
   * Handles a record that can't be read. It was written by another process than an upstream, or by an upstream of a
   * version that this entry does not support, so no requests can be sent there.
   */
  unreadable (id: string, revision: number, problem: string): void {
    if (this._unreadable.get(id) !== revision) this._log.warn('membership', 'record can not be read.', { upstream: id, revision, problem })
    this._unreadable.set(id, revision)
    this._forgetOldest(this._unreadable)
    const known = this._upstreams.get(id)
    if (known !== undefined) this._removeUpstream(known, 'record can not be read')
  }

  /**
   * Handles the removal of a record from the store.
   *
   * During an outage of the store, records of running upstreams expire, since they can't be renewed. Removing these
   * upstreams at its return would leave callers without upstreams that serve.
   */
  remove (id: string): void {
    this._unreadable.delete(id)
    const upstream = this._upstreams.get(id)
    if (upstream === undefined) return
    const now = this._clock.now()
    const goneAt = this._storeLost ? Infinity : this._regainedAt + expiryGrace
    if (goneAt > now && upstream.record.state === 'ready') {
      this._expiredRecords.set(id, goneAt)
      if (goneAt !== Infinity) this._clock.after(goneAt - now, () => this._expire())
      return
    }
    this._recordDeparture(id, upstream.record.startedAt)
    this._removeUpstream(upstream, 'record removed')
  }

  storeLost (): void { this._storeLost = true }

  /**
   * Handles that the store came back from a copy: records of upstreams that came since the copy are missing until they are
   * written again.
   */
  storeReturned (): void { this.storeRegained() }

  storeRegained (): void {
    this._storeLost = false
    this._regainedAt = this._clock.now()
    for (const id of this._expiredRecords.keys()) this._expiredRecords.set(id, this._regainedAt + expiryGrace)
    this._clock.after(expiryGrace, () => this._expire())
  }

  private _expire (): void {
    const now = this._clock.now()
    let next: Ms = Infinity
    for (const [id, goneAt] of this._expiredRecords) {
      const upstream = this._upstreams.get(id)
      if (goneAt > now) next = Math.min(next, goneAt)
      else if (upstream !== undefined) this._removeUpstream(upstream, 'lapsed')
    }
    // Timers may fire a little early. Without another timer, a record that is not yet due would stay forever.
    if (next !== Infinity) this._clock.after(Math.max(1, next - now), () => this._expire())
  }

  private _removeUpstream (upstream: Upstream, cause: string): void {
    this._upstreams.delete(upstream.id)
    this.software.recordRemoved(upstream.record.service, upstream.id, upstream.record.software, this._clock.now())
    this._expiredRecords.delete(upstream.id)
    upstream.pool.close()
    this._log.info('membership', 'upstream gone.', { upstream: upstream.id, cause, service: upstream.record.service, outstanding: upstream.outstanding })
    this._listener.gone(upstream)
  }
}

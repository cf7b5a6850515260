/**
 * The upstreams that live, from what they write into the store.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { compareStartTimes, type UpstreamRecord } from '@hazelford/ports'
import { Upstream } from './upstream.js'

/**
 * Time after the store's return within which living upstreams write their lapsed records
 * again (about 2 s), and a little more for our own view of it.
 */
const lapseGrace: Ms = 2_300

/** Upstreams that are gone of which the last start is remembered; late words on them come within seconds. */
const goneKept = 1_000

/** Hears of upstreams. */
export interface MembershipListener {
  /** How many connections this entry may open to an upstream of a service. */
  readonly connections: (service: string) => number
  /** A request of this entry there has ended. */
  readonly requestEnded: (upstream: Upstream) => void
  /** What was known of this incarnation holds no more. */
  readonly gone: (upstream: Upstream) => void
  /** An upstream has started again under its id. */
  readonly restarted: (upstream: Upstream) => void
}

/** Upstreams by id. */
export class Membership {
  private readonly _upstreams = new Map<string, Upstream>()
  /** Records that vanished around an outage of the store, and when they count as gone. */
  private readonly _lapsed = new Map<string, Ms>()
  private _storeLost = false
  private _regainedAt: Ms = -Infinity
  private _known = false

  /** Latest start heard of each upstream, gone ones too. */
  private readonly _starts = new Map<string, number>()
  /** Starts of upstreams that have said that they leave, gone ones too; undefined for one that does not say when it started. */
  private readonly _leaving = new Map<string, number | undefined>()
  /** Revisions of keys whose values can't be read, so that each is told of once. */
  private readonly _unreadable = new Map<string, number>()

  constructor (private readonly _clock: Clock, private readonly _log: Log, private readonly _listener: MembershipListener) {}

  /** Whether a whole list was seen. */
  get known (): boolean { return this._known }

  get (id: string): Upstream | undefined { return this._upstreams.get(id) }

  all (): IterableIterator<Upstream> { return this._upstreams.values() }

  /** Upstreams of a service that take new requests. */
  serving (service: string): readonly Upstream[] {
    return [...this._upstreams.values()].filter(({ record }) => record.service === service && record.state === 'ready')
  }

  /** Takes the whole list. */
  reset (records: readonly UpstreamRecord[]): void {
    this._known = true
    for (const { id } of this._putAll(records)) this.remove(id)
  }

  /** Takes the list of a peer that hears the store; what it has dropped is gone. */
  follow (records: readonly UpstreamRecord[]): void {
    for (const upstream of this._putAll(records)) this._drop(upstream, 'not known to a peer')
  }

  /** Takes all records of a list and gives the upstreams that it lacks. */
  private _putAll (records: readonly UpstreamRecord[]): readonly Upstream[] {
    const listed = new Set(records.map(({ id }) => id))
    for (const record of records) this.put(record)
    return [...this._upstreams.values()].filter(({ id }) => !listed.has(id))
  }

  /**
   * Takes a record.
   *
   * An upstream may start again under its id. Taken for the one before, it would be sent requests for adapters that it lost,
   * on connections that are broken, and stay out for a failure or a drain of its earlier incarnation. A late word of
   * that one, from a peer or a slow read, would undo the new one.
   */
  put (record: UpstreamRecord): void {
    const known = this._upstreams.get(record.id)
    const order = compareStartTimes(record.startedAt, this._starts.get(record.id))
    if (order === 'earlier') {
      this._log.info('membership', 'record of an earlier incarnation dropped.', { upstream: record.id, startedAt: record.startedAt, known: this._starts.get(record.id) })
      return
    }
    this._lapsed.delete(record.id)
    this._unreadable.delete(record.id)
    if (known !== undefined && order === 'same') return this._update(known, record)
    if (record.startedAt !== undefined) this._noteStart(record.id, record.startedAt)
    if (known !== undefined) this._drop(known, 'started again')
    const upstream = new Upstream(record, this._clock, this._listener.connections(record.service), this._listener.requestEnded)
    if (this._leaving.has(record.id) && this._leaving.get(record.id) === record.startedAt) upstream.leave()
    this._upstreams.set(record.id, upstream)
    this._log.info('membership', 'upstream seen.', { upstream: record.id, startedAt: record.startedAt, service: record.service, address: `${record.host}:${record.port}`, zone: record.zone, state: upstream.record.state })
    if (known !== undefined) this._listener.restarted(upstream)
  }

  /** Takes an upstream's own word that it leaves. Its record may lapse and come back, and says ready until the store has taken that word. */
  markLeaving (upstream: Upstream): void {
    const { id, record } = upstream
    this._leaving.delete(id)
    this._leaving.set(id, record.startedAt)
    this._forgetOldest(this._leaving)
    upstream.leave()
  }

  private _update (known: Upstream, record: UpstreamRecord): void {
    if (known.record.state !== record.state) this._log.info('membership', `upstream ${record.state}.`, { upstream: record.id, service: record.service, leavesIn: record.leavesIn })
    known.update(record)
  }

  private _noteStart (id: string, startedAt: number): void {
    this._starts.delete(id)
    this._starts.set(id, startedAt)
    this._forgetOldest(this._starts)
  }

  private _forgetOldest (kept: Map<string, unknown>): void {
    for (const oldest of kept.keys()) {
      if (kept.size <= goneKept) break
      if (!this._upstreams.has(oldest)) kept.delete(oldest)
    }
  }

  /**
   * Takes a record that can't be read. Somebody else has written it, or the upstream is of a version that this one can't
   * serve: there is nothing to send requests to.
   */
  unreadable (id: string, revision: number, problem: string): void {
    if (this._unreadable.get(id) !== revision) this._log.warn('membership', 'record can not be read.', { upstream: id, revision, problem })
    this._unreadable.set(id, revision)
    this._forgetOldest(this._unreadable)
    const known = this._upstreams.get(id)
    if (known !== undefined) this._drop(known, 'record can not be read')
  }

  /**
   * A record is gone from the store.
   *
   * While the store is away, records of living upstreams lapse, since they can't renew
   * them. Dropping these at its return would leave callers without upstreams that serve.
   */
  remove (id: string): void {
    this._unreadable.delete(id)
    const upstream = this._upstreams.get(id)
    if (upstream === undefined) return
    const now = this._clock.now()
    const goneAt = this._storeLost ? Infinity : this._regainedAt + lapseGrace
    if (goneAt > now && upstream.record.state === 'ready') {
      this._lapsed.set(id, goneAt)
      if (goneAt !== Infinity) this._clock.after(goneAt - now, () => this._expire())
      return
    }
    this._drop(upstream, 'record removed')
  }

  storeLost (): void { this._storeLost = true }

  storeRegained (): void {
    this._storeLost = false
    this._regainedAt = this._clock.now()
    for (const id of this._lapsed.keys()) this._lapsed.set(id, this._regainedAt + lapseGrace)
    this._clock.after(lapseGrace, () => this._expire())
  }

  private _expire (): void {
    const now = this._clock.now()
    let next: Ms = Infinity
    for (const [id, goneAt] of this._lapsed) {
      const upstream = this._upstreams.get(id)
      if (goneAt > now) next = Math.min(next, goneAt)
      else if (upstream !== undefined) this._drop(upstream, 'lapsed')
    }
    // Timers may fire a little early; what is left then would otherwise stay for good.
    if (next !== Infinity) this._clock.after(Math.max(1, next - now), () => this._expire())
  }

  private _drop (upstream: Upstream, cause: string): void {
    this._upstreams.delete(upstream.id)
    this._lapsed.delete(upstream.id)
    upstream.pool.close()
    this._log.info('membership', 'upstream gone.', { upstream: upstream.id, cause, service: upstream.record.service, outstanding: upstream.outstanding })
    this._listener.gone(upstream)
  }
}

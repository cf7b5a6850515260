/**
 * The upstreams that live, from what they write into the store.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import type { UpstreamRecord } from '@hazelford/ports'
import { Upstream } from './upstream.js'

/**
 * Time after the store's return within which living upstreams write their lapsed records
 * again (about 2 s), and a little more for our own view of it.
 */
const lapseGrace: Ms = 2_300

/** Tells how many connections this entry may open to an upstream of a service. */
export type ConnectionShare = (service: string) => number

/** Upstreams by id. */
export class Membership {
  private readonly _upstreams = new Map<string, Upstream>()
  /** Records that vanished around an outage of the store, and when they count as gone. */
  private readonly _lapsed = new Map<string, Ms>()
  private _storeLost = false
  private _regainedAt: Ms = -Infinity
  private _known = false

  constructor (private readonly _clock: Clock, private readonly _log: Log, private readonly _share: ConnectionShare, private readonly _adapterFreed: (upstream: Upstream) => void = () => {}) {}

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
    for (const upstream of this._putAll(records)) this._drop(upstream)
  }

  /** Takes all records of a list and gives the upstreams that it lacks. */
  private _putAll (records: readonly UpstreamRecord[]): readonly Upstream[] {
    const listed = new Set(records.map(({ id }) => id))
    for (const record of records) this.put(record)
    return [...this._upstreams.values()].filter(({ id }) => !listed.has(id))
  }

  put (record: UpstreamRecord): void {
    this._lapsed.delete(record.id)
    const known = this._upstreams.get(record.id)
    if (known !== undefined) {
      if (known.record.state !== record.state) this._log.info('membership', `upstream ${record.state}.`, { upstream: record.id, service: record.service, leavesIn: record.leavesIn })
      known.update(record)
      return
    }
    this._upstreams.set(record.id, new Upstream(record, this._clock, this._share(record.service), this._adapterFreed))
    this._log.info('membership', 'upstream seen.', { upstream: record.id, service: record.service, address: `${record.host}:${record.port}`, zone: record.zone, state: record.state })
  }

  /**
   * A record is gone from the store.
   *
   * While the store is away, records of living upstreams lapse, since they can't renew
   * them. Dropping these at its return would leave callers without upstreams that serve.
   */
  remove (id: string): void {
    const upstream = this._upstreams.get(id)
    if (upstream === undefined) return
    const now = this._clock.now()
    const goneAt = this._storeLost ? Infinity : this._regainedAt + lapseGrace
    if (goneAt > now && upstream.record.state === 'ready') {
      this._lapsed.set(id, goneAt)
      if (goneAt !== Infinity) this._clock.after(goneAt - now, () => this._expire())
      return
    }
    this._drop(upstream)
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
      else if (upstream !== undefined) this._drop(upstream)
    }
    // Timers may fire a little early; what is left then would otherwise stay for good.
    if (next !== Infinity) this._clock.after(Math.max(1, next - now), () => this._expire())
  }

  private _drop (upstream: Upstream): void {
    this._upstreams.delete(upstream.id)
    this._lapsed.delete(upstream.id)
    upstream.pool.close()
    this._log.info('membership', 'upstream gone.', { upstream: upstream.id, service: upstream.record.service, outstanding: upstream.outstanding })
  }
}

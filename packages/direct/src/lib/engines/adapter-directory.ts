/**
 * Tracks where adapters are usable, and requests loads of adapters from the engines' holders.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { type AdapterPresence, type RequestedAdapter, requestedAdapterKey } from '@hazelford/decisions'
import type { EngineCoordinator } from './engine-coordinator.js'
import type { LoadRequest, LoadRequestOutcome } from './engine-holder.js'
import { type DigestRow, type LoadDigest, pickDigests, readDigests, toDigestRow } from './load-digest.js'
import type { PeerClient } from '../peers/peer-client.js'
import { PeerSuspects } from '../peers/peer-suspects.js'
import type { PeerTable } from '../peers/peer-table.js'
import type { StreamReport } from './stream-report.js'
import type { Upstream } from '../placing/upstream.js'

/**
 * How long an engine is skipped after the entry listed as its holder answered that it does not hold it. Another entry
 * claims the engine within about this time, and the store then lists the new holder.
 */
const notHeldSkip: Ms = 500

/** Longest wait of one call to a holder. A holder that has crashed is noticed only after this time. */
const requestTimeout: Ms = 400

/** An adapter that a request needs. */
export type EnsureQuery = Omit<LoadRequest, 'answerIn' | 'entry' | 'uses' | 'outstanding' | keyof StreamReport | 'heard'>

interface AdapterReservation { readonly until: Ms, readonly version: number | undefined }

/** The upstreams that are running. */
interface UpstreamSource {
  readonly all: () => Iterable<Upstream>
  readonly get: (id: string) => Upstream | undefined
}

/** Adapter reservations that holders have granted to this entry. */
export class AdapterDirectory {
  private readonly _reservations = new Map<string, Map<string, AdapterReservation>>()
  private readonly _suspects: PeerSuspects
  /** Engines whose listed holder has answered that it does not hold them, and until when they are skipped. */
  private readonly _notHeldUntil = new Map<string, Ms>()

  constructor (
    private readonly _node: string,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _peers: PeerTable,
    private readonly _client: PeerClient,
    private readonly _coordinator: EngineCoordinator,
    private readonly _upstreams: UpstreamSource
  ) {
    this._suspects = new PeerSuspects({
      clock: _clock,
      entries: () => _peers.entries,
      ping: peer => _client.ping(peer),
      cleared: peer => _log.info('peers', 'no longer suspected.', { peer })
    })
  }

  stop (): void { this._suspects.stop() }

  /** Digests of engines' loads as known here, to be sent to another entry. */
  loadDigestRows (): readonly DigestRow[] {
    const own = this._coordinator.loads
    const held = new Set(own.map(({ upstream }) => upstream))
    const others: LoadDigest[] = []
    for (const { id, load } of this._upstreams.all()) if (load !== undefined && !held.has(id)) others.push({ upstream: id, ...load })
    return pickDigests(own, others, Math.random).map(toDigestRow)
  }

  /** Applies another entry's digests of engines' loads. */
  applyLoadDigests (rows: unknown): void { this._applyDigests(readDigests(rows)) }

  private _applyDigests (digests: readonly LoadDigest[]): void {
    for (const { upstream, age, ...load } of digests) this._upstreams.get(upstream)?.recordLoad(load, age)
  }

  /** Applies the current loads of the engines that this entry holds. */
  refreshOwnLoads (): void { this._applyDigests(this._coordinator.loads) }

  /** What is known of an adapter at an upstream. */
  presence (upstream: Upstream, want: RequestedAdapter): AdapterPresence {
    if (this._reservation(upstream.id, want) !== undefined) return 'loaded'
    if (this.canRequestLoad(upstream.id)) return upstream.wasRecentlyLoaded(requestedAdapterKey(want), want.version) ? 'recent' : 'loadable'
    return this._isListed(upstream, want) ? 'loaded' : 'unavailable'
  }

  private _reservation (upstream: string, want: RequestedAdapter): AdapterReservation | undefined {
    const reservation = this._reservations.get(upstream)?.get(requestedAdapterKey(want))
    if (reservation === undefined || reservation.until <= this._clock.now()) return undefined
    return want.version !== undefined && (reservation.version ?? 0) < want.version ? undefined : reservation
  }

  /** Whether the upstream has a holder that can be sent a load request. */
  canRequestLoad (upstream: string): boolean {
    if (this._coordinator.holder(upstream) !== undefined) return true
    if ((this._notHeldUntil.get(upstream) ?? -Infinity) > this._clock.now()) return false
    const holder = this._peers.holder(upstream)
    // An engine that this entry has claimed gets no orders until its former holder has stopped.
    return holder !== undefined && holder.node !== this._node && !this._suspects.has(holder.node)
  }

  /**
   * Whether the upstream has no holder that can be sent a load request, and another entry is about to become its holder: none
   * is listed, or the listed one has answered that it is not the holder. One that does not answer is replaced much later.
   */
  awaitsHolder (upstream: string): boolean {
    const holder = this._peers.holder(upstream)
    return !this.canRequestLoad(upstream) && (holder === undefined || !this._suspects.has(holder.node))
  }

  /** Whether the upstream's own record lists the adapter. Records lag, but stay available through an outage of the store. */
  private _isListed ({ record }: Upstream, want: RequestedAdapter): boolean {
    const model = record.models.find(loaded => loaded.model === want.model)
    if (model === undefined) return false
    if (want.adapter === undefined) return true
    return model.adapters.some(loaded => loaded.adapter === want.adapter && (want.version === undefined || loaded.version >= want.version))
  }

  /** Removes a reservation that the upstream did not keep. */
  removeReservation (upstream: string, want: RequestedAdapter): void { this._reservations.get(upstream)?.delete(requestedAdapterKey(want)) }

  forget (upstream: string): void {
    this._reservations.delete(upstream)
    this._notHeldUntil.delete(upstream)
  }

  /**
   * Makes sure that an adapter is usable at an upstream.
   *
   * @param upstream - where it is needed
   * @param query - the adapter, and the longest wait for it
   * @returns whether the adapter is usable there, and in which version
   */
  async ensure (upstream: Upstream, query: EnsureQuery): Promise<LoadRequestOutcome> {
    if (this.canRequestLoad(upstream.id)) return this._requestFromHolder(upstream, query)
    // No holder can be reached, so the last reservation or the upstream's record has to decide.
    const { want, missing } = query
    const reservation = this._reservation(upstream.id, want)
    if (!missing && reservation !== undefined) return { kind: 'ready', ...reservation }
    return !missing && this._isListed(upstream, want)
      ? { kind: 'ready', until: this._clock.now(), version: want.version }
      : { kind: 'unavailable', cause: 'nobody orders this engine' }
  }

  /**
   * Reports to an engine's holder which adapters this entry still uses there and which streams have ended, when no load
   * request has carried that report lately.
   *
   * An entry without new requests would otherwise keep its last adapters in their slots for seconds after its requests
   * have ended, while requests of other entries wait for the slots; and the holder of a slow engine would learn its speed
   * from streams that ended seconds before.
   */
  async reportUse (upstream: Upstream): Promise<void> {
    const { uses } = upstream
    upstream.markReported()
    const local = this._coordinator.holder(upstream.id)
    const holder = this._peers.holder(upstream.id)
    const { outstanding, endedStreams } = upstream
    if (local !== undefined) local.recordUse(this._node, uses, outstanding, endedStreams.take())
    else if (holder !== undefined && !this._suspects.has(holder.node)) await this._client.reportUse(holder, { upstream: upstream.id, entry: this._node, uses, outstanding, ...endedStreams.take() })
  }

  private async _requestFromHolder (upstream: Upstream, query: EnsureQuery): Promise<LoadRequestOutcome> {
    upstream.markReported()
    // Own fields come first: V8 takes thirty times as long to add them to a spread object.
    const request: LoadRequest = { answerIn: Math.min(query.patience, requestTimeout), entry: this._node, uses: upstream.uses, outstanding: upstream.outstanding, heard: upstream.heard, ...query, ...upstream.endedStreams.take() }
    const outcome = await (this._coordinator.requestLoad(upstream.id, request) ?? this._requestFromPeer(upstream.id, request))
    if (outcome.news !== undefined) upstream.recordRecentLoads(outcome.news)
    if (outcome.kind !== 'coming' && outcome.load !== undefined) upstream.recordLoad(outcome.load, 0)
    if (outcome.kind === 'ready') {
      const reservations = this._reservations.get(upstream.id) ?? new Map<string, AdapterReservation>()
      reservations.set(requestedAdapterKey(query.want), { until: outcome.until, version: outcome.version })
      this._reservations.set(upstream.id, reservations)
    }
    if (outcome.kind === 'unavailable' && outcome.cause === 'not held here') this._notHeldUntil.set(upstream.id, this._clock.now() + notHeldSkip)
    return outcome
  }

  private async _requestFromPeer (upstream: string, request: LoadRequest): Promise<LoadRequestOutcome> {
    const holder = this._peers.holder(upstream)
    if (holder === undefined) return { kind: 'unavailable', cause: 'nobody orders this engine' }
    try {
      const outcome = await this._client.requestLoad(holder, { upstream, ...request, loads: this.loadDigestRows() }, () => this._clock.now())
      this.applyLoadDigests(outcome.loads)
      return outcome
    } catch (error) {
      this._log.info('loads', 'holder does not answer.', { upstream, holder: holder.node, fence: holder.fence, cause: (error as Error).message })
      if (this._suspects.add(holder)) this._log.info('peers', 'suspected.', { peer: holder.node })
      return { kind: 'unavailable', cause: 'its holder does not answer' }
    }
  }
}

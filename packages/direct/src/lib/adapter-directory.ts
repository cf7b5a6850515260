/**
 * Where adapters can be used, and who can get them loaded.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { type AdapterPresence, type RequestedAdapter, requestedAdapterKey } from '@hazelford/decisions'
import type { EngineCoordinator } from './engine-coordinator.js'
import type { LoadRequest, LoadRequestOutcome } from './engine-holder.js'
import { type DigestRow, type LoadDigest, pickDigests, readDigests, toDigestRow } from './load-digest.js'
import type { PeerClient } from './peer-client.js'
import { PeerSuspects } from './peer-suspects.js'
import type { PeerTable } from './peer-table.js'
import type { Upstream } from './upstream.js'

/**
 * How long an engine is left alone after the entry that is listed as its holder said that it
 * does not order it. Another claims it within about this time, and the store tells who.
 */
const notHeldLasts: Ms = 500

/** Longest wait of one call to a holder: a dead one shows no sooner. */
const askLimit: Ms = 400

/** An adapter that a request needs. */
export type EnsureQuery = Omit<LoadRequest, 'answerIn' | 'entry' | 'uses' | 'outstanding' | 'streams' | 'paused' | 'heard'>

interface HeldPromise { readonly until: Ms, readonly version: number | undefined }

/** The upstreams that live. */
interface UpstreamSource {
  readonly all: () => Iterable<Upstream>
  readonly get: (id: string) => Upstream | undefined
}

/** Promises that holders made to this entry. */
export class AdapterDirectory {
  private readonly _promises = new Map<string, Map<string, HeldPromise>>()
  private readonly _suspects: PeerSuspects
  /** Engines whose listed holder has said that it does not order them, and until when that counts. */
  private readonly _notHeld = new Map<string, Ms>()

  constructor (
    private readonly _node: string,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _peers: PeerTable,
    private readonly _client: PeerClient,
    private readonly _desk: EngineCoordinator,
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

  /** What this entry knows of engines' loads, for another one. */
  loadDigestRows (): readonly DigestRow[] {
    const own = this._desk.loads
    const held = new Set(own.map(({ upstream }) => upstream))
    const others: LoadDigest[] = []
    for (const { id, load } of this._upstreams.all()) if (load !== undefined && !held.has(id)) others.push({ upstream: id, ...load })
    return pickDigests(own, others, Math.random).map(toDigestRow)
  }

  /** Takes what another entry knows of engines' loads. */
  applyLoadDigests (rows: unknown): void { this._take(readDigests(rows)) }

  private _take (digests: readonly LoadDigest[]): void {
    for (const { upstream, age, ...load } of digests) this._upstreams.get(upstream)?.recordLoad(load, age)
  }

  /** Counts the loads of the engines that this entry holds anew. */
  refreshOwnLoads (): void { this._take(this._desk.loads) }

  /** What is known of an adapter at an upstream. */
  presence (upstream: Upstream, want: RequestedAdapter): AdapterPresence {
    if (this._promised(upstream.id, want) !== undefined) return 'loaded'
    if (this.canRequestLoad(upstream.id)) return upstream.wasRecentlyLoaded(requestedAdapterKey(want), want.version) ? 'recent' : 'loadable'
    return this._listed(upstream, want) ? 'loaded' : 'unavailable'
  }

  private _promised (upstream: string, want: RequestedAdapter): HeldPromise | undefined {
    const promise = this._promises.get(upstream)?.get(requestedAdapterKey(want))
    if (promise === undefined || promise.until <= this._clock.now()) return undefined
    return want.version !== undefined && (promise.version ?? 0) < want.version ? undefined : promise
  }

  /** Whether somebody can be asked to load an adapter there. */
  canRequestLoad (upstream: string): boolean {
    if (this._desk.holder(upstream) !== undefined) return true
    if ((this._notHeld.get(upstream) ?? -Infinity) > this._clock.now()) return false
    const holder = this._peers.holder(upstream)
    return holder !== undefined && !this._suspects.has(holder.node)
  }

  /** Whether the upstream's own record lists it. Records lag, but stay through an outage of the store. */
  private _listed ({ record }: Upstream, want: RequestedAdapter): boolean {
    const model = record.models.find(held => held.model === want.model)
    if (model === undefined) return false
    if (want.adapter === undefined) return true
    return model.adapters.some(held => held.adapter === want.adapter && (want.version === undefined || held.version >= want.version))
  }

  /** Forgets a promise that the upstream did not keep. */
  broken (upstream: string, want: RequestedAdapter): void { this._promises.get(upstream)?.delete(requestedAdapterKey(want)) }

  forget (upstream: string): void {
    this._promises.delete(upstream)
    this._notHeld.delete(upstream)
  }

  /**
   * Makes sure that an adapter can be used at an upstream.
   *
   * @param upstream - where
   * @param query - the adapter, and how long it is worth waiting
   * @returns the version to expect there
   */
  async ensure (upstream: Upstream, query: EnsureQuery): Promise<LoadRequestOutcome> {
    if (this.canRequestLoad(upstream.id)) return this._askHolder(upstream, query)
    // Nobody can be asked: what was promised or listed last is the best there is.
    const { want, missing } = query
    const promise = this._promised(upstream.id, want)
    if (!missing && promise !== undefined) return { kind: 'ready', ...promise }
    return !missing && this._listed(upstream, want)
      ? { kind: 'ready', until: this._clock.now(), version: want.version }
      : { kind: 'unavailable', cause: 'nobody orders this engine' }
  }

  /**
   * Tells a holder what this entry still uses, when no ask has told it for a while.
   *
   * An entry that falls quiet would otherwise keep its last adapters in their slots for
   * seconds after its requests have ended, and others would wait for them.
   */
  async reportUse (upstream: Upstream): Promise<void> {
    const { uses } = upstream
    upstream.markReported()
    const local = this._desk.holder(upstream.id)
    const holder = this._peers.holder(upstream.id)
    const { outstanding } = upstream
    if (local !== undefined) local.recordUse(this._node, uses, outstanding)
    else if (holder !== undefined && !this._suspects.has(holder.node)) await this._client.reportUse(holder, { upstream: upstream.id, entry: this._node, uses, outstanding })
  }

  private async _askHolder (upstream: Upstream, query: EnsureQuery): Promise<LoadRequestOutcome> {
    upstream.markReported()
    const ask: LoadRequest = { ...query, answerIn: Math.min(query.patience, askLimit), entry: this._node, uses: upstream.uses, outstanding: upstream.outstanding, ...upstream.takeStreamCounts(), heard: upstream.heard }
    const outcome = await (this._desk.requestLoad(upstream.id, ask) ?? this._askPeer(upstream.id, ask))
    if (outcome.news !== undefined) upstream.recordRecentLoads(outcome.news)
    if (outcome.kind !== 'coming' && outcome.load !== undefined) upstream.recordLoad(outcome.load, 0)
    if (outcome.kind === 'ready') {
      const promises = this._promises.get(upstream.id) ?? new Map<string, HeldPromise>()
      promises.set(requestedAdapterKey(query.want), { until: outcome.until, version: outcome.version })
      this._promises.set(upstream.id, promises)
    }
    if (outcome.kind === 'unavailable' && outcome.cause === 'not held here') this._notHeld.set(upstream.id, this._clock.now() + notHeldLasts)
    return outcome
  }

  private async _askPeer (upstream: string, ask: LoadRequest): Promise<LoadRequestOutcome> {
    const holder = this._peers.holder(upstream)
    if (holder === undefined) return { kind: 'unavailable', cause: 'nobody orders this engine' }
    try {
      const outcome = await this._client.requestLoad(holder, { upstream, ...ask, loads: this.loadDigestRows() }, () => this._clock.now())
      this.applyLoadDigests(outcome.loads)
      return outcome
    } catch (error) {
      this._log.info('loads', 'holder does not answer.', { upstream, holder: holder.node, fence: holder.fence, cause: (error as Error).message })
      if (this._suspects.add(holder)) this._log.info('peers', 'suspected.', { peer: holder.node })
      return { kind: 'unavailable', cause: 'its holder does not answer' }
    }
  }
}

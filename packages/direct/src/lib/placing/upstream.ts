/**
 * One incarnation of an upstream, as this entry uses it.
 */
import type { Clock, Ms } from '@hazelford/core'
import { promptTokensPerMs, readSpeed, UpstreamHealth, UpstreamNotices, requestedAdapterKey } from '@hazelford/decisions'
import type { UpstreamRecord } from '@hazelford/ports'
import { ConnectionPool } from '../relay/connection-pool.js'
import type { EngineLoad } from '../engines/engine-admission.js'
import { IncarnationCheck } from '../engines/incarnation-check.js'
import type { RecentLoadsUpdate } from '../engines/recent-loads.js'
import { EndedStreams } from '../engines/stream-report.js'

/**
 * Age from which a report on an upstream's load is no better than a guess: streams take some seconds, so other requests
 * occupy the batch slots by then.
 */
const loadTtl: Ms = 2_000

/** Number of adapters whose copies an engine keeps in its host's memory. */
const recentCapacity = 120

/** What is known of an upstream, and the requests of this entry there. */
export class Upstream {
  readonly health = new UpstreamHealth()
  readonly notices = new UpstreamNotices()
  readonly pool: ConnectionPool
  /** Whether the process behind its address is still this incarnation. */
  readonly incarnation: IncarnationCheck
  /** Number of this entry's open requests at the upstream. */
  outstanding = 0
  private _leavesAt: Ms = Infinity
  private _load: EngineLoad & { readonly at: Ms } | undefined
  /** Prompts sent since the load was counted, and therefore not included in it. */
  private _sends: { readonly at: Ms, readonly tokens: number }[] = []
  private _speed: number | undefined
  private _changedAt: Ms = -Infinity
  private _reportedAt: Ms = -Infinity
  /** Streams of this entry that ended there and were not reported yet. */
  readonly endedStreams = new EndedStreams()
  private readonly _uses = new Map<string, number>()
  /** Versions of adapters that its record or its holder reported as loaded, the latest last. */
  private readonly _recentlyLoaded = new Map<string, number>()
  private _receivedLoads = 0

  /**
   * @param _record - as the upstream wrote it to the store
   * @param _clock - to compute ages
   * @param maxConnections - limit on this entry's connections to the upstream
   * @param _requestEnded - called when a request of this entry at the upstream has ended, or a batch slot was not used
   */
  constructor (private _record: UpstreamRecord, private readonly _clock: Clock, maxConnections: number, private readonly _requestEnded: (upstream: Upstream) => void = () => {}) {
    this.pool = new ConnectionPool(_clock, { host: _record.host, port: _record.port, maxConnections })
    this.incarnation = new IncarnationCheck(_clock, _record.startedAt)
    this._recordLeaving()
    this._recordAdapters()
  }

  /**
   * Applies a report on its load, unless a newer one is known.
   *
   * @param load - as its holder counted
   * @param age - ms since then
   */
  recordLoad ({ running, promptBacklog, speed }: EngineLoad, age: Ms): void {
    const at = this._clock.now() - age
    if (this._load !== undefined && this._load.at >= at) return
    this._load = { running, promptBacklog, at }
    this._speed = readSpeed(speed) ?? this._speed
    this._sends = this._sends.filter(send => send.at > at)
  }

  /** Its load as far as it is known, for another entry. */
  get load (): EngineLoad & { readonly age: Ms } | undefined {
    const load = this._knownLoad
    return load && { running: load.running, promptBacklog: load.promptBacklog, age: Math.round(this._clock.now() - load.at), ...(this._speed === undefined ? {} : { speed: this._speed }) }
  }

  /** Its speed relative to the other engines of its service, as its holder reported it last; 1 is the median, and that of an engine without a report. */
  get speed (): number { return this._speed ?? 1 }

  /** Its speed as reported; undefined without a report. */
  get reportedSpeed (): number | undefined { return this._speed }

  private get _knownLoad (): (EngineLoad & { readonly at: Ms }) | undefined {
    return this._load !== undefined && this._clock.now() - this._load.at < loadTtl ? this._load : undefined
  }

  /** Number of requests that all entries have at the upstream; undefined without a fresh report. */
  get running (): number | undefined {
    const load = this._knownLoad
    return load === undefined ? undefined : Math.max(this.outstanding, load.running + this._sends.length)
  }

  /** Prompt tokens that it has yet to read, as far as is known. */
  get promptBacklog (): number {
    const load = this._knownLoad
    if (load === undefined) return 0
    const sent = this._sends.reduce((sum, { tokens }) => sum + tokens, 0)
    return Math.max(0, load.promptBacklog + sent - (this._clock.now() - load.at) * promptTokensPerMs * this.speed)
  }

  /** Records a prompt that is being sent to the upstream. */
  recordPrompt (tokens: number): void {
    const at = this._clock.now()
    this._sends = this._sends.filter(send => at - send.at < loadTtl)
    this._sends.push({ at, tokens })
  }

  /** Adapters that open requests of this entry use, as `model/adapter`. */
  get uses (): readonly string[] { return [...this._uses.keys()] }

  /**
   * Records a request that is sent to the upstream.
   *
   * @param adapter - `model/adapter`, if it uses one
   * @returns a function that records the end of the request
   */
  open (adapter: string | undefined): () => void {
    this.outstanding++
    if (adapter !== undefined) this._uses.set(adapter, (this._uses.get(adapter) ?? 0) + 1)
    let isOpen = true
    return () => {
      if (!isOpen) return
      isOpen = false
      this.outstanding--
      this._recordUseChange()
      if (adapter === undefined) return
      const left = (this._uses.get(adapter) ?? 1) - 1
      if (left > 0) this._uses.set(adapter, left)
      else this._uses.delete(adapter)
    }
  }

  /** Records that a batch slot which the holder granted to a request of this entry was not used. */
  recordUnusedSlot (): void { this._recordUseChange() }

  private _recordUseChange (): void {
    this._changedAt = this._clock.now()
    this._requestEnded(this)
  }

  /** Whether a request ended since this entry's use was last reported to the holder. */
  get hasUnreportedUse (): boolean { return this._changedAt > this._reportedAt }

  /** Records that this entry's use is being reported to the holder. */
  markReported (): void { this._reportedAt = this._clock.now() }

  get record (): UpstreamRecord { return this._record }
  get id (): string { return this._record.id }

  /** When the upstream will be gone, if it has announced a time; infinite otherwise. */
  get leavesAt (): Ms { return this._leavesAt }

  /** Applies the upstream's own notice that it leaves, which may not be in the store yet. */
  leave (): void {
    this.notices.recordLeaving()
    this._record = { ...this._record, state: 'draining' }
  }

  update (record: UpstreamRecord): void {
    // An incarnation that leaves never comes back; a late record must not undo that.
    this._record = this._record.state === 'draining' ? { ...record, state: 'draining' } : record
    this._recordLeaving()
    this._recordAdapters()
  }

  /** Number of the engine's recent loads that this entry has received; see {@link RecentLoadsUpdate}. */
  get heard (): number { return this._receivedLoads }

  /** Applies its holder's report on loads that its record may not show. */
  recordRecentLoads ({ heard, loads }: RecentLoadsUpdate): void {
    this._receivedLoads = heard
    for (const { key, version } of loads) this._recordLoaded(key, version)
    this._forgetOldest()
  }

  private _recordLoaded (key: string, version: number): void {
    const newest = Math.max(version, this._recentlyLoaded.get(key) ?? 0)
    this._recentlyLoaded.delete(key)
    this._recentlyLoaded.set(key, newest)
  }

  /** Whether it had an adapter loaded lately, by its record or its holder's report: loading it again reads a copy in the host's memory. */
  wasRecentlyLoaded (adapter: string, version: number | undefined): boolean {
    const loadedVersion = this._recentlyLoaded.get(adapter)
    return loadedVersion !== undefined && loadedVersion >= (version ?? 0)
  }

  private _recordAdapters (): void {
    for (const { model, adapters } of this._record.models) {
      for (const { adapter, version } of adapters) {
        this._recordLoaded(requestedAdapterKey({ model, adapter }), version)
      }
    }
    this._forgetOldest()
  }

  private _forgetOldest (): void {
    for (const oldest of this._recentlyLoaded.keys()) {
      if (this._recentlyLoaded.size <= recentCapacity) break
      this._recentlyLoaded.delete(oldest)
    }
  }

  private _recordLeaving (): void {
    const { leavesIn } = this._record
    if (leavesIn !== undefined && this._leavesAt === Infinity) this._leavesAt = this._clock.now() + leavesIn
  }
}

/**
 * One incarnation of an upstream, as this entry uses it.
 */
import type { Clock, Ms } from '@hazelford/core'
import { promptTokensPerMs, UpstreamHealth, UpstreamNotices, requestedAdapterKey } from '@hazelford/decisions'
import type { UpstreamRecord } from '@hazelford/ports'
import { ConnectionPool } from './connection-pool.js'
import type { EngineLoad } from './engine-admission.js'
import type { RecentLoadsUpdate } from './recent-loads.js'

/** Age at which a word on its load is no better than a guess: streams of some seconds then fill other places. */
const loadLasts: Ms = 2_000

/** Adapters whose copies an engine keeps in its host's memory. */
const recentCapacity = 120

/** What is known of an upstream, and what this entry has there. */
export class Upstream {
  readonly health = new UpstreamHealth()
  readonly notices = new UpstreamNotices()
  readonly pool: ConnectionPool
  /** Requests of this entry there. */
  outstanding = 0
  private _leavesAt: Ms = Infinity
  private _load: EngineLoad & { readonly at: Ms } | undefined
  /** Prompts sent since its load was counted, which does not have them. */
  private _sends: { readonly at: Ms, readonly tokens: number }[] = []
  private _changedAt: Ms = -Infinity
  private _toldAt: Ms = -Infinity
  private _streams = 0
  private _paused = 0
  private readonly _uses = new Map<string, number>()
  /** Versions of adapters that it or its holder said it held, the latest last. */
  private readonly _recent = new Map<string, number>()
  private _heard = 0

  /**
   * @param _record - what it says of itself
   * @param _clock - for ages
   * @param maxConnections - of this entry
   * @param _requestEnded - hears when a request of this entry there has ended, or a place was not used
   */
  constructor (private _record: UpstreamRecord, private readonly _clock: Clock, maxConnections: number, private readonly _requestEnded: (upstream: Upstream) => void = () => {}) {
    this.pool = new ConnectionPool(_clock, { host: _record.host, port: _record.port, maxConnections })
    this._noteLeaving()
    this._noteAdapters()
  }

  /**
   * Takes a word on its load, unless a newer one is known.
   *
   * @param load - as its holder counted
   * @param age - ms since then
   */
  recordLoad ({ running, promptBacklog }: EngineLoad, age: Ms): void {
    const at = this._clock.now() - age
    if (this._load !== undefined && this._load.at >= at) return
    this._load = { running, promptBacklog, at }
    this._sends = this._sends.filter(send => send.at > at)
  }

  /** Its load as far as is known, for another entry. */
  get load (): EngineLoad & { readonly age: Ms } | undefined {
    const load = this._knownLoad
    return load && { running: load.running, promptBacklog: load.promptBacklog, age: Math.round(this._clock.now() - load.at) }
  }

  private get _knownLoad (): (EngineLoad & { readonly at: Ms }) | undefined {
    return this._load !== undefined && this._clock.now() - this._load.at < loadLasts ? this._load : undefined
  }

  /** Requests that all entries have there; undefined when no word is young enough. */
  get running (): number | undefined {
    const load = this._knownLoad
    return load === undefined ? undefined : Math.max(this.outstanding, load.running + this._sends.length)
  }

  /** Prompt tokens that it has yet to read, as far as is known. */
  get promptBacklog (): number {
    const load = this._knownLoad
    if (load === undefined) return 0
    const sent = this._sends.reduce((sum, { tokens }) => sum + tokens, 0)
    return Math.max(0, load.promptBacklog + sent - (this._clock.now() - load.at) * promptTokensPerMs)
  }

  /** Notes a prompt on its way there. */
  recordPrompt (tokens: number): void {
    const at = this._clock.now()
    this._sends = this._sends.filter(send => at - send.at < loadLasts)
    this._sends.push({ at, tokens })
  }

  /** Notes how a stream there went. */
  recordStream (paused: boolean): void {
    this._streams++
    if (paused) this._paused++
  }

  /** Streams ended since the last call. */
  takeStreamCounts (): { readonly streams: number, readonly paused: number } {
    const taken = { streams: this._streams, paused: this._paused }
    this._streams = 0
    this._paused = 0
    return taken
  }

  /** Adapters that open requests of this entry use, as `model/adapter`. */
  get uses (): readonly string[] { return [...this._uses.keys()] }

  /**
   * Notes a request there.
   *
   * @param adapter - `model/adapter`, if it uses one
   * @returns notes its end
   */
  open (adapter: string | undefined): () => void {
    this.outstanding++
    if (adapter !== undefined) this._uses.set(adapter, (this._uses.get(adapter) ?? 0) + 1)
    let isOpen = true
    return () => {
      if (!isOpen) return
      isOpen = false
      this.outstanding--
      this._oweWord()
      if (adapter === undefined) return
      const left = (this._uses.get(adapter) ?? 1) - 1
      if (left > 0) this._uses.set(adapter, left)
      else this._uses.delete(adapter)
    }
  }

  /** Notes that a place which its holder gave to a request of this entry was not used. */
  recordUnusedSlot (): void { this._oweWord() }

  private _oweWord (): void {
    this._changedAt = this._clock.now()
    this._requestEnded(this)
  }

  /** Whether a request ended since its holder was last told what is in use. */
  get hasUnreportedUse (): boolean { return this._changedAt > this._toldAt }

  /** Notes that its holder is being told what is in use. */
  markReported (): void { this._toldAt = this._clock.now() }

  get record (): UpstreamRecord { return this._record }
  get id (): string { return this._record.id }

  /** When it is gone, if it was told to leave at short notice. */
  get leavesAt (): Ms { return this._leavesAt }

  /** Takes its own word that it leaves, which the store may not have yet. */
  leave (): void {
    this.notices.recordLeaving()
    this._record = { ...this._record, state: 'draining' }
  }

  update (record: UpstreamRecord): void {
    // An incarnation that leaves never comes back; a late word must not undo it.
    this._record = this._record.state === 'draining' ? { ...record, state: 'draining' } : record
    this._noteLeaving()
    this._noteAdapters()
  }

  /** What this entry has heard of its loads. */
  get heard (): number { return this._heard }

  /** Takes its holder's word on loads that its record may not show. */
  recordRecentLoads ({ heard, loads }: RecentLoadsUpdate): void {
    this._heard = heard
    for (const { key, version } of loads) this._noteHeld(key, version)
    this._forgetOldest()
  }

  private _noteHeld (key: string, version: number): void {
    const newest = Math.max(version, this._recent.get(key) ?? 0)
    this._recent.delete(key)
    this._recent.set(key, newest)
  }

  /** Whether it held an adapter lately, as far as its record or its holder said: a load of it reads a copy in the host's memory. */
  wasRecentlyLoaded (adapter: string, version: number | undefined): boolean {
    const held = this._recent.get(adapter)
    return held !== undefined && held >= (version ?? 0)
  }

  private _noteAdapters (): void {
    for (const { model, adapters } of this._record.models) {
      for (const { adapter, version } of adapters) {
        this._noteHeld(requestedAdapterKey({ model, adapter }), version)
      }
    }
    this._forgetOldest()
  }

  private _forgetOldest (): void {
    for (const oldest of this._recent.keys()) {
      if (this._recent.size <= recentCapacity) break
      this._recent.delete(oldest)
    }
  }

  private _noteLeaving (): void {
    const { leavesIn } = this._record
    if (leavesIn !== undefined && this._leavesAt === Infinity) this._leavesAt = this._clock.now() + leavesIn
  }
}

/**
 * Finds the upstream for a request: ranks the candidates and gets the adapter there.
 */
import { type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import { type AdapterWant, DecayedCounter, type PlacementCandidate, rankCandidates, rendezvousOrder, replicasFor, Smoothed } from '@hazelford/decisions'
import type { AdapterDirectory, EnsureQuery } from './adapter-directory.js'
import type { UnavailableCause } from './engine-holder.js'
import type { Membership } from './membership.js'
import type { Upstream } from './upstream.js'

/** What is to be placed. */
export interface PlaceQuery {
  readonly service: string
  readonly want: AdapterWant | undefined
  readonly urgency: number
  readonly avoid: ReadonlySet<string>
  /** The upstream that refused for lack of the adapter, to be asked again. */
  readonly again?: string
  /** Ms that may be spent on waiting for an adapter. */
  readonly patience: Ms
  /** The request's prompt, and when its first event is due. */
  readonly prompt: { readonly request: string, readonly tokens: number, readonly dueAt: Ms }
  /** Whether nobody waits for it any more. */
  readonly cancelled: () => boolean
}

/** What a request waited for before it could be sent. */
export interface PlaceWaits {
  /** Ms until its adapter was there: for a slot and for the load. */
  readonly adapter: Ms
  /** Ms until the engine could read its prompt. */
  readonly door: Ms
}

/** Where a request can go. */
export type Placed =
  | { readonly kind: 'placed', readonly upstream: Upstream, readonly version: number | undefined, readonly waits?: PlaceWaits }
  | { readonly kind: 'unplaced', readonly cause: 'no-upstream' | 'adapter-unavailable' }

/** Upstreams with every slot in use at which an adapter is asked for before a request stands in line. */
const maxOccupied = 3
/** Upstreams tried at all, with those that nobody orders now. */
const maxTried = 8
/** An engine's first events are late for many reasons that pass; a lasting difference still counts. */
const engineLatencyShare = 0.5
/** Pause after an answer that came at once, so that a line is no busy loop. */
const linePause: Ms = 100
/** Time in which a change of demand shows in the number of homes. */
const popularityHalfLife: Ms = 5_000
/** Share of each new stay in the mean: some thirty requests tell. */
const stayWeight = 0.05
/** Requests seen before shares mean anything. */
const minSeen = 20
/** An upstream that is told to leave within this time gets nothing that lasts. */
const leavingMargin: Ms = 100

/** An upstream at which a request may stand in line, and how many adapters wait there already. */
interface Line { readonly upstream: Upstream, readonly length: number }

/** What came of asking one upstream for an adapter. */
type Attempt =
  | Placed & { readonly kind: 'placed' }
  /** `cause`: what its holder said; undefined when the request has no time left or the upstream leaves. */
  | { readonly kind: 'not-there', readonly cause?: UnavailableCause, readonly line: number }

/** Whether a request that waits there has its turn one day. */
function isLine (cause: UnavailableCause | undefined): boolean { return cause !== undefined && cause !== 'the engine does not answer' }

/** Places requests of one entry. */
export class Placer {
  private readonly _seen = new DecayedCounter(popularityHalfLife, 20_000)
  private readonly _stays = new Map<string, Smoothed>()
  private _orders = new Map<string, ReadonlyMap<string, number>>()
  private _ordersOf = ''

  constructor (
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _zone: string,
    private readonly _members: Membership,
    private readonly _directory: AdapterDirectory,
    private readonly _entries: () => number,
    /** Adapters that an engine of a service holds at once. */
    private readonly _adapterSlots: (service: string) => number
  ) {}

  /** Counts a request for the adapter's popularity. */
  count (service: string, want: AdapterWant | undefined): void {
    const now = this._clock.now()
    this._seen.add(service, now)
    if (want !== undefined) this._seen.add(`${service} ${want.model}/${want.adapter ?? ''}`, now)
  }

  /** Notes how long a request of a service stayed at its upstream. */
  noteStay (service: string, stay: Ms): void {
    const known = this._stays.get(service) ?? new Smoothed(stay, stayWeight)
    known.add(stay)
    this._stays.set(service, known)
  }

  /** Ms that a request of a service stays at its upstream; 0 when none has ended. */
  stay (service: string): Ms { return this._stays.get(service)?.value ?? 0 }

  async place (query: PlaceQuery): Promise<Placed> {
    const ranked = this._ranked(query)
    if (ranked.length === 0) return { kind: 'unplaced', cause: 'no-upstream' }
    if (query.want === undefined) return { kind: 'placed', upstream: ranked[0]!, version: undefined }
    return this._placeAdapter(query, query.want, ranked.slice(0, maxTried))
  }

  /** Takes the first candidate that can have the adapter, else stands in line at the best. */
  private async _placeAdapter (query: PlaceQuery, want: AdapterWant, candidates: readonly Upstream[]): Promise<Placed> {
    const startedAt = this._clock.now()
    const placed = await this._placeAtOne(query, want, candidates)
    if (placed.kind === 'unplaced') return placed
    const door = placed.waits?.door ?? 0
    return { ...placed, waits: { adapter: this._clock.now() - startedAt - door, door } }
  }

  private async _placeAtOne (query: PlaceQuery, want: AdapterWant, candidates: readonly Upstream[]): Promise<Placed> {
    const until = this._clock.now() + query.patience
    const lines: Line[] = []
    const causes: Partial<Record<UnavailableCause, number>> = {}
    for (const upstream of candidates) {
      if (lines.length >= maxOccupied) break
      const attempt = await this._await(upstream, query, { want, urgency: query.urgency, missing: query.again === upstream.id, mayWait: false, repeated: query.again === upstream.id }, until)
      if (attempt.kind === 'placed') return attempt
      if (attempt.cause !== undefined) causes[attempt.cause] = (causes[attempt.cause] ?? 0) + 1
      if (isLine(attempt.cause) && this._directory.canOrder(upstream.id)) lines.push({ upstream, length: attempt.line })
    }
    lines.sort((a, b) => a.length - b.length)
    this._log.info('request', 'adapter not to be had.', { request: query.prompt.request, ...want, causes, standsAt: lines[0]?.upstream.id, ahead: lines[0]?.length, left: Math.round(until - this._clock.now()) })
    for (let turn = 0; until > this._clock.now() && !query.cancelled(); turn++) {
      // Where nobody can order now, a line would stand for nothing.
      const open = lines.filter(({ upstream }) => this._isOpen(upstream) && this._directory.canOrder(upstream.id))
      if (open.length === 0) break
      const attempt = await this._await(open[turn % open.length]!.upstream, query, { want, urgency: query.urgency, missing: false, mayWait: true, repeated: true }, until)
      if (attempt.kind === 'placed') return attempt
      await sleep(this._clock, linePause)
    }
    return { kind: 'unplaced', cause: 'adapter-unavailable' }
  }

  /**
   * Waits for an adapter at one upstream while it is on its way there. Asking elsewhere
   * meanwhile would load it twice, and both loads would share the weight store's rate.
   */
  private async _await (upstream: Upstream, query: PlaceQuery, ask: Omit<EnsureQuery, 'patience' | 'prompt'>, until: Ms): Promise<Attempt> {
    let { missing, repeated } = ask
    const { request, tokens, dueAt } = query.prompt
    let door = 0
    for (;;) {
      const patience = until - this._clock.now()
      if (patience <= 0 || query.cancelled() || !this._isOpen(upstream)) return { kind: 'not-there', line: 0 }
      const prompt = { request, tokens, dueIn: dueAt - this._clock.now() }
      const outcome = await this._directory.ensure(upstream, { ...ask, missing, repeated, patience, prompt })
      if (outcome.kind === 'unavailable') return { kind: 'not-there', cause: outcome.cause, line: outcome.line ?? 0 }
      door += outcome.atDoor ?? 0
      // It may have said that it leaves while the request waited.
      if (outcome.kind === 'ready') return this._isOpen(upstream) ? { kind: 'placed', upstream, version: outcome.version, waits: { adapter: 0, door } } : { kind: 'not-there', line: 0 }
      missing = false
      repeated = true
    }
  }

  /** Whether an upstream still takes new requests. */
  private _isOpen (upstream: Upstream): boolean {
    return this._members.get(upstream.id) === upstream && upstream.record.state === 'ready' &&
      upstream.leavesAt > this._clock.now() + leavingMargin
  }

  private _ranked (query: PlaceQuery): readonly Upstream[] {
    const again = query.again === undefined ? undefined : this._members.get(query.again)
    // The upstream that lacked the adapter goes first: it is on its way there.
    const first = again !== undefined && this._isOpen(again) ? [again] : []
    return [...first, ...this._rankedOthers(query)]
  }

  private _rankedOthers (query: PlaceQuery): readonly Upstream[] {
    const now = this._clock.now()
    const serving = this._members.serving(query.service)
      .filter(upstream => !query.avoid.has(upstream.id) && this._isOpen(upstream) && upstream.pool.hasRoom)
    const healthy = serving.filter(upstream => upstream.health.accepts(now))
    const open = healthy.length > 0 ? healthy : serving
    const holding = query.want === undefined ? open : this._withModel(open, query.want.model)
    return this._rank(query, holding.length > 0 ? holding : open)
  }

  /** Engines that have the model; loading one takes longer than any caller waits. */
  private _withModel (upstreams: readonly Upstream[], model: string): readonly Upstream[] {
    return upstreams.filter(({ record }) => record.models.some(held => held.model === model))
  }

  private _rank (query: PlaceQuery, upstreams: readonly Upstream[]): readonly Upstream[] {
    const { want } = query
    const entries = this._entries()
    const ranks = want?.adapter === undefined ? undefined : this._rankOf(`${want.model}/${want.adapter}`, upstreams)
    const running = this._loadGuess(upstreams, want, entries)
    const candidates = upstreams.map((upstream): PlacementCandidate & { readonly upstream: Upstream } => ({
      upstream,
      id: upstream.id,
      sameZone: upstream.record.zone === this._zone,
      running: running(upstream),
      promptBacklog: upstream.promptBacklog,
      slots: upstream.record.slots,
      latency: upstream.health.latency * (want === undefined ? 1 : engineLatencyShare),
      failureShare: upstream.health.failureShare,
      adapter: want === undefined ? 'loaded' : this._directory.presence(upstream, want),
      rank: ranks?.get(upstream.id) ?? 0
    }))
    const context = {
      replicas: want === undefined ? 1 : this._replicas(query.service, want, upstreams.length),
      stay: this.stay(query.service)
    }
    return rankCandidates(candidates, context).map(candidate => (candidate as typeof candidates[number]).upstream)
  }

  /**
   * Tells how many requests an upstream has. Of an engine without a young word, that it has as many as the others: an entry of
   * many sends there too seldom for its own count to say anything. Plain services have no holder that counts.
   */
  private _loadGuess (upstreams: readonly Upstream[], want: AdapterWant | undefined, entries: number): (upstream: Upstream) => number {
    if (want === undefined) return upstream => upstream.outstanding * entries
    this._directory.countOwnLoads()
    const known = upstreams.flatMap(({ running }) => running ?? [])
    const mean = known.length === 0 ? undefined : known.reduce((sum, each) => sum + each, 0) / known.length
    return upstream => upstream.running ?? Math.max(upstream.outstanding, mean ?? upstream.outstanding * entries)
  }

  private _replicas (service: string, want: AdapterWant, upstreams: number): number {
    const now = this._clock.now()
    const total = this._seen.read(service, now)
    if (want.adapter === undefined) return upstreams
    if (total < minSeen) return 1
    return replicasFor(this._seen.read(`${service} ${want.model}/${want.adapter}`, now) / total, upstreams, this._adapterSlots(service))
  }

  /** Rendezvous order of an adapter; kept until the upstreams change. */
  private _rankOf (adapter: string, upstreams: readonly Upstream[]): ReadonlyMap<string, number> {
    const ids = upstreams.map(({ id }) => id)
    const joined = ids.join()
    if (joined !== this._ordersOf) {
      this._orders = new Map()
      this._ordersOf = joined
    }
    const known = this._orders.get(adapter)
    if (known !== undefined) return known
    const ranks = new Map(rendezvousOrder(adapter, ids).map((id, rank) => [id, rank]))
    this._orders.set(adapter, ranks)
    return ranks
  }
}

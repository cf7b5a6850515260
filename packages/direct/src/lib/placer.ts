/**
 * Finds the upstream for a request: ranks the candidates and gets the adapter there.
 */
import { type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import { type RequestedAdapter, DecayedCounter, type PlacementCandidate, rankCandidates, rendezvousOrder, replicasFor, MovingAverage, type UnplacedCause } from '@hazelford/decisions'
import type { AdapterDirectory, EnsureQuery } from './adapter-directory.js'
import type { UnavailableCause } from './engine-holder.js'
import type { Membership } from './membership.js'
import type { Upstream } from './upstream.js'
import type { Admission } from './credit-queue.js'

/** What is to be placed. */
export interface PlaceQuery {
  readonly service: string
  readonly want: RequestedAdapter | undefined
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
  readonly admissionWait: Ms
}

/** Where a request can go. */
export type Placed =
  /** `refund` gives back what was taken of the upstream's limit, when nothing has reached it. */
  | { readonly kind: 'placed', readonly upstream: Upstream, readonly version: number | undefined, readonly waits?: PlaceWaits, readonly refund: () => void }
  /** `retryAfter`: ms until a place can be expected, where that is known. */
  | { readonly kind: 'unplaced', readonly cause: UnplacedCause, readonly retryAfter?: Ms }

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
/** Callers who were refused during a rest come back over this time. */
const restSpread: Ms = 400
/** An upstream that is told to leave within this time gets nothing that lasts. */
const leavingMargin: Ms = 100

/** An upstream at which a request may stand in line, and how many adapters wait there already. */
interface Line { readonly upstream: Upstream, readonly length: number }

/** What came of asking one upstream for an adapter. */
type AdapterAttempt =
  | Omit<Placed & { readonly kind: 'placed' }, 'refund'>
  /** `cause`: what its holder said; undefined when the request has no time left or the upstream leaves. */
  | { readonly kind: 'not-there', readonly cause?: UnavailableCause, readonly line: number }

/** The same, where the upstream may name a limit. */
type Attempt =
  | Placed & { readonly kind: 'placed' }
  | AdapterAttempt & { readonly kind: 'not-there' }
  | Admission & { readonly kind: 'over-limit' }

/** What a placer needs of its entry. */
export interface PlacerOptions {
  readonly clock: Clock
  readonly log: Log
  /** Of the entry. */
  readonly zone: string
  readonly members: Membership
  readonly directory: AdapterDirectory
  /** Entries that live. */
  readonly entries: () => number
  /** Adapters that an engine of a service holds at once. */
  readonly adapterSlots: (service: string) => number
  /** Takes one request of what an upstream takes; at once where it names no limit. */
  readonly admit: (upstream: Upstream) => Admission | Promise<Admission>
}

/** Whether a request that waits there has its turn one day. */
function isLine (cause: UnavailableCause | undefined): boolean {
  return cause !== undefined && cause !== 'the engine does not answer' && cause !== 'the engine wants rest'
}

/** Places requests of one entry. */
export class Placer {
  private readonly _seen = new DecayedCounter(popularityHalfLife, 20_000)
  private readonly _stays = new Map<string, MovingAverage>()
  private _orders = new Map<string, ReadonlyMap<string, number>>()
  private _ordersOf = ''

  constructor (private readonly _options: PlacerOptions) {}

  private get _now (): Ms { return this._options.clock.now() }

  /** Counts a request for the adapter's popularity. */
  count (service: string, want: RequestedAdapter | undefined): void {
    const now = this._now
    this._seen.add(service, now)
    if (want !== undefined) this._seen.add(`${service} ${want.model}/${want.adapter ?? ''}`, now)
  }

  /** Notes how long a request of a service stayed at its upstream. */
  recordServiceTime (service: string, stay: Ms): void {
    const known = this._stays.get(service) ?? new MovingAverage(stay, stayWeight)
    known.add(stay)
    this._stays.set(service, known)
  }

  /** Ms that a request of a service stays at its upstream; 0 when none has ended. */
  serviceTime (service: string): Ms { return this._stays.get(service)?.value ?? 0 }

  async place (query: PlaceQuery): Promise<Placed> {
    const startedAt = this._now
    const { healthy, ejected } = this._open(query)
    const ranked = this._withAgain(query, this._rankedOf(query, healthy.length > 0 ? healthy : ejected))
    if (ranked.length === 0) return this._unplaced(query)
    const placed = await this._placeAmong(query, ranked)
    const isLimited = placed.kind === 'unplaced' && placed.cause === 'upstream-limit'
    if (!isLimited || healthy.length === 0 || ejected.length === 0) return placed
    // One that failed lately may answer; those that did not take no more requests now.
    const patience = query.patience - (this._now - startedAt)
    const further = await this._placeAmong({ ...query, patience }, this._rankedOf(query, ejected))
    return further.kind === 'placed' ? further : placed
  }

  private _placeAmong (query: PlaceQuery, ranked: readonly Upstream[]): Promise<Placed> {
    return query.want === undefined ? this._placePlain(ranked) : this._placeAdapter(query, query.want, ranked.slice(0, maxTried))
  }

  /** Tells when the first of those that want rest can be asked again, if there are any. */
  private _unplaced ({ service, avoid }: PlaceQuery): Placed {
    const rests = this._options.members.serving(service).filter(({ id }) => !avoid.has(id)).map(({ notices }) => notices.backoffUntil - this._now)
    const rest = Math.min(...rests.filter(left => left > 0))
    return rest === Infinity
      ? { kind: 'unplaced', cause: 'no-upstream' }
      : { kind: 'unplaced', cause: 'upstream-rest', retryAfter: rest + Math.random() * restSpread }
  }

  /** Takes the first candidate whose limit, if it names one, leaves room. */
  private async _placePlain (ranked: readonly Upstream[]): Promise<Placed> {
    let retryAfter: Ms = Infinity
    for (const upstream of ranked) {
      const admission = await this._options.admit(upstream)
      if (admission.kind === 'over-limit') {
        retryAfter = Math.min(retryAfter, admission.retryAfter)
        continue
      }
      const { refund } = admission
      if (this._isOpen(upstream)) return { kind: 'placed', upstream, version: undefined, refund }
      refund()
    }
    return retryAfter === Infinity ? { kind: 'unplaced', cause: 'no-upstream' } : { kind: 'unplaced', cause: 'upstream-limit', retryAfter }
  }

  /** Takes the first candidate that can have the adapter, else stands in line at the best. */
  private async _placeAdapter (query: PlaceQuery, want: RequestedAdapter, candidates: readonly Upstream[]): Promise<Placed> {
    const startedAt = this._now
    const placed = await this._placeAtOne(query, want, candidates)
    if (placed.kind === 'unplaced') return placed
    const door = placed.waits?.admissionWait ?? 0
    return { ...placed, waits: { adapter: this._now - startedAt - door, admissionWait: door } }
  }

  private async _placeAtOne (query: PlaceQuery, want: RequestedAdapter, candidates: readonly Upstream[]): Promise<Placed> {
    const until = this._now + query.patience
    const lines: Line[] = []
    const causes: Partial<Record<UnavailableCause, number>> = {}
    let retryAfter: Ms = Infinity
    for (const upstream of candidates) {
      if (lines.length >= maxOccupied) break
      const attempt = await this._await(upstream, query, { want, urgency: query.urgency, missing: query.again === upstream.id, mayWait: false, repeated: query.again === upstream.id }, until)
      if (attempt.kind === 'placed') return attempt
      if (attempt.kind === 'over-limit') {
        retryAfter = Math.min(retryAfter, attempt.retryAfter)
        continue
      }
      if (attempt.cause !== undefined) causes[attempt.cause] = (causes[attempt.cause] ?? 0) + 1
      if (isLine(attempt.cause) && this._options.directory.canRequestLoad(upstream.id)) lines.push({ upstream, length: attempt.line })
    }
    lines.sort((a, b) => a.length - b.length)
    this._options.log.info('request', 'adapter not to be had.', { request: query.prompt.request, ...want, causes, standsAt: lines[0]?.upstream.id, ahead: lines[0]?.length, limitedFor: retryAfter === Infinity ? undefined : Math.round(retryAfter), left: Math.round(until - this._now) })
    for (let turn = 0; until > this._now && !query.cancelled(); turn++) {
      // Where nobody can order now, a line would stand for nothing.
      const open = lines.filter(({ upstream }) => this._isOpen(upstream) && this._options.directory.canRequestLoad(upstream.id))
      if (open.length === 0) break
      const attempt = await this._await(open[turn % open.length]!.upstream, query, { want, urgency: query.urgency, missing: false, mayWait: true, repeated: true }, until)
      if (attempt.kind === 'placed') return attempt
      await sleep(this._options.clock, linePause)
    }
    return retryAfter === Infinity || lines.length > 0 ? { kind: 'unplaced', cause: 'adapter-unavailable' } : { kind: 'unplaced', cause: 'upstream-limit', retryAfter }
  }

  /** Waits for an adapter at one upstream, if the upstream takes a request now. */
  private async _await (upstream: Upstream, query: PlaceQuery, ask: Omit<EnsureQuery, 'patience' | 'prompt'>, until: Ms): Promise<Attempt> {
    const admission = await this._options.admit(upstream)
    if (admission.kind === 'over-limit') return admission
    const { refund } = admission
    const attempt = await this._awaitAdapter(upstream, query, ask, until)
    if (attempt.kind === 'placed') return { ...attempt, refund }
    refund()
    return attempt
  }

  /**
   * Waits for an adapter at one upstream while it is on its way there. Asking elsewhere
   * meanwhile would load it twice, and both loads would share the weight store's rate.
   */
  private async _awaitAdapter (upstream: Upstream, query: PlaceQuery, ask: Omit<EnsureQuery, 'patience' | 'prompt'>, until: Ms): Promise<AdapterAttempt> {
    let { missing, repeated } = ask
    const { request, tokens, dueAt } = query.prompt
    let door = 0
    for (;;) {
      const patience = until - this._now
      if (patience <= 0 || query.cancelled() || !this._isOpen(upstream)) return { kind: 'not-there', line: 0 }
      const prompt = { request, tokens, dueIn: dueAt - this._now }
      const outcome = await this._options.directory.ensure(upstream, { ...ask, missing, repeated, patience, prompt })
      if (outcome.kind === 'unavailable') return { kind: 'not-there', cause: outcome.cause, line: outcome.line ?? 0 }
      door += outcome.atDoor ?? 0
      // It may have said that it leaves while the request waited.
      if (outcome.kind === 'ready') return this._isOpen(upstream) ? { kind: 'placed', upstream, version: outcome.version, waits: { adapter: 0, admissionWait: door } } : { kind: 'not-there', line: 0 }
      missing = false
      repeated = true
    }
  }

  /** Whether an upstream takes new requests now. */
  private _isOpen (upstream: Upstream): boolean {
    return upstream.notices.backoffUntil <= this._now &&
      this._options.members.get(upstream.id) === upstream && upstream.record.state === 'ready' &&
      upstream.leavesAt > this._now + leavingMargin
  }

  private _withAgain ({ again: id }: PlaceQuery, ranked: readonly Upstream[]): readonly Upstream[] {
    const again = id === undefined ? undefined : this._options.members.get(id)
    // The upstream that lacked the adapter goes first: it is on its way there.
    return again !== undefined && this._isOpen(again) ? [again, ...ranked] : ranked
  }

  /** Upstreams that take new requests now, and whether this entry would rather leave them alone. */
  private _open ({ service, avoid }: PlaceQuery): { readonly healthy: readonly Upstream[], readonly ejected: readonly Upstream[] } {
    const now = this._now
    const open = this._options.members.serving(service)
      .filter(upstream => !avoid.has(upstream.id) && this._isOpen(upstream) && upstream.pool.hasRoom)
    return { healthy: open.filter(({ health }) => health.accepts(now)), ejected: open.filter(({ health }) => !health.accepts(now)) }
  }

  private _rankedOf (query: PlaceQuery, open: readonly Upstream[]): readonly Upstream[] {
    const holding = query.want === undefined ? open : this._withModel(open, query.want.model)
    return this._rank(query, holding.length > 0 ? holding : open)
  }

  /** Engines that have the model; loading one takes longer than any caller waits. */
  private _withModel (upstreams: readonly Upstream[], model: string): readonly Upstream[] {
    return upstreams.filter(({ record }) => record.models.some(held => held.model === model))
  }

  private _rank (query: PlaceQuery, upstreams: readonly Upstream[]): readonly Upstream[] {
    const { want } = query
    const entries = this._options.entries()
    const ranks = want?.adapter === undefined ? undefined : this._rankOf(`${want.model}/${want.adapter}`, upstreams)
    const running = this._loadGuess(upstreams, want, entries)
    const candidates = upstreams.map((upstream): PlacementCandidate & { readonly upstream: Upstream } => ({
      upstream,
      id: upstream.id,
      sameZone: upstream.record.zone === this._options.zone,
      running: running(upstream),
      promptBacklog: upstream.promptBacklog,
      slots: upstream.record.slots,
      latency: upstream.health.latency * (want === undefined ? 1 : engineLatencyShare),
      failureShare: upstream.health.failureShare,
      adapter: want === undefined ? 'loaded' : this._options.directory.presence(upstream, want),
      rank: ranks?.get(upstream.id) ?? 0
    }))
    const context = {
      replicas: want === undefined ? 1 : this._replicas(query.service, want, upstreams.length),
      serviceTime: this.serviceTime(query.service)
    }
    return rankCandidates(candidates, context).map(candidate => (candidate as typeof candidates[number]).upstream)
  }

  /**
   * Tells how many requests an upstream has. Of an engine without a young word, that it has as many as the others: an entry of
   * many sends there too seldom for its own count to say anything. Plain services have no holder that counts.
   */
  private _loadGuess (upstreams: readonly Upstream[], want: RequestedAdapter | undefined, entries: number): (upstream: Upstream) => number {
    if (want === undefined) return upstream => upstream.outstanding * entries
    this._options.directory.refreshOwnLoads()
    const known = upstreams.flatMap(({ running }) => running ?? [])
    const mean = known.length === 0 ? undefined : known.reduce((sum, each) => sum + each, 0) / known.length
    return upstream => upstream.running ?? Math.max(upstream.outstanding, mean ?? upstream.outstanding * entries)
  }

  private _replicas (service: string, want: RequestedAdapter, upstreams: number): number {
    const now = this._now
    const total = this._seen.read(service, now)
    if (want.adapter === undefined) return upstreams
    if (total < minSeen) return 1
    return replicasFor(this._seen.read(`${service} ${want.model}/${want.adapter}`, now) / total, upstreams, this._options.adapterSlots(service))
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

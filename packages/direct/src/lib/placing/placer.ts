/**
 * Finds an upstream for a request: ranks the candidates and gets the adapter loaded there.
 */
import { type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import { adapterShare, type RequestedAdapter, DecayedCounter, homesWithSpeed, homeWeight, hopelessWait, type PlacementCandidate, rankCandidates, replicasFor, MovingAverage, type UnplacedCause, weightedRendezvousOrder } from '@hazelford/decisions'
import type { AdapterDirectory, EnsureQuery } from '../engines/adapter-directory.js'
import type { UnavailableCause } from '../engines/engine-holder.js'
import type { Membership } from './membership.js'
import type { Upstream } from './upstream.js'
import type { Admission } from '../usage/credit-queue.js'

/**
 * The software version that a request must run at.
 *
 * - `any`: its caller has no event of its stream.
 * - `version`: its stream began at this one.
 * - `unknown`: its stream has begun, and it is not known at which version.
 */
export type SoftwareNeed =
  | { readonly kind: 'any' }
  | { readonly kind: 'version', readonly software: string }
  | { readonly kind: 'unknown' }

/** A request to be placed. */
export interface PlacementQuery {
  readonly service: string
  /** The adapter that it needs, in the version declared now; a newer one may be declared while it waits. */
  readonly want: () => RequestedAdapter | undefined
  readonly urgency: number
  readonly avoid: ReadonlySet<string>
  /** When given, the upstreams that may get it, also those in `avoid`. */
  readonly only?: ReadonlySet<string>
  readonly software: SoftwareNeed
  /** The upstream that refused because the adapter was not loaded, to be tried again. */
  readonly retryUpstream?: string
  /** Longest wait for an adapter in ms. */
  readonly patience: Ms
  /** The request's prompt, and when its first event is due. */
  readonly prompt: { readonly request: string, readonly tokens: number, readonly dueAt: Ms, readonly organisation?: string }
  /** Whether the request no longer needs an upstream. */
  readonly cancelled: () => boolean
}

/** What a request waited for before it could be sent. */
export interface PlacementWaits {
  /** Ms until its adapter was loaded: the wait for an adapter slot, and the load. */
  readonly adapter: Ms
  /** Ms of the admission wait, until the engine could read its prompt. */
  readonly admissionWait: Ms
}

/** Where a request can go. */
export type Placement =
  /** `refund` returns what was taken of the upstream's limit, when no request has reached the upstream. */
  | { readonly kind: 'placed', readonly upstream: Upstream, readonly version: number | undefined, readonly waits?: PlacementWaits, readonly refund: () => void }
  /** `retryAfter`: ms until an upstream can be expected to accept the request, where that is known. */
  | { readonly kind: 'unplaced', readonly cause: UnplacedCause, readonly retryAfter?: Ms }

/** Number of upstreams with every adapter slot in use that are tried before a request queues for an adapter slot. */
const maxQueues = 3
/** Number of upstreams tried for one request, including those without a holder now. */
const maxTried = 8
/**
 * Weight of an engine's latency in the ranking. Less than 1, since first events are late for many temporary reasons; a
 * lasting difference still counts.
 */
const engineLatencyShare = 0.5
/**
 * Pause between two attempts of a queued request: a holder may answer at once, and without a pause the attempts would
 * be a busy loop.
 */
const queuePause: Ms = 100
/** Time within which another entry takes over the engines of a holder that shuts down. */
const holderChange: Ms = 1_000
/** Half-life of an adapter's popularity: how fast a change of demand changes its number of replicas. */
const popularityHalfLife: Ms = 5_000
/** Weight of each new service time in the mean, so that about thirty requests determine it. */
const serviceTimeWeight = 0.05
/** Time over which the returns of callers refused during a backoff are spread, so that they don't return together. */
const backoffSpread: Ms = 400
/** Spread of the returns of callers whose turn can't come in time, as a share of the wait. */
const turnSpread = 0.3
/** An upstream that leaves within this time is sent no more requests. */
const leavingMargin: Ms = 100

/** An upstream at which a request may queue, and the number of adapters that already wait there. */
interface UpstreamQueue { readonly upstream: Upstream, readonly length: number, readonly wait: Ms | undefined }

/** The result of requesting an adapter of one upstream. */
type AdapterAttempt =
  | Omit<Placement & { readonly kind: 'placed' }, 'refund'>
  /** `cause`: the holder's answer; undefined when the request has no time left or the upstream is leaving. */
  | { readonly kind: 'not-there', readonly cause?: UnavailableCause, readonly line: number, readonly wait?: Ms }

/** The result of requesting an adapter of one upstream that may announce a request limit. */
type Attempt =
  | Placement & { readonly kind: 'placed' }
  | AdapterAttempt & { readonly kind: 'not-there' }
  | Admission & { readonly kind: 'over-limit' }

/** A load request without what may change while the request waits. */
type LoadQuery = Omit<EnsureQuery, 'want' | 'patience' | 'prompt'>

/** What a placer needs of its entry. */
export interface PlacerOptions {
  readonly clock: Clock
  readonly log: Log
  /** Availability zone of the entry. */
  readonly zone: string
  readonly members: Membership
  readonly directory: AdapterDirectory
  /** Entries that are running. */
  readonly entries: () => number
  /** Adapter slots of an engine of a service. */
  readonly adapterSlots: (service: string) => number
  /** Takes one request from an upstream's limit; synchronous for an upstream that announces no limit. */
  readonly admit: (upstream: Upstream) => Admission | Promise<Admission>
}

/** Whether a request that queues at the upstream can eventually be admitted. */
function canQueue (cause: UnavailableCause | undefined): boolean {
  return cause !== undefined && cause !== 'the engine does not answer' && cause !== 'the engine wants rest'
}

function hasSoftware ({ record }: Upstream, need: SoftwareNeed): boolean {
  return need.kind === 'any' || (need.kind === 'version' && record.software === need.software)
}

/** Places requests of one entry. */
export class Placer {
  private readonly _popularity = new DecayedCounter(popularityHalfLife, 20_000)
  private readonly _serviceTimes = new Map<string, MovingAverage>()
  private _ranks = new Map<string, ReadonlyMap<string, number>>()
  private _rankedIds = ''

  constructor (private readonly _options: PlacerOptions) {}

  private get _now (): Ms { return this._options.clock.now() }

  /** Counts a request for the adapter's popularity. */
  count (service: string, want: RequestedAdapter | undefined): void {
    const now = this._now
    this._popularity.add(service, now)
    if (want !== undefined) this._popularity.add(`${service} ${want.model}/${want.adapter ?? ''}`, now)
  }

  /** Records the service time of a request at its upstream. */
  recordServiceTime (service: string, serviceTime: Ms): void {
    const known = this._serviceTimes.get(service) ?? new MovingAverage(serviceTime, serviceTimeWeight)
    known.add(serviceTime)
    this._serviceTimes.set(service, known)
  }

  /** Mean service time in ms of a service's requests at their upstreams; 0 when no request has ended. */
  serviceTime (service: string): Ms { return this._serviceTimes.get(service)?.value ?? 0 }

  async place (query: PlacementQuery): Promise<Placement> {
    if (query.software.kind === 'unknown') return { kind: 'unplaced', cause: 'origin-unknown' }
    if (this._isSoftwareGone(query)) return { kind: 'unplaced', cause: 'software-gone' }
    const startedAt = this._now
    const { healthy, ejected } = this._openUpstreams(query)
    const ranked = this._withRetryFirst(query, this._rankCapable(query, healthy.length > 0 ? healthy : ejected))
    if (ranked.length === 0) return this._unplaced(query)
    const placed = await this._placeAmong(query, ranked)
    const isLimited = placed.kind === 'unplaced' && placed.cause === 'upstream-limit'
    if (!isLimited || healthy.length === 0 || ejected.length === 0) return placed
    // The healthy upstreams are at their limits. An ejected one, which failed lately, may still answer.
    const patience = query.patience - (this._now - startedAt)
    const further = await this._placeAmong({ ...query, patience }, this._rankCapable(query, ejected))
    return further.kind === 'placed' ? further : placed
  }

  /** Whether other upstreams of the service are left, but none of the software that the request needs. */
  private _isSoftwareGone ({ service, software }: PlacementQuery): boolean {
    return software.kind === 'version' && !this._options.members.serving(service).some(upstream => hasSoftware(upstream, software))
  }

  private _placeAmong (query: PlacementQuery, ranked: readonly Upstream[]): Promise<Placement> {
    const want = query.want()
    return want === undefined ? this._placePlain(ranked) : this._placeAdapter(query, want, ranked.slice(0, maxTried))
  }

  /**
   * The result when no upstream is open; `retryAfter` is the time until the first upstream in backoff can be tried
   * again, if there is one.
   */
  private _unplaced ({ service, avoid, only, software }: PlacementQuery): Placement {
    const backoffs = this._options.members.serving(service).filter(upstream => (only?.has(upstream.id) ?? !avoid.has(upstream.id)) && hasSoftware(upstream, software)).map(({ notices }) => notices.backoffUntil - this._now)
    const backoff = Math.min(...backoffs.filter(left => left > 0))
    return backoff === Infinity
      ? { kind: 'unplaced', cause: 'no-upstream' }
      : { kind: 'unplaced', cause: 'upstream-rest', retryAfter: backoff + Math.random() * backoffSpread }
  }

  /** Places a request at the first candidate that announces no limit or has room within its limit. */
  private async _placePlain (ranked: readonly Upstream[]): Promise<Placement> {
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

  /**
   * Places a request at the first candidate that can provide the adapter, else queues at the candidates in turn, the
   * shortest queue first.
   */
  private async _placeAdapter (query: PlacementQuery, want: RequestedAdapter, candidates: readonly Upstream[]): Promise<Placement> {
    const startedAt = this._now
    const placed = await this._placeAtOne(query, want, candidates)
    if (placed.kind === 'unplaced') return placed
    const admissionWait = placed.waits?.admissionWait ?? 0
    return { ...placed, waits: { adapter: this._now - startedAt - admissionWait, admissionWait } }
  }

  private async _placeAtOne (query: PlacementQuery, want: RequestedAdapter, candidates: readonly Upstream[]): Promise<Placement> {
    const until = this._now + query.patience
    const queues: UpstreamQueue[] = []
    const causes: Partial<Record<UnavailableCause, number>> = {}
    let retryAfter: Ms = Infinity
    for (const upstream of candidates) {
      // The adapter may be loaded at a further upstream if no queue advances in time.
      if (queues.length >= maxQueues && this._hopelessWait(queues, until) === undefined) break
      const attempt = await this._awaitWithinLimit(upstream, query, { urgency: query.urgency, missing: query.retryUpstream === upstream.id, mayWait: false, repeated: query.retryUpstream === upstream.id }, until)
      if (attempt.kind === 'placed') return attempt
      if (attempt.kind === 'over-limit') {
        retryAfter = Math.min(retryAfter, attempt.retryAfter)
        continue
      }
      if (attempt.cause !== undefined) causes[attempt.cause] = (causes[attempt.cause] ?? 0) + 1
      if (canQueue(attempt.cause) && this._options.directory.canRequestLoad(upstream.id)) queues.push({ upstream, length: attempt.line, wait: attempt.wait })
    }
    queues.sort((a, b) => a.length - b.length)
    this._options.log.info('request', 'adapter not to be had.', { request: query.prompt.request, ...want, causes, standsAt: queues[0]?.upstream.id, ahead: queues[0]?.length, waits: queues.map(({ wait }) => wait), limitedFor: retryAfter === Infinity ? undefined : Math.round(retryAfter), left: Math.round(until - this._now) })
    const wait = this._hopelessWait(queues, until)
    if (wait !== undefined) return { kind: 'unplaced', cause: 'adapter-unavailable', retryAfter: Math.min(wait, retryAfter) * (1 + Math.random() * turnSpread) }
    let heldAt = this._now
    for (let turn = 0; until > this._now && !query.cancelled(); turn++) {
      const open = queues.filter(({ upstream }) => this._isOpen(upstream))
      if (open.length === 0) break
      const held = open.filter(({ upstream }) => this._options.directory.canRequestLoad(upstream.id))
      if (held.length === 0) {
        // Without a holder to send load orders, a queue does not advance.
        const isChanging = open.some(({ upstream }) => this._options.directory.awaitsHolder(upstream.id))
        if (!isChanging || this._now - heldAt >= holderChange) break
        await sleep(this._options.clock, queuePause)
        continue
      }
      heldAt = this._now
      const attempt = await this._awaitWithinLimit(held[turn % held.length]!.upstream, query, { urgency: query.urgency, missing: false, mayWait: true, repeated: true }, until)
      if (attempt.kind === 'placed') return attempt
      await sleep(this._options.clock, queuePause)
    }
    return retryAfter === Infinity || queues.length > 0 ? { kind: 'unplaced', cause: 'adapter-unavailable' } : { kind: 'unplaced', cause: 'upstream-limit', retryAfter }
  }

  private _hopelessWait (queues: readonly UpstreamQueue[], until: Ms): Ms | undefined {
    return hopelessWait(queues.map(({ wait }) => wait), until - this._now)
  }

  /** Waits for an adapter at one upstream, if the upstream's limit leaves room for a request. */
  private async _awaitWithinLimit (upstream: Upstream, query: PlacementQuery, loadQuery: LoadQuery, until: Ms): Promise<Attempt> {
    const admission = await this._options.admit(upstream)
    if (admission.kind === 'over-limit') return admission
    const { refund } = admission
    const attempt = await this._awaitAdapter(upstream, query, loadQuery, until)
    if (attempt.kind === 'placed') return { ...attempt, refund }
    refund()
    return attempt
  }

  /**
   * Waits for an adapter at one upstream while the adapter is being loaded there. If it were requested at another
   * upstream meanwhile, it would be loaded twice, and both loads would share the weight store's rate.
   */
  private async _awaitAdapter (upstream: Upstream, query: PlacementQuery, loadQuery: LoadQuery, until: Ms): Promise<AdapterAttempt> {
    let { missing, repeated } = loadQuery
    const { dueAt, ...prompt } = query.prompt
    let admissionWait = 0
    for (;;) {
      const patience = until - this._now
      const want = query.want()
      if (want === undefined || patience <= 0 || query.cancelled() || !this._isOpen(upstream)) return { kind: 'not-there', line: 0 }
      const outcome = await this._options.directory.ensure(upstream, { ...loadQuery, want, missing, repeated, patience, prompt: { ...prompt, dueIn: dueAt - this._now } })
      if (outcome.kind === 'unavailable') return { kind: 'not-there', cause: outcome.cause, line: outcome.line ?? 0, ...(outcome.wait === undefined ? {} : { wait: outcome.wait }) }
      admissionWait += outcome.atDoor ?? 0
      // While the request waited, the upstream may have announced that it leaves.
      if (outcome.kind === 'ready') return this._isOpen(upstream) ? { kind: 'placed', upstream, version: outcome.version, waits: { adapter: 0, admissionWait } } : { kind: 'not-there', line: 0 }
      missing = false
      repeated = true
    }
  }

  /** Whether an upstream accepts new requests now. */
  private _isOpen (upstream: Upstream): boolean {
    return upstream.notices.backoffUntil <= this._now &&
      this._options.members.get(upstream.id) === upstream && upstream.record.state === 'ready' &&
      upstream.leavesAt > this._now + leavingMargin
  }

  private _withRetryFirst ({ retryUpstream: id, software }: PlacementQuery, ranked: readonly Upstream[]): readonly Upstream[] {
    const upstream = id === undefined ? undefined : this._options.members.get(id)
    // The upstream that refused for lack of the adapter comes first: the adapter is being loaded there by now.
    return upstream !== undefined && this._isOpen(upstream) && hasSoftware(upstream, software) ? [upstream, ...ranked] : ranked
  }

  /** Upstreams that accept new requests now, split into healthy ones and those that this entry has ejected. */
  private _openUpstreams ({ service, avoid, only, software }: PlacementQuery): { readonly healthy: readonly Upstream[], readonly ejected: readonly Upstream[] } {
    const now = this._now
    const open = this._options.members.serving(service)
      .filter(upstream => (only?.has(upstream.id) ?? !avoid.has(upstream.id)) && hasSoftware(upstream, software) && this._isOpen(upstream) && upstream.pool.hasRoom)
    return { healthy: open.filter(({ health }) => health.accepts(now)), ejected: open.filter(({ health }) => !health.accepts(now)) }
  }

  private _rankCapable (query: PlacementQuery, open: readonly Upstream[]): readonly Upstream[] {
    const want = query.want()
    const withModel = want === undefined ? open : this._withModel(open, want.model)
    return this._rank(query, withModel.length > 0 ? withModel : open)
  }

  /** Engines that have the model loaded; loading a model takes longer than any caller waits. */
  private _withModel (upstreams: readonly Upstream[], model: string): readonly Upstream[] {
    return upstreams.filter(({ record }) => record.models.some(loaded => loaded.model === model))
  }

  private _rank (query: PlacementQuery, upstreams: readonly Upstream[]): readonly Upstream[] {
    const want = query.want()
    const entries = this._options.entries()
    const ranks = want?.adapter === undefined ? undefined : this._ranksFor(`${want.model}/${want.adapter}`, upstreams)
    const running = this._loadEstimate(upstreams, want, entries)
    const candidates = upstreams.map((upstream): PlacementCandidate & { readonly upstream: Upstream } => ({
      upstream,
      id: upstream.id,
      sameZone: upstream.record.zone === this._options.zone,
      running: running(upstream),
      promptBacklog: upstream.promptBacklog,
      slots: upstream.record.slots,
      speed: upstream.speed,
      latency: upstream.health.latency * (want === undefined ? 1 : engineLatencyShare),
      failureShare: upstream.health.failureShare,
      adapter: want === undefined ? 'loaded' : this._options.directory.presence(upstream, want),
      rank: ranks?.get(upstream.id) ?? 0
    }))
    const context = {
      replicas: want === undefined ? 1 : this._replicas(query.service, want, upstreams, ranks),
      serviceTime: this.serviceTime(query.service),
      promptTokens: query.prompt.tokens
    }
    return rankCandidates(candidates, context).map(candidate => (candidate as typeof candidates[number]).upstream)
  }

  /**
   * Returns the function that estimates how many requests of all entries an upstream runs. An engine without a fresh
   * load report is assumed to run the mean of the others, in proportion to its speed: with many entries, each one sends
   * requests to an engine too seldom to infer the engine's load from its own count. Plain services have no holder that counts for all entries.
   */
  private _loadEstimate (upstreams: readonly Upstream[], want: RequestedAdapter | undefined, entries: number): (upstream: Upstream) => number {
    if (want === undefined) return upstream => upstream.outstanding * entries
    this._options.directory.refreshOwnLoads()
    const known = upstreams.filter(({ running }) => running !== undefined)
    const speed = known.reduce((sum, each) => sum + each.speed, 0)
    const mean = known.length === 0 ? undefined : known.reduce((sum, { running }) => sum + running!, 0) / speed
    return upstream => upstream.running ?? Math.max(upstream.outstanding, mean === undefined ? upstream.outstanding * entries : mean * upstream.speed)
  }

  /** Number of homes of an adapter; `ranks`: positions of the upstreams in its rendezvous order. */
  private _replicas (service: string, want: RequestedAdapter, upstreams: readonly Upstream[], ranks: ReadonlyMap<string, number> | undefined): number {
    if (ranks === undefined) return upstreams.length
    const now = this._now
    const share = adapterShare(this._popularity.read(`${service} ${want.model}/${want.adapter}`, now), this._popularity.read(service, now))
    const wanted = replicasFor(share, upstreams.length, this._options.adapterSlots(service))
    const speeds: number[] = []
    for (const { id, speed } of upstreams) speeds[ranks.get(id)!] = speed
    return homesWithSpeed(wanted, speeds)
  }

  /** Weighted rendezvous ranks of an adapter, cached until the upstreams or their speeds change. */
  private _ranksFor (adapter: string, upstreams: readonly Upstream[]): ReadonlyMap<string, number> {
    const joined = upstreams.map(({ id, speed }) => `${id} ${speed}`).join()
    if (joined !== this._rankedIds) {
      this._ranks = new Map()
      this._rankedIds = joined
    }
    const known = this._ranks.get(adapter)
    if (known !== undefined) return known
    const nodes = upstreams.map(({ id, speed }) => ({ node: id, weight: homeWeight(speed) }))
    const ranks = new Map(weightedRendezvousOrder(adapter, nodes).map((id, rank) => [id, rank]))
    this._ranks.set(adapter, ranks)
    return ranks
  }
}

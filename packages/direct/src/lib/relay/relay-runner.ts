/**
 * Runs admitted requests, and keeps the state that they share.
 */
import { assertNever, type Clock, type Log, type Ms } from '@hazelford/core'
import { type RequestedAdapter, type ExchangeOutcome, type RelativePaces, type RelayFailure, type RetryCause, type RouteTable, RouteTargets, type SharedBudgetLimits, SharedRetryBudget, type Suspect } from '@hazelford/decisions'
import type { CallCodec, Route } from '@hazelford/ports'
import type { BodyMemory } from './body-memory.js'
import type { AdapterDirectory } from '../engines/adapter-directory.js'
import type { CurrentConfig } from '../store/current-config.js'
import type { EntryMetrics } from '../metrics.js'
import type { NoticeCoordinator } from '../placing/notice-coordinator.js'
import { Exchange } from './exchange.js'
import type { FoundOrigin, OriginCoordinator } from './origin-coordinator.js'
import type { Placement, PlacementQuery, Placer, SoftwareNeed } from '../placing/placer.js'
import type { QuarantineCoordinator } from '../quarantine/quarantine-coordinator.js'
import { ReadPacing } from './read-pacing.js'
import { type BufferedCall, type OpenRequest, RelayTask } from './relay-task.js'
import type { AdmittedCall } from './request-intake.js'
import type { StreamOrigin } from './stream-origins.js'
import type { WaitingRequests } from './waiting-requests.js'
import type { Upstream } from '../placing/upstream.js'

/** What the runner needs of its entry. */
export interface RelayRunnerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: EntryMetrics
  readonly codec: CallCodec
  readonly config: CurrentConfig
  readonly placer: Placer
  readonly directory: AdapterDirectory
  readonly quarantine: QuarantineCoordinator
  readonly notices: NoticeCoordinator
  readonly origins: OriginCoordinator
  readonly waiting: WaitingRequests
  readonly relativePaces: RelativePaces
  /** Memory for incomplete events of all open requests. */
  readonly answerMemory: BodyMemory
  /** The one software version that can have served a service since a time; undefined when there may have been several. */
  readonly onlySoftware: (service: string, since: Ms) => Promise<string | undefined>
  readonly verifyIncarnation: (upstream: Upstream, openedAt: Ms) => Promise<boolean>
  /** Whether the process of the upstream at an address goes on running. */
  readonly isRunning: (host: string, port: number) => Promise<boolean>
  /** Number of upstreams that serve a service. */
  readonly upstreams: (service: string) => number
  /** Number of entries that are running. */
  readonly entries: () => number
  readonly budgetLimits: () => SharedBudgetLimits
  /** Longest pause of this process in ms that ended after a time. */
  readonly longestPause: (since: Ms) => Ms
  /** Counts a request of an organisation by its end. */
  readonly organisationEnded: (organisation: string, end: string) => void
}

/**
 * Shortest Retry-After of a failed request: long enough for an ejection or a load to complete, short compared with any
 * caller's longest wait.
 */
const retryAfterBase: Ms = 150
const retryAfterSpread: Ms = 250

/** Short, since another entry can run the request at once. */
export const shutdownRetryAfter: Ms = 20

/** Longest time for which the origin of a stream is kept; callers that name no time limit count as waiting so long. */
const longestReturn: Ms = 60_000

/** Whether the caller has part of the answer and asks for the rest. */
function isResumption ({ route, call: { facts } }: AdmittedCall): boolean {
  return route.kind === 'stream' && route.resumable && (facts.lastEventId !== undefined || facts.resumes !== undefined)
}

/** Requests of one entry in progress. */
export class RelayRunner {
  private readonly _budgets = new Map<string, SharedRetryBudget>()
  /** Requests whose answers are not complete. */
  private readonly _open = new Set<RelayTask>()
  private readonly _targets = new RouteTargets()
  /** Longest time limit that a caller has named. */
  private _longestPatience: Ms = 0
  /** When requests without an upstream are refused, since the entry stops. */
  private _refusesFrom: Ms = Infinity

  private readonly _pacing: ReadPacing

  constructor (private readonly _options: RelayRunnerOptions) {
    this._pacing = new ReadPacing(_options.upstreams)
  }

  /** Applies changed limits on retries; retries already spent stay spent. */
  updateRetryLimits (limits: SharedBudgetLimits): void { for (const budget of this._budgets.values()) budget.limit(limits) }

  /** Handles a configuration that comes into force. */
  configured (table: RouteTable): void { this._targets.update(table.config, this._options.clock.now()) }

  /** Ends the open requests to which a quarantine applies that has just begun. */
  endQuarantined (suspect: Suspect): void {
    for (const task of [...this._open]) {
      switch (suspect.kind) {
        case 'request':
          if (task.fingerprint === suspect.fingerprint) task.endQuarantined('quarantined')
          break
        case 'part':
          if (task.sharedParts.includes(suspect.id)) task.endQuarantined('part-quarantined')
          break
        default: assertNever(suspect)
      }
    }
  }

  /** The open requests, in order of arrival; `most`: the number that is returned at most. */
  openRequests (most: number): readonly OpenRequest[] { return [...this._open].slice(0, most).map(({ state }) => state) }

  /** Ends the search for upstreams at a time: the entry stops. */
  limitWaits (until: Ms): void { this._refusesFrom = until }

  /** Refuses the open requests that no upstream has: the entry stops soon. */
  stop (): void { for (const task of [...this._open]) task.stop() }

  /** Answers or cuts off all open requests: the entry's process ends now. */
  endWithProcess (): void { for (const task of [...this._open]) task.endWithProcess() }

  private _requestedAdapter (table: RouteTable, service: string, model: string | undefined, adapter: string | undefined): RequestedAdapter | undefined {
    if (model === undefined || table.service(service)?.engine === undefined) return undefined
    if (adapter === undefined) return { model }
    const version = this._options.config.versionOf(model, adapter)
    return { model, adapter, ...(version === undefined ? {} : { version }) }
  }

  /** Runs an admitted request until its caller has its answer. */
  run (admitted: AdmittedCall): void {
    this._longestPatience = Math.min(longestReturn, Math.max(this._longestPatience, admitted.call.facts.patience ?? 0))
    if (!isResumption(admitted)) return this._start(admitted, { kind: 'any' })
    this._resume(admitted).catch((error: Error) => {
      const { log, metrics } = this._options
      log.warn('request', 'ended by a fault of the entry.', { request: admitted.call.facts.id, error: error.stack })
      if (admitted.incoming.answer.ended) return
      log.warn('request', 'answer cut.', { request: admitted.call.facts.id, cause: 'entry-fault', begun: false, sends: 0 })
      metrics.answersCut.inc({ cause: 'entry-fault' })
      admitted.incoming.answer.break()
    })
  }

  /** Runs a request that goes on with a stream, at the service and the software version that began the stream. */
  private async _resume (admitted: AdmittedCall): Promise<void> {
    const { waiting, log, metrics } = this._options
    const { incoming, call: { facts }, route, refund } = admitted
    const found = await waiting.wait(incoming, facts.id, 'origin', this._findOrigin(admitted))
    if (incoming.answer.ended || incoming.isGone()) return refund()
    metrics.resumptions.inc({ origin: found?.source ?? 'unknown' })
    log.info('request', 'resumes a stream.', { request: facts.id, resumes: facts.resumes, resumedAfter: facts.lastEventId, source: found?.source, ...found?.origin })
    const origin = found?.origin
    if (origin === undefined || !route.targets.some(({ service }) => service === origin.service)) return this._start(admitted, { kind: 'unknown' })
    this._start({ ...admitted, service: origin.service }, { kind: 'version', software: origin.software })
  }

  private async _findOrigin (admitted: AdmittedCall): Promise<FoundOrigin | undefined> {
    const { resumes } = admitted.call.facts
    return (resumes === undefined ? undefined : await this._options.origins.find(resumes)) ?? await this._inferOrigin(admitted)
  }

  /**
   * Infers the origin of a stream of which no entry knows. A caller that comes back sent its first attempt at most its
   * whole time limit ago.
   */
  private async _inferOrigin ({ route, call: { arrivedAt } }: AdmittedCall): Promise<FoundOrigin | undefined> {
    const since = arrivedAt - Math.max(route.timeout, this._longestPatience)
    const service = this._targets.onlyService(route, since)
    const software = service === undefined ? undefined : await this._options.onlySoftware(service, since)
    return service === undefined || software === undefined ? undefined : { origin: { service, software }, source: 'inferred' }
  }

  private _start ({ incoming, call, route, service, table, isAllowed, refund }: AdmittedCall, software: SoftwareNeed): void {
    const { clock, log, metrics, codec, placer, quarantine, notices, directory, origins } = this._options
    const stream = call.facts.resumes ?? call.facts.id
    const { id, model, adapter, patience } = call.facts
    const requestedAdapter = (): RequestedAdapter | undefined => this._requestedAdapter(table, service, model, adapter)
    const want = requestedAdapter()
    const budget = this._budgetOf(service)
    budget.recordRequest(clock.now())
    placer.count(service, want)
    metrics.open.inc()
    log.info('request', 'taken.', { request: id, route: route.name, service, kind: route.kind, organisation: call.organisation, patience, want, config: table.version, parts: call.sharedParts, resumes: call.facts.resumes, resumedAfter: call.facts.lastEventId })
    const task = new RelayTask(call, route, service, incoming.answer, {
      clock,
      log,
      codec,
      exchange: (pool, request, sink) => new Exchange(clock, codec, pool, request, sink, this._options.answerMemory, this._options.isRunning),
      want: requestedAdapter,
      place: query => this._place(query),
      software,
      verifyIncarnation: this._options.verifyIncarnation,
      began: began => this._recordOrigin(stream, { service, software: began }, call),
      overdueTime: waited => this._pacing.overdueTime({ route: route.name, service, target: route.latencyTarget, waited }),
      overdue: upstream => {
        metrics.overdueReads.inc({ event: 'overdue' })
        return this._pacing.recordOverdue(service, upstream.id)
      },
      silentUpstreams: () => this._pacing.isLinkSuspect(service) ? undefined : this._pacing.silentUpstreams(service),
      lateEvent: (cause, event) => metrics.countLate(cause, event),
      takeRepeat: cause => this._takeRepeat(budget, id, cause),
      hasRepeat: cause => budget.hasRetry(clock.now(), this._options.entries(), cause),
      returnRepeat: () => budget.returnRetry(),
      isAllowed,
      quarantine: fingerprint => quarantine.causeOfRefusal(call.sharedParts, fingerprint),
      answerLost: (upstream, suspects, broke) => quarantine.recordLostAnswer(upstream, suspects, broke),
      partsAnswered: since => quarantine.recordPartsAnswered(call.sharedParts, since),
      noticed: (upstream, notice, took) => notices.applyNotice(upstream, notice, took),
      retryAfter: (failure, placeable) => this._retryAfter(failure, placeable),
      refusesFrom: () => this._refusesFrom,
      adapterBroken: (upstream, broken) => directory.removeReservation(upstream, broken),
      exchanged: (upstream, outcome, latency, serviceTime) => {
        if (outcome === 'answered') placer.recordServiceTime(service, serviceTime)
        if (outcome === 'answered' && route.kind !== 'stream') this._pacing.record(route.name, service, serviceTime)
        this._recordExchange(upstream, outcome, latency, route)
      },
      streamEnded: (upstream, paused, pace) => {
        upstream.endedStreams.record(paused, pace === undefined ? undefined : this._options.relativePaces.record(service, pace, clock.now()))
      },
      configVersion: () => this._options.config.table?.version,
      longestPause: this._options.longestPause,
      answerCut: cause => metrics.answersCut.inc({ cause }),
      endUnproved: cause => metrics.unprovedEnds.inc({ cause }),
      exceeded: (upstream, { form, bytes, after }) => {
        metrics.answersExceeded.inc({ form })
        // A sound upstream may be answering a request whose caller has left.
        if (form !== 'discarded') this._recordExchange(upstream, 'endless', undefined, route)
        log.warn('request', 'upstream sends too much, connection closed.', { request: id, upstream: upstream.id, form, bytes, after: Math.round(after) })
      },
      over: ({ end, sends, firstData, longestGap, notRun, answeredSince, unframedFrom }) => {
        const took = clock.now() - call.arrivedAt
        if (end === 'delivered') quarantine.recordAnswered(task.fingerprint, answeredSince, unframedFrom)
        if (end === 'delivered') origins.forget(stream)
        if (notRun) refund()
        this._open.delete(task)
        metrics.open.dec()
        metrics.requests.inc({ kind: route.kind, end })
        if (call.organisation !== undefined) this._options.organisationEnded(call.organisation, end)
        metrics.latency.observe({ kind: route.kind }, took)
        log.info('request', 'over.', { request: id, end, took: Math.round(took), sends, firstData: firstData === undefined ? undefined : Math.round(firstData), longestGap: Math.round(longestGap) })
      }
    })
    this._open.add(task)
    task.start()
    incoming.onGone(() => task.callerGone())
  }

  private async _place (query: PlacementQuery): Promise<Placement> {
    const placement = await this._options.placer.place(query)
    const { organisation } = query.prompt
    if (organisation !== undefined && placement.kind === 'placed' && placement.waits !== undefined) {
      this._options.metrics.countOrganisationWaits(organisation, Math.max(0, placement.waits.adapter), placement.waits.admissionWait)
    }
    return placement
  }

  private _recordOrigin (stream: string, origin: StreamOrigin, { arrivedAt, facts: { patience } }: BufferedCall): void {
    const returnsUntil = arrivedAt + Math.min(patience ?? longestReturn, longestReturn)
    this._options.origins.record(stream, origin, Math.max(0, returnsUntil - this._options.clock.now()))
  }

  private _budgetOf (service: string): SharedRetryBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new SharedRetryBudget(this._options.budgetLimits())
    this._budgets.set(service, budget)
    return budget
  }

  private _takeRepeat (budget: SharedRetryBudget, request: string, cause: RetryCause): boolean {
    const allowed = budget.takeRetry(this._options.clock.now(), this._options.entries(), cause)
    this._options.metrics.repeats.inc({ allowed: String(allowed) })
    if (!allowed) this._options.log.info('request', 'retry budget spent.', { request, cause, entries: this._options.entries() })
    return allowed
  }

  /** Retry-After of a failed request in ms; jittered, so that callers refused together don't return together. */
  private _retryAfter (failure: RelayFailure, placeable: Ms | undefined): Ms {
    if (failure === 'quarantined' || failure === 'part-quarantined') return this._options.quarantine.holdTime
    // A request that could wait here only until the entry refuses it may get an adapter in time through another entry.
    const isRefusedEarly = failure === 'shutting-down' || failure === 'adapter-unavailable'
    if (this._refusesFrom !== Infinity && isRefusedEarly) return shutdownRetryAfter
    return placeable ?? retryAfterBase + Math.random() * retryAfterSpread
  }

  private _recordExchange (upstream: Upstream, outcome: ExchangeOutcome, latency: Ms | undefined, route: Route): void {
    const { clock, log, metrics } = this._options
    metrics.sends.inc({ outcome })
    if (latency !== undefined) metrics.firstByte.observe({ kind: route.kind }, latency)
    if (!upstream.health.recordOutcome(outcome, clock.now(), latency)) return
    log.info('membership', 'upstream ejected.', { upstream: upstream.id, outcome, failureShare: upstream.health.failureShare })
  }
}

/**
 * Runs requests that were let in, and keeps what they share.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { type RequestedAdapter, type ExchangeOutcome, type RelayFailure, type RouteTable, type SharedBudgetLimits, SharedRetryBudget } from '@hazelford/decisions'
import type { CallCodec, Route } from '@hazelford/ports'
import type { AdapterDirectory } from './adapter-directory.js'
import type { CurrentConfig } from './current-config.js'
import type { EntryMetrics } from './metrics.js'
import type { NoticeCoordinator } from './notice-coordinator.js'
import type { Placer } from './placer.js'
import type { QuarantineCoordinator } from './quarantine-coordinator.js'
import { RelayTask } from './relay-task.js'
import type { AdmittedCall } from './request-intake.js'
import type { Upstream } from './upstream.js'

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
  /** Entries that live. */
  readonly entries: () => number
  readonly budgetLimits: () => SharedBudgetLimits
}

/** Retry-After: long enough for an ejection or a load to be over, short against any caller's patience. */
const retryAfterBase: Ms = 150
const retryAfterSpread: Ms = 250

/** Requests of one entry under way. */
export class RelayRunner {
  private readonly _budgets = new Map<string, SharedRetryBudget>()
  /** Requests without their whole answer. */
  private readonly _open = new Set<RelayTask>()

  constructor (private readonly _options: RelayRunnerOptions) {}

  /** Takes changed bounds on repeats; what was spent stays spent. */
  updateRetryLimits (limits: SharedBudgetLimits): void { for (const budget of this._budgets.values()) budget.limit(limits) }

  /** Ends what is open of a request that is held back from now on. */
  hold (fingerprint: string): void {
    for (const task of [...this._open]) if (task.fingerprint === fingerprint) task.hold()
  }

  private _wanted (table: RouteTable, service: string, model: string | undefined, adapter: string | undefined): RequestedAdapter | undefined {
    if (model === undefined || table.service(service)?.engine === undefined) return undefined
    if (adapter === undefined) return { model }
    const version = this._options.config.versionOf(model, adapter)
    return { model, adapter, ...(version === undefined ? {} : { version }) }
  }

  /** Runs a request that was let in, until its caller has its answer. */
  run ({ incoming, call, route, service, table, isAllowed, refund }: AdmittedCall): void {
    const { clock, log, metrics, codec, placer, quarantine, notices, directory } = this._options
    const { id, model, adapter, patience } = call.facts
    const wanted = (): RequestedAdapter | undefined => this._wanted(table, service, model, adapter)
    const want = wanted()
    const budget = this._budgetOf(service)
    budget.request(clock.now())
    placer.count(service, want)
    metrics.open.inc()
    log.info('request', 'taken.', { request: id, route: route.name, service, kind: route.kind, organisation: call.organisation, patience, want, config: table.version })
    const task = new RelayTask(call, route, service, incoming.answer, {
      clock,
      log,
      codec,
      want: wanted,
      place: query => placer.place(query),
      takeRepeat: () => this._takeRepeat(budget, id),
      isAllowed,
      isQuarantined: fingerprint => quarantine.holds(fingerprint),
      answerLost: (upstream, fingerprint, broke) => quarantine.lost(upstream, fingerprint, broke),
      noticed: (upstream, notice, took) => notices.applyNotice(upstream, notice, took),
      retryAfter: failure => this._retryAfter(failure),
      adapterBroken: (upstream, broken) => directory.broken(upstream, broken),
      exchanged: (upstream, outcome, latency, stay) => {
        if (outcome === 'answered') placer.recordServiceTime(service, stay)
        this._exchanged(upstream, outcome, latency, route)
      },
      over: ({ end, sends, firstData, longestGap, notRun }) => {
        const took = clock.now() - call.arrivedAt
        if (end === 'delivered') quarantine.answered(task.fingerprint)
        if (notRun) refund()
        this._open.delete(task)
        metrics.open.dec()
        metrics.requests.inc({ kind: route.kind, end })
        if (call.organisation !== undefined) metrics.countOrganisation(call.organisation, end)
        metrics.latency.observe({ kind: route.kind }, took)
        log.info('request', 'over.', { request: id, end, took: Math.round(took), sends, firstData: firstData === undefined ? undefined : Math.round(firstData), longestGap: Math.round(longestGap) })
      }
    })
    this._open.add(task)
    task.start()
    incoming.onGone(() => task.callerGone())
  }

  private _budgetOf (service: string): SharedRetryBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new SharedRetryBudget(this._options.budgetLimits())
    this._budgets.set(service, budget)
    return budget
  }

  private _takeRepeat (budget: SharedRetryBudget, request: string): boolean {
    const allowed = budget.takeRepeat(this._options.clock.now(), this._options.entries())
    this._options.metrics.repeats.inc({ allowed: String(allowed) })
    if (!allowed) this._options.log.info('request', 'retry budget spent.', { request, entries: this._options.entries() })
    return allowed
  }

  /** Jittered, so that callers who were refused together don't come back together. */
  private _retryAfter (failure: RelayFailure): Ms {
    if (failure === 'quarantined') return this._options.quarantine.holdTime
    return retryAfterBase + Math.random() * retryAfterSpread
  }

  private _exchanged (upstream: Upstream, outcome: ExchangeOutcome, latency: Ms | undefined, route: Route): void {
    const { clock, log, metrics } = this._options
    metrics.sends.inc({ outcome })
    if (latency !== undefined) metrics.firstByte.observe({ kind: route.kind }, latency)
    if (!upstream.health.note(outcome, clock.now(), latency)) return
    log.info('membership', 'upstream ejected.', { upstream: upstream.id, outcome, failureShare: upstream.health.failureShare })
  }
}

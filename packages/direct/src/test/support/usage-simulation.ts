/**
 * Simulates organisations with usage limits at many entries, in virtual time, with the real usage coordinators.
 */
import { FakeClock, type Ms, silentLog, sleep } from '@hazelford/core'
import type { UsageBounds, UsageGrant } from '@hazelford/decisions'
import type { Organisation } from '@hazelford/ports'
import { grantInFull, usageLimits } from '../../lib/usage/organisation-usage.js'
import { NoAnswer } from '../../lib/peers/json-client.js'
import { type PeerAddress, PeerTable } from '../../lib/peers/peer-table.js'
import { ReportRejected, UsageCoordinator } from '../../lib/usage/usage-coordinator.js'
import type { Admission } from '../../lib/usage/credit-queue.js'
import { seededRandom } from './seeded-random.js'

/** How entries share a limit: in equal parts, or by the credit that an allocator grants. */
export type UsageAllocation = 'equal-parts' | 'allocator'

/** A fault that affects entries, each named by its number. */
export type UsageFault =
  /** Messages from and to the entry are lost. */
  | { readonly kind: 'cut', readonly entry: number, readonly at: Ms, readonly until: Ms }
  /** Each message is lost with a probability of `share`, and its answer with the same probability. */
  | { readonly kind: 'loss', readonly share: number, readonly at: Ms, readonly until: Ms }
  /** Each message is refused with a probability of `share`, before it is sent. */
  | { readonly kind: 'refusal', readonly share: number, readonly at: Ms, readonly until: Ms }
  /** The list of one entry lacks another one. */
  | { readonly kind: 'unlisted', readonly entry: number, readonly by: number, readonly at: Ms, readonly until: Ms }
  /** All leases in the store lapse: each entry lists only itself until the others have registered again. */
  | { readonly kind: 'lapse', readonly at: Ms, readonly until: Ms }
  /** The entry stops and starts again without its state; it has no configuration for `unconfigured` ms, by default 0. */
  | { readonly kind: 'restart', readonly entry: number, readonly at: Ms, readonly unconfigured?: Ms }

/** One organisation's callers. */
export interface UsageDemand {
  readonly organisation: string
  /** Units a second that the organisation may use. */
  readonly limit: number
  /** Mean units a second that its callers request. */
  readonly requested: number
  /** Number of entries that its callers are connected to. */
  readonly entries: number
  /** Mean units of a request; each request takes exactly one where this is 1. */
  readonly cost: number
  /** Units that may be used at once on top of the rate; defaults to those of one second. */
  readonly burst?: number
  /** Callers send only in the second half of each period of this length; without it, all the time. */
  readonly period?: Ms
}

/** The simulated traffic and faults. */
export interface UsageWorkload {
  readonly allocation: UsageAllocation
  readonly entries: number
  readonly demands: readonly UsageDemand[]
  readonly faults: readonly UsageFault[]
  readonly length: Ms
  readonly seed: number
  /** Bounds that the coordinators enforce; defaults to those of an organisation. */
  readonly bounds?: UsageBounds
  /** Whether requests wait for credit that is due soon; defaults to true. */
  readonly waitsForCredit?: boolean
  /** Bounds that the result is judged by, where they differ from the enforced ones. */
  readonly judgedBounds?: UsageBounds
}

/** Result of a simulation. */
export interface UsageResult {
  /** Share of refused units among those that a single bucket for all entries admits; for the organisation with the highest share. */
  readonly refusedWithinLimit: number
  /** Units used, as a share of those requested. */
  readonly admitted: number
  /** Units used, as a share of those that a single bucket for all entries admits. */
  readonly used: number
  /** Largest use in any window, as a share of what the limit allows in it with its overage and slack. */
  readonly worstWindow: number
  /** Messages between entries a second. */
  readonly messages: number
  /** Longest time from a request to its admission or refusal. */
  readonly longestWait: Ms
  /** Shortest retry-after of a refused request; infinite when none was refused. */
  readonly shortestRetryAfter: Ms
}

/** Bounds of the window rule, as the deployment's configuration has them. */
const organisationBounds: UsageBounds = { window: 8_000, overage: 0.1, slack: 17_000 }
const step: Ms = 5
const latency: Ms = 2
const peerTimeout: Ms = 150
/** Time that entries take to start; requests begin, and fault times count, from its end. */
const startupTime: Ms = 3_000

interface Use { readonly at: Ms, readonly units: number }

/** A single token bucket that sees all requests in sequence. */
class ReferenceBucket {
  private _level: number
  private _at: Ms = 0

  constructor (private readonly _rate: number, private readonly _burst: number) { this._level = _burst }

  take (units: number, now: Ms): boolean {
    this._level = Math.min(this._burst, this._level + this._rate * (now - this._at) / 1_000)
    this._at = now
    if (units > this._level) return false
    this._level -= units
    return true
  }
}

function worstWindow (uses: readonly Use[], window: Ms): number {
  let most = 0
  let sum = 0
  let from = 0
  for (const { at, units } of uses) {
    sum += units
    while (uses[from]!.at <= at - window) sum -= uses[from++]!.units
    most = Math.max(most, sum)
  }
  return most
}

class UsageSimulation {
  private readonly _clock = new FakeClock()
  private readonly _random: () => number
  private readonly _peers: readonly PeerAddress[]
  private readonly _organisations: readonly Organisation[]
  private readonly _coordinators: UsageCoordinator[] = []
  /** The peer table of each entry, with the names in the list that it was filled from. */
  private readonly _tables: { readonly table: PeerTable, readonly listing: string }[] = []
  /** Time from which each entry has a configuration. Until then it refuses its callers. */
  private readonly _configuredAt: Ms[] = []
  private readonly _equalParts: Map<string, ReferenceBucket>[] = []
  private readonly _uses = new Map<string, Use[]>()
  private _messages = 0
  private _longestWait: Ms = 0
  private _shortestRetryAfter: Ms = Infinity
  /** Requests that are neither admitted nor refused yet. */
  private readonly _undecided = new Set<{ readonly since: Ms }>()
  private _requested = 0
  private _referenceAdmitted = 0
  private _used = 0
  private readonly _referenceByOrganisation = new Map<string, number>()
  private readonly _refusedByOrganisation = new Map<string, number>()

  constructor (private readonly _workload: UsageWorkload) {
    this._random = seededRandom(_workload.seed)
    this._peers = Array.from({ length: _workload.entries }, (_, n) => ({ node: `entry-${n}`, host: '127.0.0.1', port: n + 1 }))
    this._organisations = _workload.demands.map(({ organisation, limit, burst = limit }) => ({ name: organisation, keys: [], limit: { unit: 'tokens', rate: limit, burst, plainTokens: 200 } }))
    for (let n = 0; n < _workload.entries; n++) this._start(n)
  }

  async run (): Promise<UsageResult> {
    await this._advance(startupTime)
    const references = new Map(this._workload.demands.map(({ organisation, limit, burst = limit }) => [organisation, new ReferenceBucket(limit, Math.max(1, burst))]))
    const end = startupTime + this._workload.length
    for (let now = this._clock.now(); now < end; now = this._clock.now()) {
      for (const fault of this._workload.faults) if (fault.kind === 'restart' && fault.at + startupTime >= now && fault.at + startupTime < now + step) this._start(fault.entry, fault.unconfigured)
      for (const demand of this._workload.demands) this._drawArrivals(demand, references.get(demand.organisation)!)
      await this._advance(step)
    }
    await this._advance(1_000)
    for (const { since } of this._undecided) this._longestWait = Math.max(this._longestWait, this._clock.now() - since)
    return { refusedWithinLimit: this._refusedWithinLimit(), admitted: this._used / Math.max(1, this._requested), used: this._used / Math.max(1, this._referenceAdmitted), worstWindow: this._worstWindow(), messages: this._messages / (end / 1_000), longestWait: this._longestWait, shortestRetryAfter: this._shortestRetryAfter }
  }

  private async _advance (by: Ms): Promise<void> {
    for (let moved = 0; moved < by; moved++) {
      this._clock.advance(1)
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  private _start (n: number, unconfigured: Ms = 0): void {
    this._coordinators[n]?.stop()
    this._configuredAt[n] = this._clock.now() + unconfigured
    this._tables[n] = { table: new PeerTable(this._clock, () => {}), listing: '' }
    const coordinator = new UsageCoordinator({
      node: this._peers[n]!.node,
      clock: this._clock,
      log: silentLog,
      bounds: () => this._workload.bounds ?? organisationBounds,
      entries: () => this._peerTable(n).entries,
      entryCount: () => this._peerTable(n).entryCount,
      isConfigured: () => this._isConfigured(n),
      kind: 'usage',
      waitsForCredit: this._workload.waitsForCredit ?? true,
      limits: () => usageLimits(this._organisations),
      defaultGrant: grantInFull,
      report: async ({ port }, msg) => await this._deliver(n, port - 1, () => readGrants(this._coordinators[port - 1]!.report(msg))),
      ping: async ({ port }) => { await this._deliver(n, port - 1, () => []) }
    })
    this._coordinators[n] = coordinator
    if (unconfigured === 0) coordinator.limitsChanged()
    else this._clock.after(unconfigured, () => coordinator.limitsChanged())
    this._equalParts[n] = new Map(this._workload.demands.map(({ organisation, limit }) => [organisation, new ReferenceBucket(limit / this._workload.entries, limit / this._workload.entries)]))
  }

  /** The peer table of an entry, brought up to date with the list of entries. */
  private _peerTable (n: number): PeerTable {
    const { table, listing } = this._tables[n]!
    const listed = this._peers.filter((_, other) => this._isListed(other, n))
    const names = listed.map(({ node }) => node).join()
    if (listing !== names) table.follow(listed, [])
    this._tables[n] = { table, listing: names }
    return table
  }

  private _isListed (entry: number, by: number): boolean {
    if (entry === by) return true
    const now = this._clock.now() - startupTime
    return !this._hasLapsed() && !this._workload.faults.some(fault => fault.kind === 'unlisted' && fault.entry === entry && fault.by === by && now >= fault.at && now < fault.until)
  }

  private async _deliver<T> (from: number, to: number, call: () => T): Promise<T> {
    this._messages++
    if (this._isDropped('refusal')) throw new NoAnswer('The connection was refused.', false)
    await sleep(this._clock, latency)
    if (!this._isLost(from, to)) {
      const answer = call()
      await sleep(this._clock, latency)
      if (!this._isLost(from, to)) return answer
    }
    await sleep(this._clock, peerTimeout)
    throw new Error('peer did not answer')
  }

  /** Whether a message that arrives now is lost on its way. */
  private _isLost (from: number, to: number): boolean {
    return this._isDropped('loss') || this._isCut(from) || this._isCut(to)
  }

  private _isDropped (kind: 'loss' | 'refusal'): boolean {
    const now = this._clock.now() - startupTime
    return this._workload.faults.some(fault => fault.kind === kind && now >= fault.at && now < fault.until && this._random() < fault.share)
  }

  private _isCut (entry: number): boolean {
    const now = this._clock.now() - startupTime
    return this._workload.faults.some(fault => fault.kind === 'cut' && fault.entry === entry && now >= fault.at && now < fault.until)
  }

  private _isConfigured (entry: number): boolean { return this._clock.now() >= this._configuredAt[entry]! }

  private _hasLapsed (): boolean {
    const now = this._clock.now() - startupTime
    return this._workload.faults.some(fault => fault.kind === 'lapse' && now >= fault.at && now < fault.until)
  }

  private _drawArrivals (demand: UsageDemand, reference: ReferenceBucket): void {
    const { period } = demand
    if (period !== undefined && this._clock.now() % period < period / 2) return
    const expected = demand.requested / demand.cost * step / 1_000
    for (let left = expected; left > 0; left--) {
      if (this._random() >= left) continue
      // Callers keep their connections, and some entries have many more of them than others.
      const entry = Math.floor(this._random() ** 2 * demand.entries)
      const cost = demand.cost === 1 ? 1 : Math.ceil(demand.cost * (0.4 + 1.2 * this._random()))
      const isReferenceAdmitted = reference.take(cost, this._clock.now())
      if (this._isConfigured(entry)) this._request(demand, entry, cost, isReferenceAdmitted)
    }
  }

  private _request ({ organisation }: UsageDemand, entry: number, cost: number, isReferenceAdmitted: boolean): void {
    this._requested += cost
    if (isReferenceAdmitted) {
      this._referenceAdmitted += cost
      this._referenceByOrganisation.set(organisation, (this._referenceByOrganisation.get(organisation) ?? 0) + cost)
    }
    const request = { since: this._clock.now() }
    this._undecided.add(request)
    const onDecision = (admission: Admission): void => {
      this._undecided.delete(request)
      this._longestWait = Math.max(this._longestWait, this._clock.now() - request.since)
      if (admission.kind === 'over-limit') this._shortestRetryAfter = Math.min(this._shortestRetryAfter, admission.retryAfter)
      if (admission.kind === 'admitted') this._recordUse(organisation, cost)
      else if (isReferenceAdmitted) this._refusedByOrganisation.set(organisation, (this._refusedByOrganisation.get(organisation) ?? 0) + cost)
    }
    if (this._workload.allocation === 'equal-parts') {
      onDecision(this._equalParts[entry]!.get(organisation)!.take(cost, this._clock.now()) ? { kind: 'admitted', refund: () => {} } : { kind: 'over-limit', retryAfter: 0 })
      return
    }
    const admission = this._coordinators[entry]!.admit(organisation, cost)
    if (admission instanceof Promise) admission.then(onDecision, (error: Error) => { throw error })
    else onDecision(admission)
  }

  private _recordUse (organisation: string, units: number): void {
    const uses = this._uses.get(organisation) ?? []
    this._used += units
    uses.push({ at: this._clock.now(), units })
    this._uses.set(organisation, uses)
  }

  private _refusedWithinLimit (): number {
    return Math.max(0, ...[...this._referenceByOrganisation].map(([organisation, referenceUnits]) => (this._refusedByOrganisation.get(organisation) ?? 0) / referenceUnits))
  }

  private _worstWindow (): number {
    const { window, overage, slack } = this._workload.judgedBounds ?? this._workload.bounds ?? organisationBounds
    return Math.max(...this._workload.demands.map(({ organisation, limit, burst = limit }) => {
      const allowed = (limit * window / 1_000 + burst) * (1 + overage) + slack
      return worstWindow(this._uses.get(organisation) ?? [], window) / allowed
    }))
  }
}

/** What a report's sender reads from the answer of another entry. */
function readGrants (grants: readonly UsageGrant[] | undefined): readonly UsageGrant[] {
  if (grants === undefined) throw new ReportRejected('The entry does not allocate usage yet.')
  return grants
}

/** Simulates a workload. */
export function simulateUsage (workload: UsageWorkload): Promise<UsageResult> { return new UsageSimulation(workload).run() }

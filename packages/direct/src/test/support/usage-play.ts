/**
 * Plays organisations with usage limits at many entries, in virtual time, against the real desks.
 */
import { FakeClock, type Ms, silentLog, sleep } from '@hazelford/core'
import type { UsageBounds } from '@hazelford/decisions'
import type { Organisation } from '@hazelford/ports'
import { grantInFull, usageLimits } from '../../lib/organisation-usage.js'
import { type PeerAddress, PeerTable } from '../../lib/peer-table.js'
import { UsageCoordinator } from '../../lib/usage-coordinator.js'
import type { Admission } from '../../lib/credit-queue.js'
import { randoms } from './randoms.js'

/** How entries share a limit: each its equal part, or by what a keeper lends. */
export type UsageWay = 'equal-parts' | 'keeper'

/** What happens to entries, by number. */
export type UsageFault =
  /** Its messages and those to it are lost. */
  | { readonly kind: 'cut', readonly entry: number, readonly at: Ms, readonly until: Ms }
  /** The store has let all leases lapse: each entry is listed with itself alone until the others have registered again. */
  | { readonly kind: 'lapse', readonly at: Ms, readonly until: Ms }
  /** Ends, and starts again knowing nothing. */
  | { readonly kind: 'restart', readonly entry: number, readonly at: Ms }

/** One organisation's callers. */
export interface UsageDemand {
  readonly organisation: string
  /** Units a second that may be asked for. */
  readonly limit: number
  /** Units a second that are asked for in the mean. */
  readonly asked: number
  /** Entries that its callers' connections go to. */
  readonly entries: number
  /** Units of a request, in the mean; each takes one where this is 1. */
  readonly cost: number
  /** Units that may be used at once on top; as many as in a second, if not given. */
  readonly burst?: number
}

/** What is played. */
export interface UsageLoad {
  readonly way: UsageWay
  readonly entries: number
  readonly demands: readonly UsageDemand[]
  readonly faults: readonly UsageFault[]
  readonly length: Ms
  readonly seed: number
  /** What the desks keep to; those of an organisation, if not given. */
  readonly bounds?: UsageBounds
  /** Whether requests wait for credit that comes soon; they do, if not given. */
  readonly isPatient?: boolean
  /** What is judged, where it is not the same. */
  readonly judged?: UsageBounds
}

/** What came of it. */
export interface UsageResult {
  /** Units refused though one bucket for all entries had had them, as a part of those that it had; of the organisation that it hits most. */
  readonly refusedBelow: number
  /** Units used, as a part of those that were asked for. */
  readonly letIn: number
  /** Units used, as a part of those that one bucket for all entries had had. */
  readonly used: number
  /** Largest use in any window, as a part of what the limit allows in it with its overage and slack. */
  readonly worstWindow: number
  /** Messages between entries a second. */
  readonly messages: number
  /** Longest time from a request to its decision. */
  readonly longestWait: Ms
  /** Shortest time after which a refused request may come back; infinite when none was refused. */
  readonly soonestReturn: Ms
}

/** Bounds of the window rule, as the deployment's sheet has them. */
const organisationBounds: UsageBounds = { window: 8_000, overage: 0.1, slack: 17_000 }
const step: Ms = 5
const latency: Ms = 2
const lostAfter: Ms = 150
/** Before this, entries start. */
const settle: Ms = 3_000

interface Use { readonly at: Ms, readonly units: number }

/** One bucket that sees all requests in order. */
class NaiveBucket {
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

class UsagePlay {
  private readonly _clock = new FakeClock()
  private readonly _random: () => number
  private readonly _peers: readonly PeerAddress[]
  private readonly _organisations: readonly Organisation[]
  private readonly _desks: UsageCoordinator[] = []
  /** By entry, with the length of the list that it holds. */
  private readonly _tables: { readonly table: PeerTable, readonly listing: number }[] = []
  private readonly _parts: Map<string, NaiveBucket>[] = []
  private readonly _uses = new Map<string, Use[]>()
  private _messages = 0
  private _longestWait: Ms = 0
  private _soonestReturn: Ms = Infinity
  /** When requests came that are undecided. */
  private readonly _undecided = new Set<{ readonly since: Ms }>()
  private _asked = 0
  private _owed = 0
  private _used = 0
  private readonly _owedOf = new Map<string, number>()
  private readonly _refusedOf = new Map<string, number>()

  constructor (private readonly _load: UsageLoad) {
    this._random = randoms(_load.seed)
    this._peers = Array.from({ length: _load.entries }, (_, n) => ({ node: `entry-${n}`, host: '127.0.0.1', port: n + 1 }))
    this._organisations = _load.demands.map(({ organisation, limit, burst = limit }) => ({ name: organisation, keys: [], limit: { unit: 'tokens', rate: limit, burst, plainTokens: 200 } }))
    for (let n = 0; n < _load.entries; n++) this._start(n)
  }

  async run (): Promise<UsageResult> {
    await this._advance(settle)
    const whole = new Map(this._load.demands.map(({ organisation, limit, burst = limit }) => [organisation, new NaiveBucket(limit, Math.max(1, burst))]))
    const end = settle + this._load.length
    for (let now = this._clock.now(); now < end; now = this._clock.now()) {
      for (const fault of this._load.faults) if (fault.kind === 'restart' && fault.at + settle >= now && fault.at + settle < now + step) this._start(fault.entry)
      for (const demand of this._load.demands) this._arrivals(demand, whole.get(demand.organisation)!)
      await this._advance(step)
    }
    await this._advance(1_000)
    for (const { since } of this._undecided) this._longestWait = Math.max(this._longestWait, this._clock.now() - since)
    return { refusedBelow: this._refusedBelow(), letIn: this._used / Math.max(1, this._asked), used: this._used / Math.max(1, this._owed), worstWindow: this._worst(), messages: this._messages / (end / 1_000), longestWait: this._longestWait, soonestReturn: this._soonestReturn }
  }

  private async _advance (by: Ms): Promise<void> {
    for (let moved = 0; moved < by; moved++) {
      this._clock.advance(1)
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  private _start (n: number): void {
    this._desks[n]?.stop()
    this._tables[n] = { table: new PeerTable(this._clock, () => {}), listing: 0 }
    const desk = new UsageCoordinator({
      node: this._peers[n]!.node,
      clock: this._clock,
      log: silentLog,
      bounds: () => this._load.bounds ?? organisationBounds,
      entries: () => this._table(n).entries,
      entryCount: () => this._table(n).entryCount,
      kind: 'usage',
      waitsForCredit: this._load.isPatient ?? true,
      limits: () => usageLimits(this._organisations),
      defaultGrant: grantInFull,
      report: async ({ port }, msg) => await this._carry(n, port - 1, () => this._desks[port - 1]!.report(msg)),
      ping: async ({ port }) => { await this._carry(n, port - 1, () => []) }
    })
    this._desks[n] = desk
    desk.limitsChanged()
    this._parts[n] = new Map(this._load.demands.map(({ organisation, limit }) => [organisation, new NaiveBucket(limit / this._load.entries, limit / this._load.entries)]))
  }

  /** What an entry is told of the others. */
  private _table (n: number): PeerTable {
    const { table, listing } = this._tables[n]!
    const listed = this._hasLapsed() ? [this._peers[n]!] : this._peers
    if (listing !== listed.length) table.follow(listed, [])
    this._tables[n] = { table, listing: listed.length }
    return table
  }

  private async _carry<T> (from: number, to: number, call: () => T): Promise<T> {
    this._messages++
    await sleep(this._clock, latency)
    if (!this._isCut(from) && !this._isCut(to)) {
      const answer = call()
      await sleep(this._clock, latency)
      if (!this._isCut(from) && !this._isCut(to)) return answer
    }
    await sleep(this._clock, lostAfter)
    throw new Error('No answer.')
  }

  private _isCut (entry: number): boolean {
    const now = this._clock.now() - settle
    return this._load.faults.some(fault => fault.kind === 'cut' && fault.entry === entry && now >= fault.at && now < fault.until)
  }

  private _hasLapsed (): boolean {
    const now = this._clock.now() - settle
    return this._load.faults.some(fault => fault.kind === 'lapse' && now >= fault.at && now < fault.until)
  }

  private _arrivals (demand: UsageDemand, whole: NaiveBucket): void {
    const expected = demand.asked / demand.cost * step / 1_000
    for (let left = expected; left > 0; left--) {
      if (this._random() >= left) continue
      // Callers keep their connections, and some have many more than others.
      const entry = Math.floor(this._random() ** 2 * demand.entries)
      const cost = demand.cost === 1 ? 1 : Math.ceil(demand.cost * (0.4 + 1.2 * this._random()))
      this._ask(demand, entry, cost, whole.take(cost, this._clock.now()))
    }
  }

  private _ask ({ organisation }: UsageDemand, entry: number, cost: number, isOwed: boolean): void {
    this._asked += cost
    if (isOwed) {
      this._owed += cost
      this._owedOf.set(organisation, (this._owedOf.get(organisation) ?? 0) + cost)
    }
    const request = { since: this._clock.now() }
    this._undecided.add(request)
    const note = (admission: Admission): void => {
      this._undecided.delete(request)
      this._longestWait = Math.max(this._longestWait, this._clock.now() - request.since)
      if (admission.kind === 'over-limit') this._soonestReturn = Math.min(this._soonestReturn, admission.retryAfter)
      if (admission.kind === 'admitted') this._note(organisation, cost)
      else if (isOwed) this._refusedOf.set(organisation, (this._refusedOf.get(organisation) ?? 0) + cost)
    }
    if (this._load.way === 'equal-parts') {
      note(this._parts[entry]!.get(organisation)!.take(cost, this._clock.now()) ? { kind: 'admitted', refund: () => {} } : { kind: 'over-limit', retryAfter: 0 })
      return
    }
    const admission = this._desks[entry]!.admit(organisation, cost)
    if (admission instanceof Promise) admission.then(note, (error: Error) => { throw error })
    else note(admission)
  }

  private _note (organisation: string, units: number): void {
    const uses = this._uses.get(organisation) ?? []
    this._used += units
    uses.push({ at: this._clock.now(), units })
    this._uses.set(organisation, uses)
  }

  private _refusedBelow (): number {
    return Math.max(0, ...[...this._owedOf].map(([organisation, owed]) => (this._refusedOf.get(organisation) ?? 0) / owed))
  }

  private _worst (): number {
    const { window, overage, slack } = this._load.judged ?? this._load.bounds ?? organisationBounds
    return Math.max(...this._load.demands.map(({ organisation, limit, burst = limit }) => {
      const allowed = (limit * window / 1_000 + burst) * (1 + overage) + slack
      return worstWindow(this._uses.get(organisation) ?? [], window) / allowed
    }))
  }
}

/** Plays a load. */
export function playUsage (load: UsageLoad): Promise<UsageResult> { return new UsagePlay(load).run() }

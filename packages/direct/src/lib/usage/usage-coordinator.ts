/**
 * Enforces usage limits together with the other entries. An account is anything that has one limit over all entries:
 * an organisation's usage, or the requests that an upstream accepts.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { type CreditLimit, rendezvousOrder, rendezvousWeight, type UsageBounds, type UsageGrant, UsageAllocator, type UsageReport, type UsageRow, reportTtl } from '@hazelford/decisions'
import { NoAnswer } from '../peers/json-client.js'
import { PeerSuspects } from '../peers/peer-suspects.js'
import type { PeerAddress } from '../peers/peer-table.js'
import { type Admission, CreditQueue } from './credit-queue.js'
import { UsageSummary, type UsageSummaryOptions } from './usage-summary.js'

/** A report to the allocator of one shard of the accounts. */
export interface UsageMessage extends UsageReport { readonly shard: number }

/** An entry's answer that it does not allocate usage; it has not counted the report. */
export class ReportRejected extends Error {}

/** What the coordinator needs of its entry. */
export interface UsageCoordinatorOptions {
  readonly node: string
  /** Kind of the accounts; each kind has allocators of its own. */
  readonly kind: 'usage' | 'upstream-limits'
  readonly clock: Clock
  readonly log: Log
  /** Called with units that were admitted, refused or granted. */
  readonly recorded?: UsageSummaryOptions['recorded']
  readonly bounds: () => UsageBounds
  /** Whether requests wait for credit that is expected soon; if not, they are refused once the allocator has none. */
  readonly waitsForCredit: boolean
  /** All entries that are running. */
  readonly entries: () => readonly PeerAddress[]
  /** Number of entries that share each limit. */
  readonly entryCount: () => number
  /** Whether {@link limits} are known. An entry has no configuration at first, and then can't tell which accounts have a limit. */
  readonly isConfigured: () => boolean
  /** Limits in force, by account. */
  readonly limits: () => ReadonlyMap<string, CreditLimit>
  /** Grant to assume for an account that the allocator's answer leaves out. */
  readonly defaultGrant: (row: UsageRow) => Omit<UsageGrant, 'account'>
  /** Rejects with {@link ReportRejected} when the entry does not allocate. */
  readonly report: (peer: PeerAddress, msg: UsageMessage) => Promise<readonly UsageGrant[]>
  readonly ping: (peer: PeerAddress) => Promise<void>
}

/**
 * Accounts per allocator. Each entry reports to each allocator several times a second, so few allocators cost little;
 * with more accounts than this, an allocator's host would be busy with nothing else.
 */
const accountsPerAllocator = 500
/**
 * Time since the first limit was known in which an entry that receives no reports of others grants itself nothing: it
 * may have started during an outage of the store and not know any other entry yet.
 */
const startupGrace: Ms = 2_000
/** Entries report at least this often to the entry that they consider the allocator. */
const reportWithin: Ms = 400
/**
 * Time for which an entry goes on reporting after its last limit has ended: its reports are how other entries learn
 * that the limit has ended.
 */
const reportAfterEnd: Ms = 2_000

/** Whether a report that failed has certainly not been counted by the entry that it was sent to. */
function isUncounted (error: unknown): boolean { return error instanceof ReportRejected || (error instanceof NoAnswer && !error.sent) }

/** One entry's part of the usage limits: its own credit, and what it grants to others as an allocator. */
export class UsageCoordinator {
  private readonly _queues = new Map<number, CreditQueue>()
  private readonly _allocators = new Map<number, UsageAllocator>()
  /** When each allocator of a shard may last have counted a report of this entry. */
  private readonly _countedAt = new Map<number, Map<string, Ms>>()
  /** Allocator that answered the last report, by shard. */
  private readonly _answeredBy = new Map<number, string>()
  private readonly _suspects: PeerSuspects
  private readonly _summary: UsageSummary
  /** When another entry last sent a report to this one. */
  private _peerReportAt: Ms = -Infinity
  private _limits: ReadonlyMap<string, CreditLimit> = new Map()
  /** When a limit was first known. */
  private _limitedSince: Ms | undefined
  /** When the last limit ended. */
  private _endedAt: Ms = -Infinity
  private _stopped = false
  private readonly _startedAt: Ms

  constructor (private readonly _options: UsageCoordinatorOptions) {
    this._startedAt = _options.clock.now()
    this._suspects = new PeerSuspects(_options)
    this._summary = new UsageSummary(_options)
  }

  /** Applies the limits that are in force now. */
  limitsChanged (): void {
    const hadLimits = this._limits.size > 0
    this._limits = this._options.limits()
    if (this._limits.size > 0) this._limitedSince ??= this._options.clock.now()
    if (hadLimits && this._limits.size === 0) this._endedAt = this._options.clock.now()
    const isFree = (account: string): boolean => !this._limits.has(account)
    for (const queue of this._queues.values()) queue.release(isFree)
    for (const allocator of this._allocators.values()) allocator.forget(isFree)
    // An entry without requests reports too: the allocator grants its part of each rate to the others.
    if (this._limits.size > 0) for (let shard = 0; shard < this._shards; shard++) this._queue(shard)
  }

  stop (): void {
    this._stopped = true
    this._suspects.stop()
    this._summary.stop()
    for (const queue of this._queues.values()) queue.stop()
  }

  /**
   * Takes a request's usage from an account.
   *
   * @param patience - ms that the request may wait for credit; the longest wait of any request by default
   * @param urgency - priority; more urgent requests of the account get its credit first
   * @returns synchronously when credit is available, or when the allocator has lately answered that it has none
   */
  admit (account: string, cost: number, patience?: Ms, urgency?: number): Admission | Promise<Admission> {
    return this._limits.has(account) ? this._queue(this._shardOf(account)).admit(account, cost, patience, urgency) : { kind: 'admitted', refund: () => {} }
  }

  /**
   * Handles, as an allocator, a report of another entry or of this entry itself.
   *
   * @returns undefined when this entry does not allocate, since it does not know the limits yet
   */
  report ({ shard, ...report }: UsageMessage): readonly UsageGrant[] | undefined {
    const { clock, log, kind, bounds, node, entryCount, isConfigured } = this._options
    if (!isConfigured()) return undefined
    if (report.entry !== node) this._peerReportAt = clock.now()
    if (this._mayMissOthers) return report.rows.map(({ account }) => ({ account, granted: 0, wait: reportWithin }))
    const allocator = this._allocators.get(shard) ?? new UsageAllocator()
    this._allocators.set(shard, allocator)
    const reporters = allocator.reporters
    const entries = entryCount()
    const grants = allocator.report(report, { bounds: bounds(), now: clock.now(), entries, limitOf: name => this._limits.get(name) })
    if (allocator.reporters !== reporters) log.info('usage', 'number of reporting entries has changed.', { kind, shard, reporters: allocator.reporters, before: reporters, entries })
    for (const { account, granted } of grants) this._summary.add(account, 'allocated', granted)
    return grants
  }

  /** Whether another entry, not known here yet, may be the allocator of the same accounts. */
  private get _mayMissOthers (): boolean {
    const now = this._options.clock.now()
    return now - (this._limitedSince ?? now) < startupGrace && now - this._peerReportAt > reportTtl
  }

  /**
   * Whether to report: also for a while after the last limit has ended, since other entries may still apply it and
   * learn of its end by these reports.
   */
  private get _isNeeded (): boolean { return this._limits.size > 0 || this._options.clock.now() - this._endedAt < reportAfterEnd }

  private get _shards (): number { return Math.max(1, Math.ceil(this._limits.size / accountsPerAllocator)) }

  private _shardOf (account: string): number {
    return this._shards === 1 ? 0 : rendezvousWeight(this._options.kind, account) % this._shards
  }

  private _queue (shard: number): CreditQueue {
    const known = this._queues.get(shard)
    if (known !== undefined) return known
    const { clock, log, node, waitsForCredit } = this._options
    const queue = new CreditQueue({ clock, log, node, startedAt: this._startedAt, waitsForCredit, summary: this._summary, isNeeded: () => this._isNeeded, report: report => this._report(shard, report) })
    this._queues.set(shard, queue)
    return queue
  }

  /**
   * Reports to the first candidate for the allocator that answers, and to this entry itself if none does.
   *
   * Callers wait for the answer. After each failure twice as many candidates are pinged at once, so that the sum of the
   * timeouts grows with the logarithm of the number of entries.
   */
  private async _report (shard: number, report: UsageReport): Promise<readonly UsageGrant[]> {
    let { covers } = report
    const failed = new Set<string>()
    for (let asked = 1; ; asked *= 2) {
      const [allocator, ...next] = this._allocatorsBefore(shard).filter(({ node }) => !failed.has(node)).slice(0, asked)
      if (allocator === undefined || this._stopped) {
        this._recordAllocator(shard, this._options.node)
        return this.report(this._message(shard, this._options.node, report, covers)) ?? []
      }
      const probes = next.map(peer => this._probe(peer))
      try {
        const grants = await this._options.report(allocator, this._message(shard, allocator.node, report, covers))
        this._recordAllocator(shard, allocator.node)
        return this._complete(report, grants)
      } catch (error) {
        // The allocator may have counted the time covered before its answer was lost.
        if (!isUncounted(error)) {
          covers = 0
          this._recordCounted(shard, allocator.node)
        }
        this._options.log.info('usage', 'allocator does not answer.', { kind: this._options.kind, keeper: allocator.node, shard, cause: (error as Error).message })
        this._suspects.add(allocator)
        failed.add(allocator.node)
      }
      await Promise.all(probes)
    }
  }

  private _message (shard: number, allocator: string, report: UsageReport, covers: Ms): UsageMessage {
    this._expireCounted(shard)
    return { ...report, covers, shard, entries: this._options.entryCount(), others: this._countOthers(shard, allocator) }
  }

  /** Number of allocators beside this one that may keep credit of this entry's part. */
  private _countOthers (shard: number, allocator: string): number {
    const { clock } = this._options
    const others = [...this._countedAt.get(shard)?.keys() ?? []].filter(other => other !== allocator)
    // The process before this one may have reported to an allocator just before its end.
    return Math.max(others.length, clock.now() - this._startedAt < reportTtl ? 1 : 0)
  }

  /** Deletes the allocators that keep no credit of this entry's part any more. */
  private _expireCounted (shard: number): void {
    const counted = this._countedAt.get(shard)
    const now = this._options.clock.now()
    for (const [allocator, at] of counted ?? []) if (now - at >= reportTtl) counted!.delete(allocator)
  }

  private _recordCounted (shard: number, allocator: string): void {
    const counted = this._countedAt.get(shard) ?? new Map<string, Ms>()
    this._countedAt.set(shard, counted.set(allocator, this._options.clock.now()))
  }

  private _recordAllocator (shard: number, allocator: string): void {
    this._recordCounted(shard, allocator)
    const before = this._answeredBy.get(shard)
    if (before === allocator) return
    this._answeredBy.set(shard, allocator)
    this._options.log.info('usage', 'reports to another allocator.', { kind: this._options.kind, shard, allocator, before })
  }

  /** Entries before this one in the allocator order that are not suspect; the first of them is the allocator. */
  private _allocatorsBefore (shard: number): readonly PeerAddress[] {
    const { node, kind, entries } = this._options
    const known = new Map(entries().map(entry => [entry.node, entry]))
    const order = rendezvousOrder(`${kind}/${shard}`, [...known.keys()])
    const own = order.indexOf(node)
    return order.slice(0, own < 0 ? order.length : own).filter(name => !this._suspects.has(name)).map(name => known.get(name)!)
  }

  private async _probe (peer: PeerAddress): Promise<void> {
    await this._options.ping(peer).catch((error: Error) => {
      this._options.log.info('usage', 'possible allocator does not answer.', { kind: this._options.kind, keeper: peer.node, cause: error.message })
      this._suspects.add(peer)
    })
  }

  /**
   * Adds default grants for rows that the answer left out. In the answer to a second report they would be missing
   * again.
   */
  private _complete ({ rows }: UsageReport, grants: readonly UsageGrant[]): readonly UsageGrant[] {
    const granted = new Set(grants.map(({ account }) => account))
    const missing = rows.filter(({ account }) => !granted.has(account))
    const assumed = missing.map(row => ({ account: row.account, ...this._options.defaultGrant(row) }))
    for (const { account, granted } of assumed) this._summary.add(account, 'assumed', granted)
    return [...grants, ...assumed]
  }
}

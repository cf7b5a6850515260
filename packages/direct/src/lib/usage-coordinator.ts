/**
 * Holds accounts to their limits, together with the other entries. An account is whatever has a limit over all entries: an
 * organisation's usage, or the requests that an upstream takes.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { type CreditLimit, rendezvousOrder, rendezvousWeight, type UsageBounds, type UsageGrant, UsageAllocator, type UsageReport, type UsageRow, reportTtl } from '@hazelford/decisions'
import { NoAnswer } from './json-client.js'
import { PeerSuspects } from './peer-suspects.js'
import type { PeerAddress } from './peer-table.js'
import { type Admission, CreditQueue } from './credit-queue.js'

/** A report to the entry that counts some accounts. */
export interface UsageMessage extends UsageReport { readonly shard: number }

/** What the desk needs of its entry. */
export interface UsageCoordinatorOptions {
  readonly node: string
  /** What is limited; each kind has keepers of its own. */
  readonly kind: 'usage' | 'upstream-limits'
  readonly clock: Clock
  readonly log: Log
  readonly bounds: () => UsageBounds
  /** Whether requests wait for credit that comes soon. */
  readonly waitsForCredit: boolean
  /** All entries that live. */
  readonly entries: () => readonly PeerAddress[]
  /** Entries that share each limit. */
  readonly entryCount: () => number
  /** Those in force, by account. */
  readonly limits: () => ReadonlyMap<string, CreditLimit>
  /** What to take for a row of which the keeper says nothing. */
  readonly defaultGrant: (row: UsageRow) => Omit<UsageGrant, 'account'>
  readonly report: (peer: PeerAddress, msg: UsageMessage) => Promise<readonly UsageGrant[]>
  readonly ping: (peer: PeerAddress) => Promise<void>
}

/**
 * Accounts counted by one entry. Each entry reports to each keeper some times a second, so few keepers cost
 * little; with more accounts than this, one keeper's host would be busy with nothing else.
 */
const accountsEach = 500
/**
 * Time since the first limit was known in which an entry that hears no other one lends itself nothing: it may have started
 * during an outage of the store, and know of nobody yet.
 */
const aloneAfter: Ms = 2_000
/** Entries report at least this often to whom they think counts. */
const hearWithin: Ms = 400
/** Time for which an entry goes on reporting after its last limit has ended. */
const reportAfterEnd: Ms = 2_000

/** One entry's part: its credit, and what it lends to others. */
export class UsageCoordinator {
  private readonly _lines = new Map<number, CreditQueue>()
  private readonly _keepers = new Map<number, UsageAllocator>()
  private readonly _suspects: PeerSuspects
  /** When another entry reported here. */
  private _othersHeardAt: Ms = -Infinity
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
  }

  /** Takes the limits that are in force now. */
  limitsChanged (): void {
    const hadLimits = this._limits.size > 0
    this._limits = this._options.limits()
    if (this._limits.size > 0) this._limitedSince ??= this._options.clock.now()
    if (hadLimits && this._limits.size === 0) this._endedAt = this._options.clock.now()
    const isFree = (account: string): boolean => !this._limits.has(account)
    for (const line of this._lines.values()) line.release(isFree)
    for (const keeper of this._keepers.values()) keeper.forget(isFree)
    // An entry without requests reports too: its part of each rate is lent to the others by whoever hears it.
    if (this._limits.size > 0) for (let shard = 0; shard < this._shards; shard++) this._line(shard)
  }

  stop (): void {
    this._stopped = true
    this._suspects.stop()
    for (const line of this._lines.values()) line.stop()
  }

  /**
   * Takes what a request uses of an account.
   *
   * @returns at once where credit is at hand, or lately was not to be had
   */
  admit (account: string, cost: number): Admission | Promise<Admission> {
    return this._limits.has(account) ? this._line(this._shardOf(account)).admit(account, cost) : { kind: 'admitted', refund: () => {} }
  }

  /** Another entry reports, or this one to itself. */
  report ({ shard, ...report }: UsageMessage): readonly UsageGrant[] {
    const { clock, bounds, node, entryCount } = this._options
    if (report.entry !== node) this._othersHeardAt = clock.now()
    if (this._mayMissOthers) return report.rows.map(({ account }) => ({ account, granted: 0, wait: hearWithin }))
    const keeper = this._keepers.get(shard) ?? new UsageAllocator()
    this._keepers.set(shard, keeper)
    return keeper.report(report, { bounds: bounds(), now: clock.now(), entries: entryCount(), limitOf: name => this._limits.get(name) })
  }

  /** Whether others may count the same accounts, of whom nothing is known yet. */
  private get _mayMissOthers (): boolean {
    const now = this._options.clock.now()
    return now - (this._limitedSince ?? now) < aloneAfter && now - this._othersHeardAt > reportTtl
  }

  /** Others may keep to a limit that has ended; they hear of its end from who reports to them. */
  private get _isNeeded (): boolean { return this._limits.size > 0 || this._options.clock.now() - this._endedAt < reportAfterEnd }

  private get _shards (): number { return Math.max(1, Math.ceil(this._limits.size / accountsEach)) }

  private _shardOf (account: string): number {
    return this._shards === 1 ? 0 : rendezvousWeight(this._options.kind, account) % this._shards
  }

  private _line (shard: number): CreditQueue {
    const known = this._lines.get(shard)
    if (known !== undefined) return known
    const { clock, log, node, waitsForCredit: isPatient } = this._options
    const line = new CreditQueue({ clock, log, node, startedAt: this._startedAt, waitsForCredit: isPatient, isNeeded: () => this._isNeeded, report: report => this._report(shard, report) })
    this._lines.set(shard, line)
    return line
  }

  /**
   * Reports to the first keeper that answers; at last to this entry itself.
   *
   * Callers wait for the answer. After each failure twice as many are asked whether they answer: timeouts grow with the logarithm
   * of the entries.
   */
  private async _report (shard: number, report: UsageReport): Promise<readonly UsageGrant[]> {
    let { covers } = report
    const failed = new Set<string>()
    for (let asked = 1; ; asked *= 2) {
      const [keeper, ...next] = this._keepersBefore(shard).filter(({ node }) => !failed.has(node)).slice(0, asked)
      if (keeper === undefined || this._stopped) return this.report({ ...report, covers, shard })
      const probes = next.map(peer => this._probe(peer))
      try {
        return this._complete(report, await this._options.report(keeper, { ...report, covers, shard }))
      } catch (error) {
        // It may have counted the time before its answer was lost.
        if (!(error instanceof NoAnswer && !error.sent)) covers = 0
        this._options.log.info('usage', 'keeper does not answer.', { kind: this._options.kind, keeper: keeper.node, shard, cause: (error as Error).message })
        this._suspects.add(keeper)
        failed.add(keeper.node)
      }
      await Promise.all(probes)
    }
  }

  /** Who counts rather than this entry, as far as it answers; the first does if it can. */
  private _keepersBefore (shard: number): readonly PeerAddress[] {
    const { node, kind, entries } = this._options
    const known = new Map(entries().map(entry => [entry.node, entry]))
    const order = rendezvousOrder(`${kind}/${shard}`, [...known.keys()])
    const own = order.indexOf(node)
    return order.slice(0, own < 0 ? order.length : own).filter(name => !this._suspects.has(name)).map(name => known.get(name)!)
  }

  private async _probe (peer: PeerAddress): Promise<void> {
    await this._options.ping(peer).catch((error: Error) => {
      this._options.log.info('usage', 'possible keeper does not answer.', { kind: this._options.kind, keeper: peer.node, cause: error.message })
      this._suspects.add(peer)
    })
  }

  /** Adds what a keeper says nothing of. Asked again meanwhile, it would say nothing again. */
  private _complete ({ rows }: UsageReport, grants: readonly UsageGrant[]): readonly UsageGrant[] {
    const told = new Set(grants.map(({ account }) => account))
    const untold = rows.filter(({ account }) => !told.has(account))
    return [...grants, ...untold.map(row => ({ account: row.account, ...this._options.defaultGrant(row) }))]
  }
}

/**
 * Takes what upstreams say of themselves in their answers, and holds this entry to it together with the others.
 */
import { assertNever, type Clock, type Log, type Ms } from '@hazelford/core'
import { type CreditLimit, type NoticeChange, rendezvousOrder, type UsageBounds, type UsageGrant } from '@hazelford/decisions'
import type { UpstreamNotice } from '@hazelford/ports'
import type { EntryMetrics } from './metrics.js'
import type { NoticeMessage, NoticeRow } from './notice-messages.js'
import type { PeerClient } from './peer-client.js'
import type { LimitReply, LimitReport } from './peer-messages.js'
import type { PeerAddress } from './peer-table.js'
import type { Upstream } from './upstream.js'
import { UsageCoordinator } from './usage-coordinator.js'
import type { Admission } from './credit-queue.js'

/** What the desk needs of its entry. */
export interface NoticeCoordinatorOptions {
  readonly node: string
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Pick<EntryMetrics, 'notices'>
  readonly client: Pick<PeerClient, 'reportLimits' | 'sendNotices' | 'ping'>
  /** All entries that live. */
  readonly entries: () => readonly PeerAddress[]
  /** Entries that share an upstream's limit. */
  readonly entryCount: () => number
  /** An upstream has said that it leaves. */
  readonly leavingAnnounced: (upstream: Upstream) => void
  /** An upstream has asked this entry to leave it alone. */
  readonly backoffRequested: (upstream: Upstream) => void
  /** Numbers below 1. */
  readonly random?: () => number
  readonly upstreams: { readonly all: () => Iterable<Upstream>, readonly get: (id: string) => Upstream | undefined }
}

const keepersOf = 'upstream-limits'
/**
 * How far an upstream's limit may be passed: requests that were let in may come to it together, when what they waited for
 * ends at one moment.
 */
export const limitBounds: UsageBounds = { window: 4_000, overage: 0.25, slack: 2 }
/** An upstream that wants nothing at all is asked now and then, or its next word would never be heard. */
const leastRate = 0.05
/** Time over which entries that hear of a leaving upstream tell the others. */
const tellSpread: Ms = 150
/** Upstreams told of in one message; where more have said something, others are told of the next time. */
const mostRows = 200
/** Pause before a keeper that does not know an upstream yet is asked again. */
const untoldPause: Ms = 500

/** Words of all upstreams at one entry. */
export class NoticeCoordinator {
  /** Requests that upstreams take, lent by a keeper to all entries. */
  private readonly _limits: UsageCoordinator
  /** Upstreams of which another entry has told that they leave. */
  private readonly _told = new WeakSet<Upstream>()

  constructor (private readonly _options: NoticeCoordinatorOptions) {
    const { node, clock, log, client, entries, entryCount } = _options
    this._limits = new UsageCoordinator({
      node,
      kind: keepersOf,
      clock,
      log,
      bounds: () => limitBounds,
      // Another upstream may have room.
      waitsForCredit: false,
      entries,
      entryCount,
      limits: () => this._limited(),
      defaultGrant: () => ({ granted: 0, wait: untoldPause }),
      report: async (peer, msg) => this._heardReply(await client.reportLimits(peer, { ...msg, notices: this._rows() })),
      ping: peer => client.ping(peer)
    })
  }

  stop (): void { this._limits.stop() }

  /** Takes one request of what an upstream takes; at once where it names no limit. */
  admit (upstream: Upstream): Admission | Promise<Admission> { return this._limits.admit(upstream.id, 1) }

  /** What was known of an incarnation holds no more. */
  forget (): void { this._limits.limitsChanged() }

  /**
   * Takes the notice of an answer.
   *
   * @param upstream - that gave it
   * @param notice - as the answer says
   * @param took - ms since the answer was asked for
   */
  applyNotice (upstream: Upstream, notice: UpstreamNotice, took: Ms): void {
    const now = this._options.clock.now()
    for (const change of upstream.notices.note(notice, now - took, now)) this._changed(upstream, change, 'its answer')
  }

  /** Another entry reports what it uses, and what upstreams have told it. */
  report ({ notices, ...report }: LimitReport): LimitReply {
    this.heard({ notices })
    return { grants: this._limits.report(report), notices: this._rows() }
  }

  /** Another entry tells what upstreams have told it. */
  heard ({ notices }: NoticeMessage): void {
    const now = this._options.clock.now()
    for (const { upstream: id, startedAt, leaving, limit } of notices) {
      const upstream = this._options.upstreams.get(id)
      if (upstream === undefined || upstream.record.startedAt !== startedAt) continue
      if (leaving) this._told.add(upstream)
      if (leaving && upstream.notices.recordLeaving()) this._changed(upstream, { kind: 'leaving' }, 'another entry')
      const change = limit && upstream.notices.recordLimit({ rate: limit.rate ?? undefined, at: now - limit.age })
      if (change !== undefined) this._changed(upstream, change, 'another entry')
    }
  }

  private _heardReply ({ grants, notices }: LimitReply): readonly UsageGrant[] {
    this.heard({ notices })
    return grants
  }

  private _limited (): ReadonlyMap<string, CreditLimit> {
    const limited = new Map<string, CreditLimit>()
    for (const { id, notices: { limit: { rate } } } of this._options.upstreams.all()) {
      if (rate !== undefined) limited.set(id, { rate: Math.max(leastRate, rate), burst: 0 })
    }
    return limited
  }

  /** What upstreams have said, also of limits that have ended: another entry may not have heard. */
  private _rows (): readonly NoticeRow[] {
    const { upstreams, random = Math.random } = this._options
    const saying = [...upstreams.all()].filter(({ notices }) => notices.leaving || notices.limit.everNamed)
    const first = saying.length > mostRows ? Math.floor(random() * saying.length) : 0
    return [...saying.slice(first), ...saying.slice(0, first)].slice(0, mostRows).map(upstream => this._row(upstream))
  }

  private _row ({ id, record: { startedAt }, notices: { leaving, limit } }: Upstream): NoticeRow {
    return {
      upstream: id,
      ...(startedAt === undefined ? {} : { startedAt }),
      leaving,
      ...(limit.everNamed ? { limit: { rate: limit.rate ?? null, age: this._options.clock.now() - limit.at } } : {})
    }
  }

  private _changed (upstream: Upstream, change: NoticeChange, source: 'its answer' | 'another entry'): void {
    const { id, record } = upstream
    const { log, metrics } = this._options
    metrics.notices.inc({ notice: change.kind })
    const about = { upstream: id, service: record.service, source }
    switch (change.kind) {
      case 'limit':
        if (change.rate === undefined) log.info('membership', 'upstream names no limit any more.', { ...about, before: change.before })
        else log.info('membership', 'upstream names a limit.', { ...about, rate: change.rate, before: change.before })
        this._limits.limitsChanged()
        if (change.before === undefined && this._isKeeper) this._tellOthers(upstream)
        return
      case 'leaving':
        log.info('membership', 'upstream says that it leaves.', { ...about, listedAs: record.state })
        this._options.leavingAnnounced(upstream)
        if (source === 'its answer') this._tellLeaving(upstream)
        return
      case 'rest':
        log.info('membership', 'upstream asks for rest.', { ...about, lasts: Math.round(change.lasts) })
        return this._options.backoffRequested(upstream)
      default: return assertNever(change)
    }
  }

  private get _isKeeper (): boolean {
    const { node, entries } = this._options
    return rendezvousOrder(`${keepersOf}/0`, entries().map(entry => entry.node))[0] === node
  }

  /**
   * Tells the others of an upstream that leaves, unless one of them is faster: all that send there hear it at about the same
   * time.
   */
  private _tellLeaving (upstream: Upstream): void {
    const { clock, random = Math.random } = this._options
    clock.after(random() * tellSpread, () => { if (!this._told.has(upstream)) this._tellOthers(upstream) })
  }

  /** An entry that has sent nothing there yet would not ask for credit, and its part of the limit would lie unused. */
  private _tellOthers (upstream: Upstream): void {
    const { node, entries, client, log } = this._options
    const notices = [this._row(upstream)]
    for (const peer of entries()) {
      if (peer.node === node) continue
      client.sendNotices(peer, { notices }).catch((error: Error) => log.info('peers', 'not told what upstreams say.', { peer: peer.node, cause: error.message }))
    }
  }
}

/**
 * Applies the notices that upstreams give in their answers, and has all entries keep to them together.
 */
import { assertNever, type Clock, type Log, type Ms } from '@hazelford/core'
import { type CreditLimit, type NoticeChange, rendezvousOrder, type UsageBounds, type UsageGrant } from '@hazelford/decisions'
import type { UpstreamNotice } from '@hazelford/ports'
import type { EntryMetrics } from '../metrics.js'
import type { NoticeMessage, NoticeRow } from './notice-messages.js'
import type { PeerClient } from '../peers/peer-client.js'
import type { LimitReply, LimitReport } from '../peers/peer-messages.js'
import type { PeerAddress } from '../peers/peer-table.js'
import type { Upstream } from './upstream.js'
import { UsageCoordinator } from '../usage/usage-coordinator.js'
import type { Admission } from '../usage/credit-queue.js'

/** What the coordinator needs of its entry. */
export interface NoticeCoordinatorOptions {
  readonly node: string
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Pick<EntryMetrics, 'notices'>
  readonly client: Pick<PeerClient, 'reportLimits' | 'sendNotices' | 'ping'>
  /** All entries that are running. */
  readonly entries: () => readonly PeerAddress[]
  /** Number of entries that share an upstream's limit. */
  readonly entryCount: () => number
  /** Called when an upstream has announced that it will leave. */
  readonly leavingAnnounced: (upstream: Upstream) => void
  /** Called when an upstream has asked this entry to back off. */
  readonly backoffRequested: (upstream: Upstream) => void
  /** Random numbers from 0 to below 1. */
  readonly random?: () => number
  readonly upstreams: { readonly all: () => Iterable<Upstream>, readonly get: (id: string) => Upstream | undefined }
}

const accountKind = 'upstream-limits'
/**
 * How far an upstream's limit may be exceeded: admitted requests that wait for the same event may reach the upstream
 * together when that event occurs.
 */
export const limitBounds: UsageBounds = { window: 4_000, overage: 0.25, slack: 2 }
/**
 * Least rate at which an upstream is sent requests, also with a limit of 0. Notices come only in answers, so an upstream
 * that is sent no requests could never raise its limit.
 */
const minRate = 0.05
/** Time over which the entries that receive an upstream's notice of leaving spread their messages about it. */
const notifySpread: Ms = 150
/**
 * Largest number of upstreams in one message. When more have given notices, each message starts at a random one of
 * them.
 */
const maxRows = 200
/** Pause before credit of an upstream is requested again from an allocator that does not know the upstream yet. */
const unknownUpstreamPause: Ms = 500

/** Notices of all upstreams at one entry. */
export class NoticeCoordinator {
  /** Limits on the requests that upstreams accept, with credit granted by an allocator. */
  private readonly _limits: UsageCoordinator
  /** Upstreams whose leaving this entry has learned from another entry. */
  private readonly _learnedFromPeers = new WeakSet<Upstream>()

  constructor (private readonly _options: NoticeCoordinatorOptions) {
    const { node, clock, log, client, entries, entryCount } = _options
    this._limits = new UsageCoordinator({
      node,
      kind: accountKind,
      clock,
      log,
      bounds: () => limitBounds,
      // Another upstream may have room, so a request is placed there instead of waiting for credit of this one.
      waitsForCredit: false,
      entries,
      entryCount,
      // The notices in a report name the limits of its accounts.
      isConfigured: () => true,
      limits: () => this._limitsInForce(),
      defaultGrant: () => ({ granted: 0, wait: unknownUpstreamPause }),
      report: async (peer, msg) => this._applyReply(await client.reportLimits(peer, { ...msg, notices: this._noticeRows() })),
      ping: peer => client.ping(peer)
    })
  }

  stop (): void { this._limits.stop() }

  /** Takes one request from an upstream's limit; synchronous for an upstream that announces no limit. */
  admit (upstream: Upstream): Admission | Promise<Admission> { return this._limits.admit(upstream.id, 1) }

  /** Drops the limits of incarnations that are gone. */
  forget (): void { this._limits.limitsChanged() }

  /**
   * Applies the notice in an upstream's answer.
   *
   * @param upstream - sender of the answer
   * @param notice - as read from the answer
   * @param took - ms since the request for the answer was sent
   */
  applyNotice (upstream: Upstream, notice: UpstreamNotice, took: Ms): void {
    const now = this._options.clock.now()
    for (const change of upstream.notices.applyNotice(notice, now - took, now)) this._handleChange(upstream, change, 'its answer')
  }

  /** Handles another entry's report of its usage and of upstreams' notices. */
  report ({ notices, ...report }: LimitReport): LimitReply {
    this.applyNotices({ notices })
    return { grants: this._limits.report(report) ?? [], notices: this._noticeRows() }
  }

  /** Applies upstreams' notices that another entry received. */
  applyNotices ({ notices }: NoticeMessage): void {
    const now = this._options.clock.now()
    for (const { upstream: id, startedAt, leaving, limit } of notices) {
      const upstream = this._options.upstreams.get(id)
      if (upstream === undefined || upstream.record.startedAt !== startedAt) continue
      if (leaving) this._learnedFromPeers.add(upstream)
      if (leaving && upstream.notices.recordLeaving()) this._handleChange(upstream, { kind: 'leaving' }, 'another entry')
      const change = limit && upstream.notices.recordLimit({ rate: limit.rate ?? undefined, at: now - limit.age })
      if (change !== undefined) this._handleChange(upstream, change, 'another entry')
    }
  }

  private _applyReply ({ grants, notices }: LimitReply): readonly UsageGrant[] {
    this.applyNotices({ notices })
    return grants
  }

  private _limitsInForce (): ReadonlyMap<string, CreditLimit> {
    const limited = new Map<string, CreditLimit>()
    for (const { id, notices: { limit: { rate } } } of this._options.upstreams.all()) {
      if (rate !== undefined) limited.set(id, { rate: Math.max(minRate, rate), burst: 0 })
    }
    return limited
  }

  /**
   * The latest notices of upstreams. Limits that have ended are included, since another entry may not know that they
   * have.
   */
  private _noticeRows (): readonly NoticeRow[] {
    const { upstreams, random = Math.random } = this._options
    const announcing = [...upstreams.all()].filter(({ notices }) => notices.leaving || notices.limit.everNamed)
    const first = announcing.length > maxRows ? Math.floor(random() * announcing.length) : 0
    return [...announcing.slice(first), ...announcing.slice(0, first)].slice(0, maxRows).map(upstream => this._noticeRow(upstream))
  }

  private _noticeRow ({ id, record: { startedAt }, notices: { leaving, limit } }: Upstream): NoticeRow {
    return {
      upstream: id,
      ...(startedAt === undefined ? {} : { startedAt }),
      leaving,
      ...(limit.everNamed ? { limit: { rate: limit.rate ?? null, age: this._options.clock.now() - limit.at } } : {})
    }
  }

  private _handleChange (upstream: Upstream, change: NoticeChange, source: 'its answer' | 'another entry'): void {
    const { id, record } = upstream
    const { log, metrics } = this._options
    metrics.notices.inc({ notice: change.kind })
    const about = { upstream: id, service: record.service, source }
    switch (change.kind) {
      case 'limit':
        if (change.rate === undefined) log.info('membership', 'upstream names no limit any more.', { ...about, before: change.before })
        else log.info('membership', 'upstream names a limit.', { ...about, rate: change.rate, before: change.before })
        this._limits.limitsChanged()
        if (change.before === undefined && this._isAllocator) this._notifyOthers(upstream)
        return
      case 'leaving':
        log.info('membership', 'upstream says that it leaves.', { ...about, listedAs: record.state })
        this._options.leavingAnnounced(upstream)
        if (source === 'its answer') this._notifyLeaving(upstream)
        return
      case 'rest':
        log.info('membership', 'upstream asks to back off.', { ...about, lasts: Math.round(change.lasts) })
        return this._options.backoffRequested(upstream)
      default: return assertNever(change)
    }
  }

  private get _isAllocator (): boolean {
    const { node, entries } = this._options
    return rendezvousOrder(`${accountKind}/0`, entries().map(entry => entry.node))[0] === node
  }

  /**
   * Notifies the other entries of an upstream that leaves, after a random delay and unless another entry does so first.
   * All entries that send requests to the upstream receive its notice at about the same time; without the delay each of
   * them would notify all others.
   */
  private _notifyLeaving (upstream: Upstream): void {
    const { clock, random = Math.random } = this._options
    clock.after(random() * notifySpread, () => { if (!this._learnedFromPeers.has(upstream)) this._notifyOthers(upstream) })
  }

  /**
   * Sends an upstream's notice to all entries. An entry that has sent the upstream no request would otherwise not
   * request credit, and its share of the limit would stay unused.
   */
  private _notifyOthers (upstream: Upstream): void {
    const { node, entries, client, log } = this._options
    const notices = [this._noticeRow(upstream)]
    for (const peer of entries()) {
      if (peer.node === node) continue
      client.sendNotices(peer, { notices }).catch((error: Error) => log.info('peers', 'upstream notices not delivered.', { peer: peer.node, cause: error.message }))
    }
  }
}

/**
 * Claims engines in the store and orders those that this entry holds.
 */
import type { CancelTimer, Clock, Log, Ms } from '@hazelford/core'
import { type RequestedAdapter, claimSequences, type EngineAssignment, ReclaimCooldown, pickHandover } from '@hazelford/decisions'
import type { EngineControl, EngineSpec, Store } from '@hazelford/ports'
import { type LoadRequest, type LoadRequestOutcome, EngineHolder } from './engine-holder.js'
import type { LeaseRenewer } from './lease-renewer.js'
import type { LoadDigest } from './load-digest.js'
import type { TakeoverMessage } from './peer-messages.js'
import type { Upstream } from './upstream.js'
import { holderKey, type PeerAddress, type PeerTable } from './peer-table.js'

/** What the desk needs of its entry. */
export interface EngineCoordinatorOptions {
  readonly self: PeerAddress
  readonly store: Store
  readonly clock: Clock
  readonly log: Log
  readonly peers: PeerTable
  readonly upstreams: () => Iterable<Upstream>
  readonly engineSpec: (service: string) => EngineSpec | undefined
  readonly control: (upstream: Upstream) => EngineControl
  readonly loaded: (took: Ms) => void
  /** Ms that a request of a service stays in its place, as measured; 0 when unknown. */
  readonly serviceTime: (service: string) => Ms
  /** Tells the former holder of an engine that it has a new one. */
  readonly notifyTakeover: (former: PeerAddress, msg: TakeoverMessage) => Promise<void>
  /** Ms within which two holders must not order one engine in turn. */
  readonly holderTurn: Ms
  /** Ms after the start before the first claim. */
  readonly settleTime?: Ms
}

/**
 * How long the next in line waits for the one before it to claim an engine. A claim takes a
 * few ms and is seen by the others within a watch's pause.
 */
const claimStep: Ms = 500
/**
 * Time after the start in which the other entries register; all start within 0.3 s, and one
 * that claimed at once would hold every engine.
 */
const defaultSettleTime: Ms = 900
/**
 * Time beyond a turn for which an entry must be known, and an engine be held, before the engine is handed over: an entry
 * that stops takes about as long to leave.
 */
const handoverMargin: Ms = 1_000
/** Pause between two handovers: each must be seen by all before the next is decided. */
const handoverPause: Ms = 1_000
/** Keys that one transaction may name. */
const claimsAtOnce = 16

/** The engines this entry orders. */
export class EngineCoordinator {
  private readonly _holders = new Map<string, EngineHolder>()
  /** Engines without a holder, and since when. */
  private readonly _free = new Map<string, Ms>()
  private readonly _startedAt: Ms
  private readonly _formerHolds: ReclaimCooldown
  private readonly _handoverAfter: Ms
  private readonly _settleTime: Ms
  /** Entries listed, and since when. */
  private readonly _listed = new Map<string, Ms>()
  private _claiming = false
  private _handing = false
  /** Fences of engines handed over, for as long as the store's last word still lists us as their holder. */
  private readonly _givenUp = new Map<string, number>()
  private _handedAt: Ms = -Infinity
  private _timer: CancelTimer | undefined
  private _stopped = false

  constructor (private readonly _options: EngineCoordinatorOptions, private readonly _lease: () => LeaseRenewer) {
    this._startedAt = _options.clock.now()
    const { holderTurn, settleTime } = _options
    this._formerHolds = new ReclaimCooldown(holderTurn)
    this._handoverAfter = holderTurn + handoverMargin
    this._settleTime = settleTime ?? defaultSettleTime
  }

  holder (upstream: string): EngineHolder | undefined { return this._holders.get(upstream) }

  /** Loads of the engines that this entry holds. */
  get loads (): readonly LoadDigest[] { return [...this._holders].map(([upstream, { load }]) => ({ upstream, age: 0, ...load })) }

  /** Asks a holder of this entry; undefined when it doesn't hold the engine. */
  requestLoad (upstream: string, ask: LoadRequest): Promise<LoadRequestOutcome> | undefined { return this._holders.get(upstream)?.requestLoad(ask) }

  /** Loads a new version wherever an older one is held here. */
  prefetch (want: RequestedAdapter): void {
    for (const holder of this._holders.values()) {
      if (want.adapter !== undefined && holder.holds(want.model, want.adapter)) holder.prefetch(want)
    }
  }

  /** The lease ended: somebody else may order from now on. */
  releaseAll (): void {
    for (const [id, holder] of this._holders) this._drop(id, holder)
  }

  /** Claims and orders nothing from here on, though its keys may stand in the store for a while. */
  stop (): void {
    this._stopped = true
    this.releaseAll()
  }

  /** An engine has started again under its id: it holds nothing and counts orders anew. */
  restarted (upstream: Upstream): void {
    this._holders.get(upstream.id)?.restart(upstream.record.startedAt, this._options.control(upstream))
  }

  /** Looks at what changed in the store, soon. */
  scheduleReconcile (): void {
    if (this._timer !== undefined) return
    this._timer = this._options.clock.after(20, () => {
      this._timer = undefined
      this._review()
    })
  }

  private _review (): void {
    if (this._stopped) return
    this._dropLost()
    const now = this._options.clock.now()
    this._noteEntries(now)
    const claims = this._claimable(now)
    if (claims.length > 0) this._claim(claims).catch((error: Error) => this._options.log.warn('loads', 'claim failed.', { error: error.message }))
    if (this._free.size > 0) this._options.clock.after(claimStep / 2, () => this.scheduleReconcile())
    else this._considerHandover(now)
  }

  private _noteEntries (now: Ms): void {
    const { nodes } = this._options.peers
    for (const node of this._listed.keys()) if (!nodes.includes(node)) this._listed.delete(node)
    for (const node of nodes) if (!this._listed.has(node)) this._listed.set(node, now)
  }

  /** Entries that have been listed long enough to be given engines, and who holds what. */
  private _settledShares (now: Ms): EngineAssignment {
    const entries = [...this._listed].filter(([, since]) => now - since >= this._handoverAfter).map(([node]) => node)
    return { entries, holders: this._knownHolders() }
  }

  /** Holders of engines that live; keys of those that are gone stay until their holder's lease ends. */
  private _knownHolders (): ReadonlyMap<string, string> {
    const living = new Set(this._engines().map(({ id }) => id))
    return new Map(this._options.peers.holders.filter(({ upstream }) => living.has(upstream)).map(({ upstream, node }) => [upstream, node]))
  }

  private _considerHandover (now: Ms): void {
    if (this._handing || this._claiming || now - this._handedAt < handoverPause || !this._lease().valid) return
    const handover = pickHandover(this._options.self.node, this._settledShares(now), engine => {
      const holder = this._holders.get(engine)
      return holder !== undefined && now - holder.heldSince >= this._handoverAfter
    })
    if (handover === undefined) return
    this._handing = true
    this._handOver(handover.engine, handover.to)
      .catch((error: Error) => this._options.log.warn('loads', 'handover failed.', { upstream: handover.engine, error: error.message }))
      .finally(() => {
        this._handing = false
        this._handedAt = this._options.clock.now()
        this._options.clock.after(handoverPause, () => this.scheduleReconcile())
      })
  }

  /** Gives an engine up, once no order of ours is under way there: the next holder's come after all of ours. */
  private async _handOver (upstream: string, to: string): Promise<void> {
    const { store, log } = this._options
    const holder = this._holders.get(upstream)
    if (holder === undefined) return
    await holder.finish()
    this._drop(upstream, holder)
    const key = holderKey(upstream)
    const outcome = await store.commit({ conditions: [{ key, revision: holder.fence }], puts: [], removals: [key] })
    // Unanswered or refused, our own key is still listed here and the engine is claimed anew.
    if (outcome.isOk() && outcome.value.kind === 'stored') this._givenUp.set(upstream, holder.fence)
    log.info('loads', 'engine handed over.', { upstream, fence: holder.fence, to, outcome: outcome.isOk() ? outcome.value.kind : outcome.error.message })
  }

  /** Drops engines that leave or are gone, or that somebody else holds by now. */
  private _dropLost (): void {
    const { peers } = this._options
    const living = new Set([...this._options.upstreams()].filter(({ record }) => record.state === 'ready').map(({ id }) => id))
    for (const [id, holder] of this._holders) {
      const record = peers.holder(id)
      const taken = record !== undefined && record.fence > holder.fence
      if (living.has(id) && !taken) continue
      this._release(id, holder, taken ? 'held by another' : 'leaving or gone', record?.fence)
    }
  }

  private _claimable (now: Ms): readonly Upstream[] {
    const { peers, self, clock } = this._options
    const claimable: Upstream[] = []
    const seen = new Set<string>()
    const orders = claimSequences(this._unheld().map(({ id }) => id), { entries: peers.nodes, holders: this._knownHolders() })
    const settling = clock.now() - this._startedAt < this._settleTime
    if (settling || !this._lease().valid) this._options.clock.after(this._settleTime / 3, () => this.scheduleReconcile())
    if (!this._lease().valid) return []
    for (const upstream of this._engines()) {
      if (this._holders.has(upstream.id)) continue
      const holder = peers.holder(upstream.id)
      // Our own key of an earlier life: nobody else orders this engine.
      const ours = holder?.node === self.node
      if (holder !== undefined && (!ours || this._givenUp.get(upstream.id) === holder.fence)) continue
      seen.add(upstream.id)
      const since = this._free.get(upstream.id) ?? now
      this._free.set(upstream.id, since)
      const rank = orders.get(upstream.id)?.indexOf(self.node) ?? -1
      const mayReturn = peers.former(upstream.id)?.node === self.node || this._formerHolds.mayReclaim(upstream.id, now)
      if (ours || (!settling && mayReturn && rank >= 0 && now - since >= rank * claimStep)) claimable.push(upstream)
    }
    for (const id of this._free.keys()) if (!seen.has(id)) this._free.delete(id)
    return claimable.slice(0, claimsAtOnce)
  }

  /** Engines that can be ordered. */
  private _engines (): readonly Upstream[] {
    return [...this._options.upstreams()].filter(({ record }) => record.state === 'ready' && this._options.engineSpec(record.service) !== undefined)
  }

  private _unheld (): readonly Upstream[] {
    return this._engines().filter(({ id }) => this._options.peers.holder(id) === undefined)
  }

  private async _claim (upstreams: readonly Upstream[]): Promise<void> {
    const { store, self, peers, log } = this._options
    const { lease } = this._lease()
    if (this._claiming || this._handing || lease === undefined) return
    this._claiming = true
    const value = JSON.stringify(self)
    const txn = {
      conditions: upstreams.map(({ id }) => ({ key: holderKey(id), revision: peers.holderRevision(id) })),
      puts: upstreams.map(({ id }) => ({ key: holderKey(id), value, lease })),
      removals: []
    }
    const outcome = await store.commit(txn)
    if (outcome.isErr()) {
      // If it took effect after all, our own key comes back by the watch and is claimed anew.
      log.info('loads', 'claim unanswered.', { upstreams: upstreams.map(({ id }) => id), cause: outcome.error.message })
    } else if (outcome.value.kind === 'stored') {
      const { revision } = outcome.value
      await Promise.all(upstreams.map(({ id }) => this._tellFormer(id, revision)))
      if (this._lease().lease === lease && !this._stopped) for (const upstream of upstreams) this._hold(upstream, revision)
    } else {
      log.info('loads', 'claim lost.', { upstreams: upstreams.map(({ id }) => id), outcome: outcome.value.kind })
    }
    this._claiming = false
    this.scheduleReconcile()
  }

  /**
   * Tells the former holder before the first order.
   *
   * The store may take away the keys of an entry that it turns away, long before the lease would have
   * ended. That entry goes on ordering, its orders come after ours with an older fencing token, and on
   * engines that don't check it both hold. It can't hear the store, but mostly it hears us.
   */
  private async _tellFormer (upstream: string, fence: number): Promise<void> {
    const { peers, self, log, notifyTakeover: tellTaken } = this._options
    const former = peers.former(upstream)
    if (former === undefined || former.node === self.node) return
    await tellTaken(former, { upstream, fence }).catch((error: Error) => {
      log.info('loads', 'former holder does not answer.', { upstream, fence, former: former.node, formerFence: former.fence, cause: error.message })
    })
  }

  /** Stops ordering an engine that another entry has claimed since. */
  receiveTakeover ({ upstream, fence }: TakeoverMessage): void {
    const holder = this._holders.get(upstream)
    if (holder === undefined || holder.fence >= fence) return
    this._release(upstream, holder, 'held by another', fence)
  }

  private _release (upstream: string, holder: EngineHolder, cause: 'held by another' | 'leaving or gone', newFence: number | undefined): void {
    this._drop(upstream, holder)
    this._options.log.info('loads', 'engine released.', { upstream, fence: holder.fence, cause, newFence })
  }

  /** Ends the orders to an engine, and remembers when. */
  private _drop (upstream: string, holder: EngineHolder): void {
    holder.release()
    this._holders.delete(upstream)
    this._formerHolds.left(upstream, this._options.clock.now())
  }

  private _hold (upstream: Upstream, fence: number): void {
    const { clock, log, self, control, engineSpec, serviceTime: stay, loaded } = this._options
    const spec = engineSpec(upstream.record.service)
    if (spec === undefined) return
    this._free.delete(upstream.id)
    this._givenUp.delete(upstream.id)
    this._holders.get(upstream.id)?.release()
    this._holders.set(upstream.id, new EngineHolder({
      upstream: upstream.id,
      node: self.node,
      fence,
      spec,
      control: control(upstream),
      ...(upstream.record.startedAt === undefined ? {} : { startedAt: upstream.record.startedAt }),
      clock,
      log,
      mayOrder: () => this._lease().valid,
      backoffUntil: () => upstream.notices.backoffUntil,
      serviceTime: () => stay(upstream.record.service),
      loaded
    }))
    log.info('loads', 'engine held.', { upstream: upstream.id, fence })
  }
}

/**
 * Claims engines in the store and runs an {@link EngineHolder} for each engine that this entry holds.
 */
import type { CancelTimer, Clock, Log, Ms } from '@hazelford/core'
import { type RequestedAdapter, claimSequences, type EngineAssignment, entryStrengths, ReclaimCooldown, pickHandover } from '@hazelford/decisions'
import type { EngineControl, EngineSpec, Store } from '@hazelford/ports'
import type { FormerHolder } from './claim-history.js'
import { ClaimRecords } from './claim-records.js'
import { type LoadRequest, type LoadRequestOutcome, EngineHolder } from './engine-holder.js'
import { type LeaseRenewer, ordersAfterLeaseEnd } from './lease-renewer.js'
import type { LoadDigest } from './load-digest.js'
import type { MeasuredEngine } from '../metrics.js'
import type { TakeoverMessage } from '../peers/peer-messages.js'
import type { Upstream } from '../placing/upstream.js'
import { encodeClaimRecord, type HolderRecord, holderKey, lastHolderKey, type PeerAddress, type PeerTable } from '../peers/peer-table.js'
import { type NotifyTakeover, Takeover } from './takeover.js'

/** What the coordinator needs of its entry. */
export interface EngineCoordinatorOptions {
  readonly self: PeerAddress
  readonly store: Store
  readonly clock: Clock
  readonly log: Log
  readonly peers: PeerTable
  readonly upstreams: () => Iterable<Upstream>
  readonly engineSpec: (service: string) => EngineSpec | undefined
  readonly control: (upstream: Upstream) => EngineControl
  /** Records how many ms a load request waited until its adapter was usable. */
  readonly loaded: (took: Ms) => void
  /** Mean service time in ms of a request of a service, 0 when unknown. */
  readonly serviceTime: (service: string) => Ms
  /** Notifies the former holder of an engine that this entry has taken the engine over. */
  readonly notifyTakeover: NotifyTakeover
  /** Ms within which the orders of two holders to one engine must not alternate: A, then B, then A again. */
  readonly holderTurn: Ms
  /** Ms after the start before the first claim. */
  readonly settleTime?: Ms
  /** Era of the store; rises each time that it comes back from a copy. */
  readonly era: () => number
}

/**
 * How long each further entry in the claim order of an engine waits for the entry before it to claim the engine. A
 * claim takes a few ms, and the other entries learn of it within the pause between two watches of the store.
 */
const claimStep: Ms = 500
/**
 * Time after the start before the first claim, in which the other entries register. All entries of a deployment start
 * within 0.3 s; an entry that claimed at once would become the holder of every engine.
 */
const defaultSettleTime: Ms = 900
/**
 * Time beyond {@link EngineCoordinatorOptions.holderTurn} for which an entry must be listed, and an engine be held,
 * before the engine is handed over. An entry that stops takes about this long to leave the store.
 */
const handoverMargin: Ms = 1_000
/** Pause between two handovers: all entries must have learned of a handover before the next one is decided. */
const handoverPause: Ms = 1_000
/** Largest number of engines claimed at once: the store limits the keys of one transaction to 32, a claim needs four, and each transaction one more. */
const claimsAtOnce = 7

/** Claims, holds, releases and hands over engines for one entry. */
export class EngineCoordinator {
  private readonly _holders = new Map<string, EngineHolder>()
  /** Holders of each engine that were released while an order of theirs could still arrive at the engine. */
  private readonly _finishing = new Map<string, Set<EngineHolder>>()
  /** Engines that this entry has claimed, and whose former holders may still send orders. */
  private readonly _takeovers = new Map<string, Takeover>()
  /** Fencing numbers of other entries' claims of which this entry was notified while a claim of its own had no answer yet. */
  private readonly _newerFences = new Map<string, number>()
  private readonly _records: ClaimRecords
  /** Engines without a holder, and since when. */
  private readonly _unheldSince = new Map<string, Ms>()
  private readonly _startedAt: Ms
  private readonly _reclaimCooldown: ReclaimCooldown
  private readonly _handoverAfter: Ms
  private readonly _settleTime: Ms
  /** Entries listed in the store, and since when. */
  private readonly _listedSince = new Map<string, Ms>()
  /** When this process learned of the store's present era; in era 0 no claim was lost. */
  private _returnedAt: Ms = -Infinity
  /** Engines that this entry held when it learned of the store's return, with their former holders. */
  private _heldAtReturn = new Map<string, readonly HolderRecord[]>()
  private _claiming = false
  /** Engines of claims that were lost, with the view on which each was based, and until when it is not repeated on that view. */
  private readonly _lostClaims = new Map<string, { readonly basis: string, readonly until: Ms }>()
  private _handingOver = false
  /**
   * Fencing numbers of engines that were handed over, for as long as this entry's view of the store still lists this
   * entry as their holder.
   */
  private readonly _handedOverFences = new Map<string, number>()
  private _lastHandoverAt: Ms = -Infinity
  private _timer: CancelTimer | undefined
  private _stopped = false

  constructor (private readonly _options: EngineCoordinatorOptions, private readonly _lease: () => LeaseRenewer) {
    this._startedAt = _options.clock.now()
    this._records = new ClaimRecords(_options)
    const { holderTurn, settleTime } = _options
    this._reclaimCooldown = new ReclaimCooldown(holderTurn)
    this._handoverAfter = holderTurn + handoverMargin
    this._settleTime = settleTime ?? defaultSettleTime
  }

  holder (upstream: string): EngineHolder | undefined { return this._holders.get(upstream) }

  /** Loads of the engines that this entry holds. */
  get loads (): readonly LoadDigest[] { return [...this._holders].map(([upstream, { load }]) => ({ upstream, age: 0, ...load })) }

  /** Speeds of the engines that this entry holds, as far as they are known. */
  get speeds (): readonly MeasuredEngine[] {
    const now = this._options.clock.now()
    return [...this._holders].flatMap(([upstream, { speed }]) => speed.known === undefined ? [] : [{ upstream, speed: speed.known, age: speed.age(now) }])
  }

  /** Requests an adapter of the holder in this entry; undefined when this entry does not hold the engine. */
  requestLoad (upstream: string, request: LoadRequest): Promise<LoadRequestOutcome> | undefined { return this._holders.get(upstream)?.requestLoad(request) }

  /** Loads a new version of an adapter on every engine that this entry holds and that has an older one loaded. */
  prefetch (want: RequestedAdapter): void {
    for (const holder of this._holders.values()) {
      if (want.adapter !== undefined && holder.holds(want.model, want.adapter)) holder.prefetch(want)
    }
  }

  /** Releases all engines after the lease has ended: other entries may become their holders from now on. */
  releaseAll (): void {
    for (const [id, holder] of this._holders) this._removeHolder(id, holder)
    for (const id of this._takeovers.keys()) this._cancelTakeover(id)
  }

  /**
   * Handles that the store came back from a copy, or that this process finds it in a later era. Claims that were made since
   * the copy are lost, and so are the records that name former holders.
   *
   * An entry whose lease was valid until it learned of the return holds its engines by right: it claims them again at once.
   * Any other entry may not know the last holder of an engine, so it claims the engine only when no order of a claim from
   * before the return can arrive any more, unless another claim has been made since.
   *
   * @param isLeaseValid - whether this entry's lease was valid until now
   */
  storeReturned (isLeaseValid: boolean): void {
    const { peers, self, clock } = this._options
    this._returnedAt = clock.now()
    this._heldAtReturn = new Map(isLeaseValid ? [...this._holders.keys()].map(id => [id, peers.claimRecord(id)?.node === self.node ? peers.claimRecord(id)!.formers : []]) : [])
    this.scheduleReconcile()
  }

  /** Whether the store may have lost the last claim of an engine when it came back from a copy. */
  private _mayBeLost (upstream: string): boolean {
    const { peers, era } = this._options
    return era() > 0 && (peers.claimRecord(upstream)?.era ?? 0) < era()
  }

  /** Stops claiming engines and sending orders, though this entry's keys may stay in the store for a while. */
  stop (): void {
    this._stopped = true
    this.releaseAll()
  }

  /**
   * Notifies the holder of an engine that has restarted under its id: it has no adapters loaded and counts orders from
   * 0 again.
   */
  handleRestart (upstream: Upstream): void {
    this._holders.get(upstream.id)?.restart(upstream.record.startedAt, this._options.control(upstream))
  }

  /**
   * Compares the engines held here with the store after a short delay, so that changes that arrive together are handled
   * in one run.
   */
  scheduleReconcile (): void {
    if (this._timer !== undefined) return
    this._timer = this._options.clock.after(20, () => {
      this._timer = undefined
      this._reconcile()
    })
  }

  private _reconcile (): void {
    if (this._stopped) return
    this._releaseLost()
    const now = this._options.clock.now()
    this._updateListed(now)
    if (this._lease().valid) this._records.update(this._heldLongEnough(now)).catch((error: Error) => this._options.log.warn('loads', 'records of claims not updated.', { error: error.message }))
    const claims = this._claimable(now)
    if (claims.length > 0) this._claim(claims).catch((error: Error) => this._options.log.warn('loads', 'claim failed.', { error: error.message }))
    if (this._unheldSince.size > 0) this._options.clock.after(claimStep / 2, () => this.scheduleReconcile())
    else this._startHandoverIfDue(now)
  }

  /** Engines that an earlier holder could claim now without taking turns with this entry. */
  private _heldLongEnough (now: Ms): readonly string[] {
    return [...this._holders].filter(([, { heldSince }]) => this._reclaimCooldown.isOver(heldSince, now)).map(([id]) => id)
  }

  private _updateListed (now: Ms): void {
    const { peers } = this._options
    for (const node of this._listedSince.keys()) if (peers.entry(node) === undefined) this._listedSince.delete(node)
    for (const node of peers.nodes) if (!this._listedSince.has(node)) this._listedSince.set(node, now)
  }

  /** Entries that have been listed long enough to be given engines, and the holder of each engine. */
  private _settledAssignment (now: Ms): EngineAssignment {
    const entries = [...this._listedSince].filter(([, since]) => now - since >= this._handoverAfter).map(([node]) => node)
    return { entries, holders: this._knownHolders(), strengths: entryStrengths(this._options.peers.entries) }
  }

  /** Holders of the engines that are running. The key of an engine that is gone stays until its holder's lease ends. */
  private _knownHolders (): ReadonlyMap<string, string> {
    const holders = new Map<string, string>()
    for (const { id } of this._engines()) {
      const holder = this._options.peers.holder(id)
      if (holder !== undefined) holders.set(id, holder.node)
    }
    return holders
  }

  private _startHandoverIfDue (now: Ms): void {
    if (this._holders.size === 0 || this._handingOver || this._claiming || now - this._lastHandoverAt < handoverPause || !this._lease().valid) return
    const handover = pickHandover(this._options.self.node, this._settledAssignment(now), engine => {
      const holder = this._holders.get(engine)
      return holder !== undefined && now - holder.heldSince >= this._handoverAfter
    })
    if (handover === undefined) return
    this._handingOver = true
    this._handOver(handover.engine, handover.to)
      .catch((error: Error) => this._options.log.warn('loads', 'handover failed.', { upstream: handover.engine, error: error.message }))
      .finally(() => {
        this._handingOver = false
        this._lastHandoverAt = this._options.clock.now()
        this._options.clock.after(handoverPause, () => this.scheduleReconcile())
      })
  }

  /**
   * Hands an engine over once none of this entry's orders to it is in progress, so that the next holder's orders come
   * after all of them.
   */
  private async _handOver (upstream: string, to: string): Promise<void> {
    const { store, log } = this._options
    const holder = this._holders.get(upstream)
    if (holder === undefined) return
    await holder.finish()
    this._removeHolder(upstream, holder)
    const key = holderKey(upstream)
    const outcome = await store.commit({ conditions: [{ key, revision: holder.fence }], puts: [], removals: [key] })
    // If the store did not answer or refused, this entry's key is still listed and the engine is claimed again.
    if (outcome.isOk() && outcome.value.kind === 'stored') this._handedOverFences.set(upstream, holder.fence)
    log.info('loads', 'engine handed over.', { upstream, fence: holder.fence, to, outcome: outcome.isOk() ? outcome.value.kind : outcome.error.message })
  }

  /** Releases engines that leave or are gone, and those that another entry has claimed since. */
  private _releaseLost (): void {
    const { peers } = this._options
    const running = new Set([...this._options.upstreams()].filter(({ record }) => record.state === 'ready').map(({ id }) => id))
    for (const [id, takeover] of this._takeovers) {
      const record = peers.holder(id)
      if (!running.has(id) || (record !== undefined && record.fence > takeover.fence)) this._cancelTakeover(id)
    }
    for (const [id, holder] of this._holders) {
      const record = peers.holder(id)
      const isTakenOver = record !== undefined && record.fence > holder.fence
      if (running.has(id) && !isTakenOver) continue
      this._release(id, holder, isTakenOver ? 'held by another' : 'leaving or gone', record?.fence)
    }
  }

  private _claimable (now: Ms): readonly Upstream[] {
    const { peers, self, clock } = this._options
    const claimable: Upstream[] = []
    const seen = new Set<string>()
    const unheld = this._unheld().map(({ id }) => id)
    const sequences = unheld.length === 0 ? new Map<string, readonly string[]>() : claimSequences(unheld, { entries: peers.nodes, holders: this._knownHolders(), strengths: entryStrengths(peers.entries) })
    const settling = clock.now() - this._startedAt < this._settleTime
    if (settling || !this._lease().valid) this._options.clock.after(this._settleTime / 3, () => this.scheduleReconcile())
    if (!this._lease().valid) return []
    for (const upstream of this._engines()) {
      if (this._holders.has(upstream.id) || this._takeovers.has(upstream.id)) continue
      if (this._mayBeLost(upstream.id)) {
        if (this._heldAtReturn.has(upstream.id) && !this._wouldLoseAgain(upstream.id, now)) claimable.push(upstream)
        if (this._heldAtReturn.has(upstream.id) || now < this._returnedAt + ordersAfterLeaseEnd) {
          seen.add(upstream.id)
          this._unheldSince.set(upstream.id, this._unheldSince.get(upstream.id) ?? now)
          continue
        }
      } else {
        this._heldAtReturn.delete(upstream.id)
      }
      const holder = peers.holder(upstream.id)
      // An earlier incarnation of this entry wrote the key, so no other entry sends orders to this engine.
      const isOwn = holder?.node === self.node
      if (holder !== undefined && (!isOwn || this._handedOverFences.get(upstream.id) === holder.fence)) continue
      seen.add(upstream.id)
      const since = this._unheldSince.get(upstream.id) ?? now
      this._unheldSince.set(upstream.id, since)
      if (this._wouldLoseAgain(upstream.id, now)) continue
      const rank = sequences.get(upstream.id)?.indexOf(self.node) ?? -1
      if (isOwn || (!settling && this._mayReclaim(upstream.id, now) && rank >= 0 && now - since >= rank * claimStep)) claimable.push(upstream)
    }
    for (const id of this._unheldSince.keys()) if (!seen.has(id)) this._unheldSince.delete(id)
    return claimable.slice(0, claimsAtOnce)
  }

  /** Whether orders of this entry may follow those of the entry that held an engine last. */
  private _mayReclaim (upstream: string, now: Ms): boolean {
    const { peers, self } = this._options
    if (peers.former(upstream)?.node === self.node) return true
    // The process that ran on this host before may have held the engine.
    const isEarlierHolder = peers.claimRecord(upstream)?.formers.some(({ node }) => node === self.node) ?? false
    return this._reclaimCooldown.mayReclaim(upstream, now) && (!isEarlierHolder || this._reclaimCooldown.isOver(this._startedAt, now))
  }

  /** Engines that accept load and unload orders. */
  private _engines (): readonly Upstream[] {
    return [...this._options.upstreams()].filter(({ record }) => record.state === 'ready' && this._options.engineSpec(record.service) !== undefined)
  }

  private _unheld (): readonly Upstream[] {
    return this._engines().filter(({ id }) => this._options.peers.holder(id) === undefined)
  }

  private async _claim (upstreams: readonly Upstream[]): Promise<void> {
    const { store, self, peers, log, clock, era } = this._options
    const { lease } = this._lease()
    if (this._claiming || this._handingOver || lease === undefined) return
    this._claiming = true
    // The watch may bring this entry's own key before the answer to the claim; then no former holder is known any more.
    const formers = new Map(upstreams.map(({ id }) => [id, this._formers(id)]))
    const bases = new Map(upstreams.map(({ id }) => [id, this._claimBasis(id)]))
    const value = JSON.stringify(self)
    const txn = {
      conditions: upstreams.flatMap(({ id }) => [{ key: holderKey(id), revision: peers.holderRevision(id) }, { key: lastHolderKey(id), revision: peers.claimRecordRevision(id) }]),
      puts: upstreams.flatMap(({ id }) => [{ key: holderKey(id), value, lease }, { key: lastHolderKey(id), value: encodeClaimRecord(self, [...formers.get(id)!, ...this._heldAtReturn.get(id) ?? []], era()), lease: 0 }]),
      removals: []
    }
    const outcome = await store.commit(txn)
    if (outcome.isErr()) {
      // If the claim took effect after all, the watch brings this entry's key and the engine is claimed again.
      log.info('loads', 'claim unanswered.', { upstreams: upstreams.map(({ id }) => id), cause: outcome.error.message })
    } else if (outcome.value.kind === 'stored') {
      const { revision } = outcome.value
      for (const { id } of upstreams) {
        this._heldAtReturn.delete(id)
        if (revision > (this._newerFences.get(id) ?? 0)) this._takeOver(id, revision, lease, formers.get(id)!)
      }
    } else {
      log.info('loads', 'claim lost.', { upstreams: upstreams.map(({ id }) => id), outcome: outcome.value.kind })
      for (const [id, basis] of bases) this._lostClaims.set(id, { basis, until: clock.now() + claimStep / 2 })
    }
    this._claiming = false
    this._newerFences.clear()
    this.scheduleReconcile()
  }

  /** Revisions on which a claim of an engine is based. */
  private _claimBasis (upstream: string): string {
    const { peers } = this._options
    return `${peers.holderRevision(upstream)} ${peers.claimRecordRevision(upstream)}`
  }

  /** Whether a claim of an engine was lost just now, and the view of the store on which it was based has not changed since. */
  private _wouldLoseAgain (upstream: string, now: Ms): boolean {
    const lost = this._lostClaims.get(upstream)
    if (lost === undefined) return false
    if (now < lost.until && this._claimBasis(upstream) === lost.basis) return true
    this._lostClaims.delete(upstream)
    return false
  }

  /** Other entries that may still send orders to an engine that this entry claims, or may have done so less than a holder turn ago. */
  private _formers (upstream: string): readonly FormerHolder[] {
    const { peers, self, clock } = this._options
    const now = clock.now()
    if (this._heldAtReturn.has(upstream)) {
      // The store's copy may list an earlier holder, or an entry of an earlier version has claimed the engine since the return.
      const listed = peers.holder(upstream)
      return listed === undefined || listed.node === self.node ? [] : [{ ...listed, goneAt: undefined }]
    }
    return peers.formers(upstream).filter(({ node, goneAt }) => node !== self.node && !this._reclaimCooldown.isOver((goneAt ?? now) + ordersAfterLeaseEnd, now))
  }

  /** Becomes the holder of an engine that this entry has claimed, once no order of another holder can arrive there. */
  private _takeOver (upstream: string, fence: number, lease: number, formers: readonly FormerHolder[]): void {
    const { clock, log, notifyTakeover } = this._options
    if (this._stopped || this._lease().lease !== lease) return
    const takeover = new Takeover({ clock, log, upstream, fence, formers, ordersAfterLeaseEnd, notify: notifyTakeover })
    this._takeovers.set(upstream, takeover)
    this._awaitTakeover(upstream, takeover).catch((error: Error) => log.warn('loads', 'takeover failed.', { upstream, fence, error: error.message }))
  }

  private async _awaitTakeover (upstream: string, takeover: Takeover): Promise<void> {
    const isSettled = await takeover.settled()
    await this._ordersArrived(upstream)
    if (!isSettled || this._takeovers.get(upstream) !== takeover) return
    this._takeovers.delete(upstream)
    const engine = this._engines().find(({ id }) => id === upstream)
    if (engine !== undefined) this._startHolding(engine, takeover.fence)
    this.scheduleReconcile()
    // The record of the claim is due for an update by then.
    this._options.clock.after(this._handoverAfter, () => this.scheduleReconcile())
  }

  private _cancelTakeover (upstream: string): void {
    this._takeovers.get(upstream)?.cancel()
    this._takeovers.delete(upstream)
  }

  /**
   * Releases an engine that another entry has claimed with a higher fencing number.
   *
   * @returns resolves once no order of this entry can arrive at the engine any more
   */
  async receiveTakeover ({ upstream, fence }: TakeoverMessage): Promise<void> {
    const holder = this._holders.get(upstream)
    if (holder !== undefined && holder.fence < fence) this._release(upstream, holder, 'held by another', fence)
    if ((this._takeovers.get(upstream)?.fence ?? Infinity) < fence) this._cancelTakeover(upstream)
    if (this._claiming) this._newerFences.set(upstream, Math.max(fence, this._newerFences.get(upstream) ?? 0))
    await this._ordersArrived(upstream)
  }

  /** Resolves once no order of a released holder can arrive at the engine any more. */
  private async _ordersArrived (upstream: string): Promise<void> {
    await Promise.all([...this._finishing.get(upstream) ?? []].map(holder => holder.finish()))
  }

  /** Tracks a released holder until no order of it can arrive at the engine any more. */
  private async _finish (upstream: string, holder: EngineHolder): Promise<void> {
    const finishing = this._finishing.get(upstream) ?? new Set()
    this._finishing.set(upstream, finishing.add(holder))
    await holder.finish()
    finishing.delete(holder)
    if (finishing.size === 0) this._finishing.delete(upstream)
  }

  private _release (upstream: string, holder: EngineHolder, cause: 'held by another' | 'leaving or gone', newFence: number | undefined): void {
    const { log } = this._options
    this._removeHolder(upstream, holder)
    log.info('loads', 'engine released.', { upstream, fence: holder.fence, cause, newFence })
    if (cause === 'held by another') return
    this._records.remove(upstream, this._ordersArrived(upstream)).catch((error: Error) => log.warn('loads', 'record of the last holder not removed.', { upstream, error: error.message }))
  }

  /** Stops the holder of an engine and starts the cooldown in which this entry does not claim the engine again. */
  private _removeHolder (upstream: string, holder: EngineHolder): void {
    this._finish(upstream, holder).catch((error: Error) => this._options.log.warn('loads', 'engine not released.', { upstream, error: error.message }))
    this._holders.delete(upstream)
    this._reclaimCooldown.recordRelease(upstream, this._options.clock.now())
  }

  private _startHolding (upstream: Upstream, fence: number): void {
    const { clock, log, self, control, engineSpec, serviceTime, loaded } = this._options
    const spec = engineSpec(upstream.record.service)
    if (spec === undefined) return
    this._unheldSince.delete(upstream.id)
    this._handedOverFences.delete(upstream.id)
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
      serviceTime: () => serviceTime(upstream.record.service),
      ...(upstream.reportedSpeed === undefined ? {} : { speed: upstream.reportedSpeed }),
      loaded
    }))
    log.info('loads', 'engine held.', { upstream: upstream.id, fence })
  }
}

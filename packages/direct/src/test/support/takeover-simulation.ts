/**
 * Simulates in virtual time how entries take engines over from each other: the real coordinators, peer tables, mirrors and lease
 * renewers, with a store, messages between entries, and processes that fail.
 */
import { FakeClock, type Log, type Ms, silentLog, sleep } from '@hazelford/core'
import { type StoreRole, ViewAge } from '@hazelford/decisions'
import type { ControlFailure, EngineControl, EngineOrderContext, EngineOrderOutcome, EngineReport, EngineSpec, LoadTarget, Store, StoreAnswer, StoreChanges, StoreFailure, StoreLease, StoreListing, TransactionOutcome } from '@hazelford/ports'
import { err, ok, type Result, ResultAsync } from 'neverthrow'
import { EngineCoordinator } from '../../lib/engines/engine-coordinator.js'
import { EraStore } from '../../lib/store/era-store.js'
import { LeaseRenewer } from '../../lib/engines/lease-renewer.js'
import type { TakeoverMessage } from '../../lib/peers/peer-messages.js'
import { entryKey, type PeerAddress, PeerTable } from '../../lib/peers/peer-table.js'
import { StoreMirror } from '../../lib/store/store-mirror.js'
import type { TakeoverAnswer } from '../../lib/engines/takeover.js'
import { Upstream } from '../../lib/placing/upstream.js'
import { seededRandom } from './seeded-random.js'
import { SimStore, type StoreCopy } from './sim-store.js'

type LosingFault = 'store-silent' | 'answers-lost' | 'peers-silent'
type DelayingFault = 'writes-late' | 'peers-late' | 'orders-late'
type LastingFault = LosingFault | DelayingFault

/**
 * A fault. `entry` is the number of an entry.
 *
 * - `store-silent`: the store neither carries out nor answers the entry's calls.
 * - `answers-lost`: the store carries out the entry's transactions without an answer.
 * - `writes-late`: the same, `by` ms after it received them.
 * - `lease-ends`: the store ends the entry's lease before its time.
 * - `killed`: the entry's process is killed, and starts again `down` ms later, if ever.
 * - `peers-silent`: messages from and to the entry are lost.
 * - `peers-late`: messages to the entry arrive `by` ms late.
 * - `orders-late`: the entry's orders arrive `by` ms late.
 */
export type TakeoverFault = { readonly entry: number, readonly from: Ms } & (
  | { readonly kind: LosingFault, readonly to: Ms }
  | { readonly kind: DelayingFault, readonly to: Ms, readonly by: Ms }
  | { readonly kind: 'lease-ends' }
  | { readonly kind: 'killed', readonly down: Ms }
)

/** Parameters of a simulation. */
export interface TakeoverPlan {
  readonly entries: number
  readonly engines: number
  readonly length: Ms
  readonly faults: readonly TakeoverFault[]
  /** Returns of the store from a copy: it is away for `away` ms, and its copy is `age` ms old when it goes away. */
  readonly returns?: readonly { readonly at: Ms, readonly away: Ms, readonly age: Ms }[]
  /** Time at which each entry starts; 0 for those not listed. */
  readonly startsAt?: ReadonlyMap<number, Ms>
  readonly seed?: number
}

/** An order as its engine received it. */
export interface SimulatedOrder {
  readonly at: Ms
  readonly holder: string
  readonly fence: number
}

/** What a simulation shows. */
export interface TakeoverResult {
  /** Orders that each engine received, in order. */
  readonly orders: ReadonlyMap<string, readonly SimulatedOrder[]>
  /** Log lines of all entries, with their times, without those on single orders and reports. */
  readonly log: readonly string[]
}

const stepMs: Ms = 2
const storeLatency: Ms = 4
const storeTimeout: Ms = 600
const peerLatency: Ms = 2
const orderLatency: Ms = 2
const orderTimeout: Ms = 50
const reportTimeout: Ms = 250
const noticeTimeout: Ms = 1_000
const loadTime: Ms = 30
const requestEvery: Ms = 40
const requestPatience: Ms = 200
const holderTurn: Ms = 3_000
const settleTime: Ms = 300
const adapterSlots = 3
const adapters = 40
const firstPort = 1_000
const model = 'base'
const service = 'models'
const spec: EngineSpec = { slots: 8, weightsMb: 1_000, adapterSlots, loadsPerSecond: 1_000, models: [{ name: model, weightsMb: 100, adapters, adapterMb: 1 }] }

function settle (): Promise<void> { return new Promise(resolve => setImmediate(resolve)) }
function never<T> (): Promise<T> { return new Promise(() => {}) }

/** An engine that does not check fencing tokens. */
class SimEngine {
  readonly orders: SimulatedOrder[] = []
  private readonly _adapters = new Set<string>()
  private _accepted = 0

  constructor (readonly id: string, private readonly _clock: FakeClock) {}

  receive (op: 'load' | 'unload', { adapter }: LoadTarget, { holder, fence, afterOrders }: EngineOrderContext): EngineOrderOutcome {
    this.orders.push({ at: this._clock.now(), holder, fence })
    const isDone = this._adapters.has(adapter!) === (op === 'load')
    if (isDone) return 'holds'
    if (afterOrders !== this._accepted) return 'conflict'
    this._accepted++
    if (op === 'unload') {
      this._adapters.delete(adapter!)
      return 'holds'
    }
    this._clock.after(loadTime, () => this._adapters.add(adapter!))
    return 'accepted'
  }

  get report (): EngineReport {
    return { models: [{ model, version: 1, adapters: [...this._adapters].map(adapter => ({ adapter, version: 1 })) }], coming: [], busy: false, orders: this._accepted, running: 0, waiting: 0 }
  }
}

/** All parts of one simulation. */
class TakeoverSimulation {
  readonly clock = new FakeClock()
  readonly store = new SimStore(this.clock)
  readonly engines: readonly SimEngine[]
  readonly entries = new Map<number, SimEntry>()
  readonly lines: string[] = []
  readonly random: () => number

  constructor (private readonly _plan: TakeoverPlan) {
    this.random = seededRandom(_plan.seed ?? 1)
    this.engines = Array.from({ length: _plan.engines }, (_, n) => new SimEngine(`i-${n}`, this.clock))
  }

  async run (): Promise<TakeoverResult> {
    const { entries, faults, length, startsAt, returns = [] } = this._plan
    for (let n = 0; n < entries; n++) this.clock.after(startsAt?.get(n) ?? 0, () => this._start(n))
    for (const fault of faults) {
      if (fault.kind === 'lease-ends') this.clock.after(fault.from, () => this.store.endLeasesOf(fault.entry))
      else if (fault.kind === 'killed') this.clock.after(fault.from, () => this._kill(fault.entry, fault.down))
    }
    for (const { at, away, age } of returns) {
      let copy: StoreCopy
      this.clock.after(at - age, () => { copy = this.store.copy() })
      this.clock.after(at + away, () => this.store.restore(copy))
    }
    while (this.clock.now() < length) {
      this.clock.advance(stepMs)
      await settle()
    }
    for (const entry of this.entries.values()) entry.kill()
    return { orders: new Map(this.engines.map(({ id, orders }) => [id, orders])), log: this.lines }
  }

  private _start (n: number): void { this.entries.set(n, new SimEntry(n, this)) }

  private _kill (n: number, down: Ms): void {
    this.entries.get(n)?.kill()
    this.entries.delete(n)
    if (down !== Infinity) this.clock.after(down, () => { if (!this.entries.has(n)) this._start(n) })
  }

  /** Whether the store is away before it comes back from a copy. */
  get isStoreAway (): boolean {
    const now = this.clock.now()
    return (this._plan.returns ?? []).some(({ at, away }) => at <= now && now < at + away)
  }

  /** Whether an entry has a fault of some kind now. */
  hasFault (kind: LastingFault, entry: number): boolean { return this._faultsNow(kind, entry).length > 0 }

  /** Delay in ms by the faults of some kind that an entry has now. */
  delay (kind: DelayingFault, entry: number): Ms { return Math.max(0, ...this._faultsNow(kind, entry).map(fault => 'by' in fault ? fault.by : 0)) }

  private _faultsNow (kind: LastingFault, entry: number): readonly TakeoverFault[] {
    const now = this.clock.now()
    return this._plan.faults.filter(fault => fault.kind === kind && fault.entry === entry && fault.from <= now && 'to' in fault && now < fault.to)
  }
}

/** One process of an entry. */
class SimEntry {
  private readonly _self: PeerAddress
  private readonly _table: PeerTable
  private readonly _mirror: StoreMirror
  private readonly _lease: LeaseRenewer
  private readonly _upstreams: readonly Upstream[]
  private readonly _store: EraStore
  private readonly _log: Log
  readonly coordinator: EngineCoordinator
  private _alive = true

  constructor (private readonly _n: number, private readonly _sim: TakeoverSimulation) {
    const { clock, engines } = _sim
    const node = `entry-${_n}`
    this._self = { node, host: '127.0.0.1', port: firstPort + _n }
    this._log = this._createLog(node)
    this._store = new EraStore(this._createStore(), this._log, () => {
      this.coordinator.storeReturned(this._lease.valid)
      this._lease.storeReturned()
      this._mirror.scheduleRelist()
    })
    this._upstreams = engines.map(({ id }) => new Upstream({ id, service, host: '127.0.0.1', port: 1, zone: 'z', slots: spec.slots, state: 'ready', models: [], orders: 0 }, clock, 1))
    this._table = new PeerTable(clock, () => this.coordinator?.scheduleReconcile())
    this._mirror = new StoreMirror({
      store: this._store,
      clock,
      log: silentLog,
      role: (): StoreRole => ({ kind: 'watch', watchers: 1, hasFollowers: false }),
      follow: async () => undefined,
      viewAge: new ViewAge(),
      isBehind: () => false,
      applyWithin: () => 2_000
    }, { reset: items => this._table.reset(items), changed: event => this._table.apply(event), regained: () => {}, lost: () => {} })
    this._lease = new LeaseRenewer(this._store, clock, this._log, {
      granted: lease => { this._register(lease).catch((error: Error) => { throw error }) },
      ended: () => this.coordinator.releaseAll()
    })
    this.coordinator = new EngineCoordinator({
      self: this._self,
      store: this._store,
      clock,
      log: this._log,
      peers: this._table,
      upstreams: () => this._upstreams,
      engineSpec: () => spec,
      control: upstream => this._createControl(engines.find(({ id }) => id === upstream.id)!),
      loaded: () => {},
      serviceTime: () => 0,
      notifyTakeover: (former, msg) => this._notify(former, msg),
      holderTurn,
      settleTime,
      era: () => this._store.era
    }, () => this._lease)
    this._lease.start()
    this._mirror.start()
    this._requestLoads()
  }

  kill (): void {
    this._alive = false
    this.coordinator.stop()
    this._lease.abandon()
    this._mirror.stop()
  }

  private _createLog (node: string): Log {
    const write = (prefix: string, message: string, fields: object = {}): void => {
      if (this._alive && !/^(un)?load |^report /.test(message)) this._sim.lines.push(`${this._sim.clock.now()} ${node} ${prefix}: ${message} ${JSON.stringify(fields)}`)
    }
    return { info: write, warn: write }
  }

  private async _register (lease: number): Promise<void> {
    for (let attempt = 0; attempt < 5 && this._lease.lease === lease; attempt++) {
      const outcome = await this._store.commit({ conditions: [], puts: [{ key: entryKey(this._self.node), value: JSON.stringify(this._self), lease }], removals: [] })
      if (outcome.isOk()) return
      await sleep(this._sim.clock, 200)
    }
  }

  /** Requests a load of each engine that this entry holds, again and again. */
  private _requestLoads (): void {
    if (!this._alive) return
    const { clock, engines, random } = this._sim
    for (const { id } of engines) {
      const adapter = `a${Math.floor(random() * adapters)}`
      const request = { want: { model, adapter }, urgency: 0, patience: requestPatience, answerIn: requestPatience, missing: false, mayWait: true, repeated: false, entry: this._self.node, uses: [], outstanding: 0, streams: 0, paused: 0, heard: 0 }
      this.coordinator.requestLoad(id, request)?.catch((error: Error) => { throw error })
    }
    clock.after(requestEvery, () => this._requestLoads())
  }

  /** Runs a call to the store. Its effect takes place after the latency, unless the store is silent. */
  private async _call<T> (wait: Ms, effect: () => Result<T, StoreFailure> | Promise<Result<T, StoreFailure>>, isWrite: boolean): Promise<Result<T, StoreFailure>> {
    if (!this._alive) return await never()
    const { clock } = this._sim
    const unanswered = async (): Promise<Result<T, StoreFailure>> => {
      await sleep(clock, wait + storeTimeout)
      return this._alive ? err({ kind: 'unknown', message: 'No answer.' }) : await never()
    }
    if (this._sim.isStoreAway || this._sim.hasFault('store-silent', this._n)) return await unanswered()
    const late = isWrite ? this._sim.delay('writes-late', this._n) : 0
    if (late > 0) {
      clock.after(late, () => { Promise.resolve(effect()).catch((error: Error) => { throw error }) })
      return await unanswered()
    }
    await sleep(clock, storeLatency / 2)
    const result = await effect()
    if (isWrite && this._sim.hasFault('answers-lost', this._n)) return await unanswered()
    await sleep(clock, storeLatency / 2)
    return this._alive ? result : await never()
  }

  private _createStore (): Store {
    const { store } = this._sim
    return {
      list: () => new ResultAsync(this._call<StoreListing>(0, () => ok({ items: [...store.items.values()], revision: store.revision, era: store.era, bytes: 1_000 }), false)),
      watch: (_, revision, wait) => new ResultAsync(this._call<StoreChanges>(wait, async () => {
        const { era } = store
        await store.changed(revision, wait)
        const events = store.since(revision)
        if (era !== store.era) return err({ kind: 'unknown', message: 'The connection was closed.' })
        return events === undefined ? err({ kind: 'history-lost', message: 'The revision is not known.', era }) : ok({ events, revision: store.revision, era })
      }, false)),
      commit: txn => new ResultAsync(this._call<TransactionOutcome>(0, () => ok(store.commit(txn)), true)),
      grantLease: ttl => new ResultAsync(this._call<StoreLease>(0, () => ok({ lease: store.grant(ttl, this._n), ttl, era: store.era }), false)),
      renewLease: id => new ResultAsync(this._call<StoreAnswer>(0, () => store.renew(id) ? ok({ era: store.era }) : err({ kind: 'no-lease', message: 'The lease has ended.', era: store.era }), false)),
      endLease: id => new ResultAsync(this._call<StoreAnswer>(0, () => {
        store.endLease(id)
        return ok({ era: store.era })
      }, false))
    }
  }

  private _createControl (engine: SimEngine): EngineControl {
    const { clock } = this._sim
    const send = async (op: 'load' | 'unload', target: LoadTarget, context: EngineOrderContext): Promise<Result<EngineOrderOutcome, ControlFailure>> => {
      const delay = orderLatency + this._sim.delay('orders-late', this._n)
      let outcome: EngineOrderOutcome | undefined
      clock.after(delay, () => { outcome = engine.receive(op, target, context) })
      await sleep(clock, Math.min(orderTimeout, delay + orderLatency))
      return outcome === undefined ? err({ kind: 'no-answer', message: 'No answer.' }) : ok(outcome)
    }
    return {
      load: (target, context) => new ResultAsync(send('load', target, context)),
      unload: (target, context) => new ResultAsync(send('unload', target, context)),
      report: () => new ResultAsync(this._report(engine))
    }
  }

  private async _report (engine: SimEngine): Promise<Result<EngineReport, ControlFailure>> {
    await sleep(this._sim.clock, Math.min(reportTimeout, 2 * orderLatency))
    return ok(engine.report)
  }

  /** Sends a notice to the process that runs at an address, and waits for its answer. */
  private async _notify (former: PeerAddress, msg: TakeoverMessage): Promise<TakeoverAnswer> {
    const { clock } = this._sim
    const answer = this._deliver(former.port - firstPort, msg)
    const outcome = await Promise.race([answer, sleep(clock, noticeTimeout).then((): 'silent' => 'silent')])
    if (!this._alive) return await never()
    if (outcome === 'silent') throw new Error('No answer.')
    return outcome
  }

  private async _deliver (to: number, msg: TakeoverMessage): Promise<TakeoverAnswer> {
    const { clock, entries } = this._sim
    const isCut = (): boolean => [this._n, to].some(n => this._sim.hasFault('peers-silent', n))
    if (isCut()) return await never()
    await sleep(clock, peerLatency + this._sim.delay('peers-late', to))
    const receiver = entries.get(to)
    if (receiver === undefined) return 'terminated'
    await receiver.coordinator.receiveTakeover(msg)
    if (isCut() || !receiver._alive) return await never()
    await sleep(clock, peerLatency)
    return 'stopped'
  }
}

/** Simulates a plan; the same plan gives the same result. */
export function simulateTakeovers (plan: TakeoverPlan): Promise<TakeoverResult> { return new TakeoverSimulation(plan).run() }

/**
 * Finds orders that break the guarantee of an engine that does not check fencing tokens: no order with a lower token after one
 * with a higher token, and no two holders that take turns.
 */
export function orderViolations (orders: readonly SimulatedOrder[]): readonly string[] {
  const violations: string[] = []
  const lastAt = new Map<string, Ms>()
  let before: SimulatedOrder | undefined
  for (const order of orders) {
    if (before !== undefined && order.fence < before.fence) violations.push(`${order.at}: fence ${order.fence} of ${order.holder} after ${before.fence} of ${before.holder}`)
    if (before !== undefined && order.fence === before.fence && order.holder !== before.holder) violations.push(`${order.at}: fence ${order.fence} of ${order.holder} and ${before.holder}`)
    const earlier = lastAt.get(order.holder)
    if (before !== undefined && before.holder !== order.holder && earlier !== undefined && order.at - earlier < holderTurn) violations.push(`${order.at}: ${order.holder} and ${before.holder} take turns within ${order.at - earlier} ms`)
    lastAt.set(order.holder, order.at)
    before = order
  }
  return violations
}

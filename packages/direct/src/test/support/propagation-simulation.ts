/**
 * Simulates in virtual time how a configuration reaches entries: the real mirrors, feeds, followers and roles, with links
 * of a limited rate, and with entries that are frozen or cut off from the store.
 */
import { FakeClock, type Ms, silentLog } from '@hazelford/core'
import { storeRole, type StoreRole, ViewAge } from '@hazelford/decisions'
import type { Store, StoreChanges, StoreEvent, StoreFailure, StoreItem, StoreListing } from '@hazelford/ports'
import { err, ok, type Result, ResultAsync } from 'neverthrow'
import type { FeedAnswer } from '../../lib/store/change-feed.js'
import { StoreFollower } from '../../lib/store/store-follower.js'
import { StoreMirror } from '../../lib/store/store-mirror.js'

/** Time span of a fault at one entry. */
export interface EntryFault {
  readonly kind: 'frozen' | 'cut-off'
  /** Number of the entry. */
  readonly entry: number
  readonly from: Ms
  readonly to: Ms
}

/** Parameters of a simulation. */
export interface PropagationPlan {
  /** Rate of each entry's link in Mbit/s. */
  readonly links: readonly number[]
  readonly zones: number
  /** Size of the configuration in the store's answers, in bytes. */
  readonly configBytes: number
  readonly changeGap: Ms
  /** Duration of the changes. */
  readonly changesFor: Ms
  readonly faults: readonly EntryFault[]
  readonly applyWithin: Ms
  /** Time without a fault after which an entry must have each version within `applyWithin`. */
  readonly contact: Ms
}

const configKey = 'config'
const stepMs = 5
const callLatency: Ms = 4
/** Size in a listing of everything but the configuration. */
const otherBytes = 30_000
/** Size of the record of an upstream. */
const eventBytes = 300
/** Longest time until an answer of the store begins, beyond the wait of a watch. */
const storeMargin: Ms = 600
const pollMargin: Ms = 300
/** Ratio by which answers between entries are compressed. */
const compression = 10
const bitsPerByte = 8
const settleTime: Ms = 3_000
const catchUpTime: Ms = 8_000

interface StoredChange { readonly event: StoreEvent, readonly bytes: number }

function settle (): Promise<void> { return new Promise(resolve => setImmediate(resolve)) }

function sizeOf (changes: readonly StoredChange[]): number { return changes.reduce((sum, { bytes }) => sum + bytes, 0) }

/** The store and all entries of one simulation. */
class Propagation {
  readonly clock = new FakeClock()
  readonly entries: SimEntry[]
  private readonly _changes: StoredChange[] = []
  private _waiting: (() => void)[] = []
  readonly writtenAt = new Map<number, Ms>()
  version = 0

  constructor (readonly plan: PropagationPlan) {
    this.entries = plan.links.map((_, n) => new SimEntry(n, this))
  }

  get revision (): number { return this._changes.length }

  get config (): StoreItem {
    const { event } = this._changes.findLast(({ event }) => event.kind === 'put' && event.item.key === configKey)!
    return (event as Extract<StoreEvent, { kind: 'put' }>).item
  }

  since (revision: number): readonly StoredChange[] { return this._changes.slice(revision) }

  configure (): void {
    this.version++
    this.writtenAt.set(this.version, this.clock.now())
    this._write(configKey, String(this.version), this.plan.configBytes)
  }

  /** Writes the record of an upstream, as heartbeats do. */
  beat (n: number): void { this._write(`upstream-${n}`, `${this.revision}`, eventBytes) }

  private _write (key: string, value: string, bytes: number): void {
    const event: StoreEvent = { kind: 'put', item: { key, value, revision: this.revision + 1 } }
    this._changes.push({ event, bytes })
    const waiting = this._waiting
    this._waiting = []
    for (const wake of waiting) wake()
  }

  /** Waits until there are changes after a revision, or for `wait` ms. */
  async changed (revision: number, wait: Ms): Promise<void> {
    if (this.revision > revision) return
    await new Promise<void>(resolve => {
      const cancel = this.clock.after(wait, resolve)
      this._waiting.push(() => {
        cancel()
        resolve()
      })
    })
  }

  sleep (delay: Ms): Promise<void> { return new Promise(resolve => { this.clock.after(delay, resolve) }) }
}

/** One entry. */
class SimEntry {
  version = 0
  readonly mirror: StoreMirror
  readonly node: string
  private _linkFreeAt: Ms = 0

  constructor (private readonly _n: number, private readonly _sim: Propagation) {
    this.node = `entry-${_n}`
    const { clock, plan } = _sim
    const follower = new StoreFollower({
      clock,
      log: silentLog,
      role: () => this._role,
      peer: node => ({ node, host: '127.0.0.1', port: 1 }),
      poll: (peer, after, wait) => this._poll(_sim.entries.find(({ node }) => node === peer.node)!, after, wait),
      bound: () => this.mirror.maxServedInterval
    })
    this.mirror = new StoreMirror({
      store: this._store as Store,
      clock,
      log: silentLog,
      role: () => this._role,
      follow: after => follower.changes(after),
      viewAge: new ViewAge(),
      isBehind: () => false,
      applyWithin: () => plan.applyWithin
    }, { reset: items => items.forEach(item => this._apply(item)), changed: event => { if (event.kind === 'put') this._apply(event.item) }, regained: () => {}, lost: () => {} })
  }

  private get _role (): StoreRole {
    const { links, zones } = this._sim.plan
    return storeRole(this.node, links.map((linkMbps, n) => ({ node: `entry-${n}`, zone: `${n % zones}`, linkMbps })))
  }

  private _apply ({ key, value }: StoreItem): void { if (key === configKey) this.version = Math.max(this.version, Number(value)) }

  private _fault (kind: EntryFault['kind'], at = this._sim.clock.now()): EntryFault | undefined {
    return this._sim.plan.faults.find(fault => fault.kind === kind && fault.entry === this._n && fault.from <= at && at < fault.to)
  }

  /** Whether the entry has been without a fault for some time. */
  inTouch (at: Ms): boolean {
    const { faults, contact } = this._sim.plan
    return !faults.some(({ entry, from, to }) => entry === this._n && from <= at && at < to + contact)
  }

  /** Waits until the entry is not frozen. */
  async thawed (): Promise<void> {
    const fault = this._fault('frozen')
    if (fault !== undefined) await this._sim.sleep(fault.to - this._sim.clock.now())
  }

  /** Carries bytes over the link, in parts. */
  private async _receive (bytes: number, onData: () => void): Promise<void> {
    const { clock, plan } = this._sim
    const perMs = plan.links[this._n]! * 1_000 / bitsPerByte
    const part = perMs * 100
    for (let left = bytes; left > 0; left -= part) {
      this._linkFreeAt = Math.max(this._linkFreeAt, clock.now()) + Math.min(left, part) / perMs
      await this._sim.sleep(this._linkFreeAt - clock.now())
      onData()
    }
    await this.thawed()
  }

  /** Runs a call to the store; one that meets a cut link gets no answer. */
  private async _call<T> (wait: Ms, answer: () => Promise<Result<T, StoreFailure>>): Promise<Result<T, StoreFailure>> {
    await this.thawed()
    if (this._fault('cut-off') !== undefined) {
      await this._sim.sleep(wait + storeMargin)
      return err({ kind: 'unknown', message: 'No answer.' })
    }
    await this._sim.sleep(callLatency)
    return await answer()
  }

  private get _store (): Pick<Store, 'list' | 'watch'> {
    const sim = this._sim
    return {
      list: (_, { onData = () => {} } = {}) => new ResultAsync<StoreListing, StoreFailure>(this._call(0, async () => {
        const listing = { items: [sim.config], revision: sim.revision, era: 0, bytes: sim.plan.configBytes + otherBytes }
        await this._receive(listing.bytes, onData)
        return ok(listing)
      })),
      watch: (_, revision, wait, { maxBytes, onData = () => {} }) => new ResultAsync<StoreChanges, StoreFailure>(this._call(wait, async () => {
        await sim.changed(revision, wait)
        const changes = sim.since(revision)
        const current = sim.revision
        const bytes = sizeOf(changes)
        await this._receive(Math.min(bytes, maxBytes), onData)
        return bytes > maxBytes ? err({ kind: 'too-large', message: 'The message is too large.' }) : ok({ events: changes.map(({ event }) => event), revision: current, era: 0 })
      }))
    }
  }

  private async _poll (peer: SimEntry, after: number, wait: Ms): Promise<FeedAnswer> {
    const sim = this._sim
    await this.thawed()
    const answered = (async () => {
      await sim.sleep(callLatency)
      await peer.thawed()
      const answer = await peer.mirror.feed.since(after, wait)
      await peer.thawed()
      const isLarge = answer.kind === 'changes' && answer.events.some(event => event.kind === 'put' && event.item.key === configKey)
      const rate = Math.min(sim.plan.links[this._n]!, sim.plan.links[peer._n]!) * 1_000 / bitsPerByte
      await sim.sleep(callLatency + (isLarge ? sim.plan.configBytes / compression / rate : 0))
      return answer
    })()
    const limit = sim.sleep(wait + pollMargin).then(() => { throw new Error('No answer.') })
    limit.catch(() => {})
    return await Promise.race([answered, limit])
  }
}

/**
 * Runs a simulation.
 *
 * @param plan - parameters
 * @returns the longest time in ms for which an entry in touch had an outdated version in force
 */
export async function simulatePropagation (plan: PropagationPlan): Promise<Ms> {
  const sim = new Propagation(plan)
  const { clock, entries } = sim
  sim.configure()
  for (const { mirror } of entries) mirror.start()
  let longest = 0
  let nextChange = settleTime
  let nextBeat = 0
  const end = settleTime + plan.changesFor + catchUpTime
  while (clock.now() < end) {
    clock.advance(stepMs)
    await settle()
    const now = clock.now()
    if (now >= nextBeat) {
      sim.beat(now % 29)
      nextBeat += 100
    }
    if (now >= nextChange && now < settleTime + plan.changesFor) {
      sim.configure()
      nextChange += plan.changeGap
    }
    for (const entry of entries) {
      const delay = now - (sim.writtenAt.get(entry.version + 1) ?? Infinity)
      if (now > settleTime && entry.inTouch(now)) longest = Math.max(longest, delay)
    }
  }
  for (const { mirror } of entries) mirror.stop()
  return longest
}

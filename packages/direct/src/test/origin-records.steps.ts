/**
 * Steps on origins of streams in the store, in virtual time.
 */
import assert from 'node:assert/strict'
import { Given, type IWorld, Then, When } from '@cucumber/cucumber'
import { FakeClock, sleep } from '@hazelford/core'
import type { Store, StoreFailure } from '@hazelford/ports'
import fc from 'fast-check'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { PeerTable } from '../lib/peers/peer-table.js'
import { OriginRecords } from '../lib/relay/origin-records.js'
import { decodeOrigins, encodeOrigins, originsPrefix } from '../lib/relay/origin-values.js'
import type { StreamOrigin } from '../lib/relay/stream-origins.js'
import { SimStore } from './support/sim-store.js'

const propertySeed = 20261207
const log = { info: () => {}, warn: () => {} }
/** Time in ms in which callers of the streams can come back. */
const lasts = 12_000
/** Time in ms by which origins are in a store that answers: a batch, or a retry after a failure and a batch. */
const writtenMs = 2_500
const stepMs = 50
const origin: StreamOrigin = { service: 'models', software: 'v1' }

/** Time in ms in which a slow store answers. */
const slowMs = 300

/** What the store does with the next calls. */
type StoreState = 'answers' | 'slow' | 'away' | 'loses-answers'

/** Entries that write origins to one store. */
class Records {
  readonly clock = new FakeClock()
  readonly sim = new SimStore(this.clock)
  state: StoreState = 'answers'
  hasSeveral = true
  entryCount = 1
  calls = 0
  largest = 0
  private _lives = 0

  /** Starts an entry, which reads what the store has. */
  start (node: string): OriginRecords {
    const life = ++this._lives
    const records = new OriginRecords({
      node,
      incarnation: `life${life}`,
      clock: this.clock,
      log,
      store: this._store(life),
      entryCount: () => this.entryCount,
      hasSeveralVersions: () => this.hasSeveral,
      counted: () => {},
      random: () => 0.5
    })
    for (const { key, value } of this._items) records.receive(key, value)
    return records
  }

  /** Origins in the store, by stream. */
  get stored (): ReadonlyMap<string, StreamOrigin> {
    return new Map(this._items.flatMap(({ value }) => decodeOrigins(value)!.map(({ request, service, software }) => [request, { service, software }])))
  }

  get batches (): number { return this._items.length }

  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(Math.min(stepMs, ms - passed))
      for (let turn = 0; turn < 12; turn++) await Promise.resolve()
    }
  }

  private get _items (): readonly { readonly key: string, readonly value: string }[] {
    return [...this.sim.items.values()].filter(({ key }) => key.startsWith(originsPrefix))
  }

  private _store (life: number): Pick<Store, 'commit' | 'grantLease'> {
    const failed = (kind: StoreFailure['kind']): StoreFailure => ({ kind, message: 'no answer' })
    return {
      grantLease: ttl => {
        this.calls++
        return this.state === 'answers' || this.state === 'slow' ? okAsync({ lease: this.sim.grant(ttl, life), ttl, era: 0 }) : errAsync(failed('unknown'))
      },
      commit: txn => {
        this.calls++
        if (this.state === 'away') return errAsync(failed('not-applied'))
        this.largest = Math.max(this.largest, ...txn.puts.map(({ value }) => value.length))
        assert.ok(txn.puts.length + txn.removals.length <= 31)
        const outcome = this.sim.commit(txn)
        if (this.state === 'loses-answers') return errAsync(failed('unknown'))
        return this.state === 'slow' ? ResultAsync.fromSafePromise(sleep(this.clock, slowMs).then(() => outcome)) : okAsync(outcome)
      }
    }
  }
}

interface RecordsWorld extends IWorld { world: Records, records: OriginRecords, table: PeerTable }

type RecordEvent =
  | { readonly kind: 'begin', readonly entry: number, readonly software: number }
  | { readonly kind: 'deliver', readonly stream: number }
  | { readonly kind: 'restart', readonly entry: number }
  | { readonly kind: 'store', readonly state: StoreState }
  | { readonly kind: 'versions', readonly several: boolean }
  | { readonly kind: 'wait', readonly ms: number }

const nodes = ['e1', 'e2', 'e3']
const entryIndex = fc.nat(nodes.length - 1)
const anyEvent: fc.Arbitrary<RecordEvent> = fc.oneof(
  fc.record({ kind: fc.constant('begin' as const), entry: entryIndex, software: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('deliver' as const), stream: fc.nat(20) }),
  fc.record({ kind: fc.constant('restart' as const), entry: entryIndex }),
  fc.record({ kind: fc.constant('store' as const), state: fc.constantFrom<StoreState>('answers', 'slow', 'away', 'loses-answers') }),
  fc.record({ kind: fc.constant('versions' as const), several: fc.boolean() }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 3_000 }) })
)

interface Begun { readonly origin: StreamOrigin, readonly at: number, readonly records: OriginRecords, isDelivered: boolean }

async function play (events: readonly RecordEvent[]): Promise<void> {
  const world = new Records()
  const entries = nodes.map(node => world.start(node))
  const began = new Map<string, Begun>()
  for (const [n, event] of events.entries()) {
    switch (event.kind) {
      case 'begin': {
        const begins = { service: 'models', software: `v${event.software}` }
        const records = entries[event.entry]!
        began.set(`r${n}`, { origin: begins, at: world.clock.now(), records, isDelivered: false })
        records.record(`r${n}`, begins, lasts)
        break
      }
      case 'deliver': {
        const [request, stream] = [...began][event.stream] ?? []
        if (request === undefined || stream === undefined) break
        stream.isDelivered = true
        stream.records.forget(request)
        break
      }
      case 'restart':
        entries[event.entry]!.stop()
        entries[event.entry] = world.start(nodes[event.entry]!)
        break
      case 'store': world.state = event.state; break
      case 'versions':
        world.hasSeveral = event.several
        for (const records of entries) records.upstreamsChanged()
        break
      case 'wait': await world.advance(event.ms); break
    }
  }
  world.state = 'answers'
  world.hasSeveral = true
  for (const records of entries) records.upstreamsChanged()
  const settledAt = world.clock.now()
  await world.advance(writtenMs)
  const alive = new Set(entries)
  for (const records of entries) records.stop()
  const later = world.start('e1')
  for (const [request, { origin: right, at, records, isDelivered }] of began) {
    const found = later.find(request)
    if (found !== undefined) assert.deepEqual({ service: found.service, software: found.software }, right)
    const isOpen = !isDelivered && world.clock.now() < at + lasts
    if (isOpen && alive.has(records)) assert.ok(found !== undefined, `${request}, which began at ${at}, is not found; the store answers since ${settledAt}`)
  }
}

Then('over {int} random orders of events an origin that is found in the store is the right one, and each that was written is found', async function (orders: number) {
  await fc.assert(fc.asyncProperty(fc.array(anyEvent, { maxLength: 25 }), play), { seed: propertySeed, numRuns: orders })
})

Given('the records of one entry, and one software version', function (this: RecordsWorld) {
  this.world = new Records()
  this.world.hasSeveral = false
  this.records = this.world.start('e1')
})

Given('the records of one entry, and two software versions', function (this: RecordsWorld) {
  this.world = new Records()
  this.records = this.world.start('e1')
})

Given('the records of one entry of {int}, and two software versions', function (this: RecordsWorld, entries: number) {
  this.world = new Records()
  this.world.entryCount = entries
  this.records = this.world.start('e1')
})

function begin ({ records }: RecordsWorld, count: number, name: string): void { for (let n = 0; n < count; n++) records.record(`${name}${n}`, origin, lasts) }

When('{int} streams begin there', function (this: RecordsWorld, count: number) {
  begin(this, count, 'r')
  return this.world.advance(writtenMs)
})

When('{int} streams begin there, and all but {int} are delivered within 100 ms', async function (this: RecordsWorld, count: number, open: number) {
  begin(this, count, 'r')
  await this.world.advance(100)
  for (let n = open; n < count; n++) this.records.forget(`r${n}`)
  await this.world.advance(writtenMs)
})

When('they are delivered, and {int} more stream begins', function (this: RecordsWorld, count: number) {
  for (let n = 0; n < 10; n++) this.records.forget(`r${n}`)
  begin(this, count, 'later')
  return this.world.advance(writtenMs)
})

When('a stream with 1 s begins there, and is resumed there for 12 s while the store carries out the write', async function (this: RecordsWorld) {
  this.world.state = 'slow'
  this.records.record('resumed', origin, 1_000)
  await this.world.advance(300)
  this.records.record('resumed', origin, lasts)
  await this.world.advance(slowMs)
  this.world.state = 'answers'
})

When(/^(\d+) streams? begins? there 3 s later$/, async function (this: RecordsWorld, count: string) {
  await this.world.advance(3_000)
  begin(this, Number(count), 'later')
  await this.world.advance(writtenMs)
})

When('a second software version appears', function (this: RecordsWorld) {
  this.world.hasSeveral = true
  this.records.upstreamsChanged()
  return this.world.advance(writtenMs)
})

When('the store is away for {int} s, and {int} streams begin there in each second', async function (this: RecordsWorld, seconds: number, each: number) {
  this.world.state = 'away'
  for (let second = 0; second < seconds; second++) {
    for (let n = 0; n < each; n++) this.records.record(`r${second}-${n}`, origin, 60_000)
    await this.world.advance(1_000)
  }
})

When('the store returns', function (this: RecordsWorld) {
  this.world.state = 'answers'
  return this.world.advance(writtenMs)
})

When('a stream begins there every 50 ms for {int} s', async function (this: RecordsWorld, seconds: number) {
  for (let n = 0; n < seconds * 20; n++) {
    this.records.record(`r${n}`, origin, lasts)
    await this.world.advance(50)
  }
})

When(/^the store has the value (.+)$/, function (this: RecordsWorld, value: string) { this.records.receive(`${originsPrefix}e2/other-0`, value) })

Then('the store has no record', function (this: RecordsWorld) {
  assert.equal(this.world.batches, 0)
  assert.equal(this.world.calls, 0)
})

Then(/^the store has the origins of (\d+) streams? in (\d+) batch(?:es)?$/, function (this: RecordsWorld, streams: string, batches: string) {
  assert.equal(this.world.stored.size, Number(streams))
  assert.equal(this.world.batches, Number(batches))
})

Then('the store has the origins of {int} streams in {int} batches or more, of {int} bytes at most', function (this: RecordsWorld, streams: number, batches: number, bytes: number) {
  assert.equal(this.world.stored.size, streams)
  assert.ok(this.world.batches >= batches)
  assert.ok(this.world.largest <= bytes, `${this.world.largest} bytes`)
})

Then('at most {int} streams wait, and at most {int} calls were made', function (this: RecordsWorld, streams: number, calls: number) {
  assert.ok(this.records.waiting <= streams, `${this.records.waiting} wait`)
  assert.ok(this.world.calls <= calls, `${this.world.calls} calls`)
})

Then('at most {int} calls were made', function (this: RecordsWorld, calls: number) { assert.ok(this.world.calls <= calls, `${this.world.calls} calls`) })

Then('no origin is known', function (this: RecordsWorld) { assert.equal(this.records.find('r1'), undefined) })

Given('a table of entries that does not know records of origins', function (this: RecordsWorld) { this.table = new PeerTable(new FakeClock(), () => {}) })

When('the store has a record of origins', function (this: RecordsWorld) {
  const item = { key: `${originsPrefix}e1/life1-0`, value: encodeOrigins([{ request: 'r1', ...origin, lasts }]), revision: 1 }
  this.table.reset([item])
  this.table.apply({ kind: 'put', item: { ...item, revision: 2 } })
  this.table.apply({ kind: 'removed', key: item.key, revision: 3 })
  this.table.reset([item])
})

Then('the table has no entry and no holder', function (this: RecordsWorld) {
  assert.deepEqual(this.table.entries, [])
  assert.deepEqual(this.table.holders, [])
})

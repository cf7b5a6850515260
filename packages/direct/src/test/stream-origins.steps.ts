/**
 * Steps on the origins of streams, in virtual time.
 */
import assert from 'node:assert/strict'
import { Given, type IWorld, Then, When } from '@cucumber/cucumber'
import { FakeClock } from '@hazelford/core'
import fc from 'fast-check'
import { IncarnationCheck } from '../lib/engines/incarnation-check.js'
import { OriginCoordinator } from '../lib/relay/origin-coordinator.js'
import type { PeerAddress } from '../lib/peers/peer-table.js'
import type { StreamOrigin } from '../lib/relay/stream-origins.js'

const propertySeed = 20261204
const log = { info: () => {}, warn: () => {} }
/** Time in ms in which callers of the streams can come back. */
const lasts = 5_000
/** Time in ms by which the entries have received an origin that was not lost. */
const reported = 400
const origin: StreamOrigin = { service: 'models', software: 'v1' }

/** A store that is away. */
const noRecords = { record: () => {}, forget: () => {}, find: () => undefined }

/** Entries that exchange origins in memory. */
class Entries {
  readonly clock = new FakeClock()
  readonly coordinators = new Map<string, OriginCoordinator>()
  /** Entries that answer no call. */
  readonly ended = new Set<string>()
  /** Entries whose next message is lost. */
  readonly losing = new Set<string>()
  /** Entries that have received an origin, by stream. */
  readonly receivedBy = new Map<string, Set<string>>()

  constructor (names: readonly string[]) {
    const entries = names.map((node, n): PeerAddress => ({ node, host: '127.0.0.1', port: 1_000 + n }))
    for (const node of names) this.coordinators.set(node, new OriginCoordinator({ node, clock: this.clock, log, client: this._client(node), entries: () => entries, records: noRecords }))
  }

  private _client (from: string): ConstructorParameters<typeof OriginCoordinator>[0]['client'] {
    return {
      reportOrigins: async (peer, msg) => {
        if (this.ended.has(peer.node) || this.ended.has(from) || this.losing.delete(from)) throw new Error('no answer')
        for (const { request } of msg.origins) this.receivedBy.set(request, new Set([...this.receivedBy.get(request) ?? [], peer.node]))
        this.coordinators.get(peer.node)!.receive(msg)
      },
      queryOrigin: async (peer, query) => {
        if (this.ended.has(peer.node)) throw new Error('no answer')
        return this.coordinators.get(peer.node)!.answer(query).origin
      }
    }
  }

  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.clock.advance(50)
      for (let turn = 0; turn < 4; turn++) await Promise.resolve()
    }
  }
}

interface OriginsWorld extends IWorld { entries: Entries, check: IncarnationCheck }

type OriginEvent =
  | { readonly kind: 'begin', readonly entry: number, readonly software: number }
  | { readonly kind: 'lose', readonly entry: number }
  | { readonly kind: 'end', readonly entry: number }
  | { readonly kind: 'wait', readonly ms: number }

const names = ['e1', 'e2', 'e3', 'e4', 'e5']
const entryIndex = fc.nat(names.length - 1)
const anyEvent: fc.Arbitrary<OriginEvent> = fc.oneof(
  fc.record({ kind: fc.constant('begin' as const), entry: entryIndex, software: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('lose' as const), entry: entryIndex }),
  fc.record({ kind: fc.constant('end' as const), entry: entryIndex }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 600 }) })
)

async function play (events: readonly OriginEvent[]): Promise<void> {
  const entries = new Entries(names)
  const began = new Map<string, { readonly node: string, readonly origin: StreamOrigin, readonly at: number }>()
  for (const [n, event] of events.entries()) {
    if (event.kind === 'wait') {
      await entries.advance(event.ms)
      continue
    }
    const node = names[event.entry]!
    if (event.kind === 'lose') entries.losing.add(node)
    else if (event.kind === 'end') entries.ended.add(node)
    else if (!entries.ended.has(node)) {
      const request = `r${n}`
      const begins = { service: 'models', software: `v${event.software}` }
      began.set(request, { node, origin: begins, at: entries.clock.now() })
      entries.coordinators.get(node)!.record(request, begins, lasts)
    }
  }
  await entries.advance(reported)
  const asking = names.find(name => !entries.ended.has(name))
  if (asking === undefined) return
  for (const [request, { node, origin: right, at }] of began) {
    const found = await entries.coordinators.get(asking)!.find(request)
    if (found !== undefined) assert.deepEqual(found.origin, right)
    const isKept = [node, ...entries.receivedBy.get(request) ?? []].some(keeper => !entries.ended.has(keeper))
    // The entry that began the stream is asked only while it is one of the first in the order of the stream's keepers.
    const isReachable = isKept && (asking === node || [...entries.receivedBy.get(request) ?? []].some(keeper => !entries.ended.has(keeper)))
    if (isReachable && entries.clock.now() < at + lasts) assert.notEqual(found, undefined, `${request} of ${node}, asked at ${asking}`)
  }
}

Then('over {int} random orders of events an origin that is found is the right one, and it is found while its entry or an entry that received it runs', async function (orders: number) {
  await fc.assert(fc.asyncProperty(fc.array(anyEvent, { maxLength: 20 }), play), { seed: propertySeed, numRuns: orders })
})

Given('the origins of three entries, two of which reject every call of their peers', function (this: OriginsWorld) {
  this.entries = new Entries(['e1', 'e2', 'e3'])
  this.entries.ended.add('e2').add('e3')
})

When('a stream begins at the first entry', async function (this: OriginsWorld) {
  this.entries.coordinators.get('e1')!.record('r1', origin, lasts)
  await this.entries.advance(reported)
})

Then('the other entries do not find its origin', async function (this: OriginsWorld) {
  this.entries.ended.add('e1')
  for (const node of ['e2', 'e3']) assert.equal(await this.entries.coordinators.get(node)!.find('r1'), undefined)
})

Given('the origins of one entry', function (this: OriginsWorld) { this.entries = new Entries(['e1']) })

When('{int} streams begin there within a second', function (this: OriginsWorld, count: number) {
  for (let n = 0; n < count; n++) this.entries.coordinators.get('e1')!.record(`r${n}`, origin, lasts)
})

Then('it keeps at most {int} of them, and none once their callers\' time is over', async function (this: OriginsWorld, most: number) {
  const coordinator = this.entries.coordinators.get('e1')!
  assert.ok(coordinator.known <= most)
  await this.entries.advance(lasts)
  coordinator.record('last', origin, lasts)
  assert.equal(coordinator.known, 1)
})

Given('a connection opened at {int} to an upstream whose record names the start {int}', function (this: OriginsWorld, _opened: number, start: number) {
  this.check = new IncarnationCheck(new FakeClock(), start)
})

When(/^a report requested at (\d+) names the start (\d+|nothing)$/, function (this: OriginsWorld, requested: string, start: string) {
  this.check.recordReport(start === 'nothing' ? undefined : Number(start), Number(requested))
})

Then(/^the connection is (confirmed|not confirmed)$/, function (this: OriginsWorld, verdict: string) {
  assert.equal(this.check.isConfirmed(100), verdict === 'confirmed')
})

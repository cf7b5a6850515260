/**
 * Steps on the order in which an entry applies answers of the store and of peers.
 */
import assert from 'node:assert/strict'
import { Agent, createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { FakeClock, silentLog } from '@hazelford/core'
import { type StoreRole, ViewAge } from '@hazelford/decisions'
import type { Store, StoreChanges, StoreEvent, StoreFailure, StoreListing } from '@hazelford/ports'
import { ok, type Result, ResultAsync } from 'neverthrow'
import type { FollowedChanges } from '../lib/store/store-follower.js'
import { callJson, NoAnswer } from '../lib/peers/json-client.js'
import { StoreMirror } from '../lib/store/store-mirror.js'

const watcher: StoreRole = { kind: 'watch', watchers: 1, hasFollowers: false }
const follower: StoreRole = { kind: 'follow', watchersToAsk: ['other'] }
const longerThanPauseMs = 1_000
const lateChange: StoreEvent = { kind: 'put', item: { key: 'servers/i-1', value: 'outdated', revision: 6 } }

interface ReadWorld { failure: unknown }

interface MirrorWorld {
  clock: FakeClock
  mirror: StoreMirror
  /** Calls to the store and to the watcher, in order. */
  calls: string[]
  applied: StoreEvent[]
  answerWatch: (answer: Result<StoreChanges, StoreFailure>) => void
  answerPoll: (changes: FollowedChanges) => void
}

/** Lets everything run that waits for a promise. */
function settle (): Promise<void> { return new Promise(resolve => setImmediate(resolve)) }

async function startMirror (world: MirrorWorld, role: StoreRole): Promise<void> {
  world.clock = new FakeClock()
  world.calls = []
  world.applied = []
  const listing: StoreListing = { items: [], revision: 5, era: 0, bytes: 100 }
  const store: Pick<Store, 'list' | 'watch'> = {
    list: () => {
      world.calls.push('list')
      return new ResultAsync(Promise.resolve(ok(listing)))
    },
    watch: () => {
      world.calls.push('watch')
      return new ResultAsync(new Promise(resolve => { world.answerWatch = resolve }))
    }
  }
  world.mirror = new StoreMirror({
    store: store as Store,
    clock: world.clock,
    log: silentLog,
    role: () => role,
    follow: () => {
      if (role.kind === 'watch') return Promise.resolve(undefined)
      world.calls.push('poll')
      return new Promise(resolve => { world.answerPoll = resolve })
    },
    viewAge: new ViewAge(),
    isBehind: () => false,
    applyWithin: () => 2_000
  }, { reset: () => {}, changed: event => world.applied.push(event), regained: () => {}, lost: () => {} })
  world.mirror.start()
  await settle()
  world.clock.advance(longerThanPauseMs)
  await settle()
}

After(function (this: Partial<MirrorWorld>) { this.mirror?.stop() })

Given('an entry that mirrors the store and waits for changes', async function (this: MirrorWorld) {
  await startMirror(this, watcher)
  assert.deepEqual(this.calls, ['list', 'watch'])
})

Given('an entry that mirrors the store and polls a watcher', async function (this: MirrorWorld) {
  await startMirror(this, follower)
  assert.deepEqual(this.calls, ['list', 'poll'])
})

When('it applies a peer\'s view, and then the answer of its watch arrives', async function (this: MirrorWorld) {
  this.mirror.scheduleRelist()
  this.answerWatch(ok({ events: [lateChange], revision: 6, era: 0 }))
  await settle()
})

When('it applies a peer\'s view, and then the watcher\'s answer arrives', async function (this: MirrorWorld) {
  this.mirror.scheduleRelist()
  this.answerPoll({ events: [lateChange], revision: 6, era: 0, age: 0, viewAge: 0, polledAt: { now: 0, wall: 0 } })
  await settle()
})

Then('it lists the store, and applies nothing of that answer', function (this: MirrorWorld) {
  assert.deepEqual(this.applied, [])
  assert.equal(this.calls[2], 'list')
})

When(/^an entry reads an answer of (\d+) bytes of which it accepts (\d+), and its length is (declared|not declared)$/, async function (this: ReadWorld, size: string, maxBytes: string, length: string) {
  const body = Buffer.alloc(Number(size), ' ')
  const server = createServer((_, res) => {
    res.on('error', () => {})
    res.writeHead(200, length === 'declared' ? { 'content-length': size } : {})
    res.end(body)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const read = callJson(new Agent(), { host: '127.0.0.1', port, method: 'GET', path: '/', timeout: 1_000, maxBytes: Number(maxBytes) })
  this.failure = await read.then(() => undefined, (error: unknown) => error)
  server.closeAllConnections()
  server.close()
  await settle()
})

Then('the read fails as too large after at most {int} bytes', function (this: ReadWorld, most: number) {
  assert.ok(this.failure instanceof NoAnswer)
  assert.equal(this.failure.kind, 'too-large')
  assert.ok(this.failure.bytes <= most, `${this.failure.bytes} bytes`)
})

/**
 * Steps on the order in which an entry applies answers of the store and of peers.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { FakeClock, silentLog } from '@hazelford/core'
import { type StoreRole, ViewAge } from '@hazelford/decisions'
import type { Store, StoreChanges, StoreEvent, StoreFailure, StoreListing } from '@hazelford/ports'
import { ok, type Result, ResultAsync } from 'neverthrow'
import type { FollowedChanges } from '../lib/store-follower.js'
import { StoreMirror } from '../lib/store-mirror.js'

const watcher: StoreRole = { kind: 'watch', watchers: 1, hasFollowers: false }
const follower: StoreRole = { kind: 'follow', watchersToAsk: ['other'] }
const longerThanPauseMs = 1_000
const lateChange: StoreEvent = { kind: 'put', item: { key: 'servers/i-1', value: 'outdated', revision: 6 } }

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
  const listing: StoreListing = { items: [], revision: 5, bytes: 100 }
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
  this.answerWatch(ok({ events: [lateChange], revision: 6 }))
  await settle()
})

When('it applies a peer\'s view, and then the watcher\'s answer arrives', async function (this: MirrorWorld) {
  this.mirror.scheduleRelist()
  this.answerPoll({ events: [lateChange], revision: 6, age: 0, viewAge: 0, polledAt: { now: 0, wall: 0 } })
  await settle()
})

Then('it lists the store, and applies nothing of that answer', function (this: MirrorWorld) {
  assert.deepEqual(this.applied, [])
  assert.equal(this.calls[2], 'list')
})

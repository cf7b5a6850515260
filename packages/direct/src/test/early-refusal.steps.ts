/**
 * Places requests among engines whose holders answer with predicted waits.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { FakeClock, silentLog } from '@hazelford/core'
import type { AdapterDirectory } from '../lib/engines/adapter-directory.js'
import type { LoadRequestOutcome } from '../lib/engines/engine-holder.js'
import type { Membership } from '../lib/placing/membership.js'
import { type Placement, Placer } from '../lib/placing/placer.js'
import { Upstream } from '../lib/placing/upstream.js'

interface RefusalWorld { waits: readonly (number | undefined)[], calls: string[], placed: Placement, took: number }

Given(/^\d engines whose holders predict waits of (.+) ms$/, function (this: RefusalWorld, list: string) {
  this.waits = list.split(/ and | /).map(wait => wait === 'unknown' ? undefined : Number(wait))
})

When('a request with {int} ms left is placed', async function (this: RefusalWorld, patience: number) {
  const clock = new FakeClock()
  const model = { model: 'base', version: 1, adapters: [] }
  const upstreams = this.waits.map((_, n) => new Upstream({ id: `e${n}`, service: 's', host: '127.0.0.1', port: 1, zone: 'z', slots: 8, state: 'ready', models: [model], orders: 0 }, clock, 1))
  const calls: string[] = []
  const ensure = async ({ id }: Upstream, query: { readonly mayWait: boolean }): Promise<LoadRequestOutcome> => {
    calls.push(id)
    const wait = this.waits[Number(id.slice(1))]
    if (wait === 0) return { kind: 'ready', until: 1_000, version: undefined }
    // A queued request waits for as long as one call to a holder may last.
    if (query.mayWait) await new Promise<void>(resolve => clock.after(400, () => resolve()))
    return { kind: 'unavailable', cause: 'every slot is in use', line: 3, ...(wait === undefined ? {} : { wait }) }
  }
  const directory = { ensure, canRequestLoad: () => true, refreshOwnLoads: () => {}, presence: (upstream: Upstream) => this.waits[Number(upstream.id.slice(1))] === 0 ? 'loadable' : 'recent' }
  const members = { serving: () => upstreams, get: (id: string) => upstreams.find(upstream => upstream.id === id) }
  const placer = new Placer({
    clock,
    log: silentLog,
    zone: 'z',
    members: members as unknown as Membership,
    directory: directory as unknown as AdapterDirectory,
    entries: () => 1,
    adapterSlots: () => 4,
    admit: () => ({ kind: 'admitted', refund: () => {} })
  })
  const placements: Placement[] = []
  const placing = placer.place({ service: 's', want: () => ({ model: 'base', adapter: 'a' }), urgency: 1, avoid: new Set(), software: { kind: 'any' }, patience, prompt: { request: 'r', tokens: 10, dueAt: 800 }, cancelled: () => false }).then(placement => { placements.push(placement) })
  for (let n = 0; n < 1_000 && placements.length === 0; n++) {
    await new Promise(resolve => setImmediate(resolve))
    if (placements.length === 0) clock.advance(10)
  }
  await placing
  this.placed = placements[0]!
  this.took = clock.now()
  this.calls = calls
})

Then('it is refused within {int} ms, with a retry-after of {int} to {int} ms, and each engine was asked once', function (this: RefusalWorld, most: number, from: number, to: number) {
  assert.ok(this.placed.kind === 'unplaced' && this.placed.cause === 'adapter-unavailable' && this.took <= most, `${this.placed.kind} after ${this.took} ms`)
  const { retryAfter } = this.placed
  assert.ok(retryAfter !== undefined && retryAfter >= from && retryAfter <= to, `retry-after ${retryAfter}`)
  assert.deepEqual([...this.calls].sort(), this.waits.map((_, n) => `e${n}`))
})

Then('it is placed at the last of them', function (this: RefusalWorld) {
  assert.ok(this.placed.kind === 'placed' && this.placed.upstream.id === `e${this.waits.length - 1}`)
})

Then('it is refused after {int} ms or more', function (this: RefusalWorld, least: number) {
  assert.ok(this.placed.kind === 'unplaced' && this.took >= least, `${this.placed.kind} after ${this.took} ms`)
})

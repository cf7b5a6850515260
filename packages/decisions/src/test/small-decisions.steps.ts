/**
 * Property tests of the small decisions.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { ConfigDocument } from '@hazelford/core'
import { chooseUpstream, type RouteWeights } from '../lib/choose-upstream.js'
import type { PlanReport } from '../lib/plan-messages.js'
import { rendezvousOrder } from '../lib/rendezvous.js'
import { RequestLedger } from '../lib/request-ledger.js'
import { RetryBudget } from '../lib/retry-budget.js'
import { LatestRevision } from '../lib/latest-revision.js'
import { UpstreamView } from '../lib/upstream-view.js'
import { propertyOptions } from './support/property-options.js'

Then('a ledger and a set of everything received agree on which frames may run', () => {
  const frames = fc.array(fc.record({ withdraw: fc.boolean(), seq: fc.integer({ min: 1, max: 30 }) }), { maxLength: 100 })
  fc.assert(fc.property(frames, list => {
    const ledger = new RequestLedger()
    const run = new Set<number>()
    const withdrawn = new Set<number>()
    for (const { withdraw, seq } of list) {
      if (withdraw) {
        if (ledger.recordWithdrawal(seq)) withdrawn.add(seq)
      } else if (ledger.register(seq) === 'new') {
        assert.ok(!run.has(seq), 'the frame ran twice')
        assert.ok(!withdrawn.has(seq), 'the frame ran after its withdraw')
        run.add(seq)
      }
    }
  }), propertyOptions)
})

Then('for any order of documents the revision in force is the highest offered so far', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 50 })), revisions => {
    const holder = new LatestRevision()
    let highest = 0
    for (const revision of revisions) {
      holder.offer({ revision, writeId: '', author: '', at: 0, sha256: '', text: '' } satisfies ConfigDocument)
      highest = Math.max(highest, revision)
      assert.equal(holder.revision, highest)
    }
  }), propertyOptions)
})

Then('for any mix of attempts and retries the retries stay within the budget', () => {
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 1_000 }), fc.double({ min: 0, max: 0.5, noNaN: true }), (isRetry, share) => {
    const budget = new RetryBudget(share)
    let first = 0
    let retries = 0
    for (const retry of isRetry) {
      if (retry) retries += budget.takeRetry() ? 1 : 0
      else {
        first++
        budget.firstAttempt()
      }
    }
    const burst = 10
    assert.ok(retries <= first * share + burst + 1e-6)
  }), propertyOptions)
})

Then('for any set of upstreams the order of the others is unchanged', () => {
  const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 2, maxLength: 12 })
  fc.assert(fc.property(names, fc.string(), fc.nat(), (nodes, key, which) => {
    const gone = nodes[which % nodes.length]!
    const before = rendezvousOrder(key, nodes).filter(node => node !== gone)
    assert.deepEqual(rendezvousOrder(key, nodes.filter(node => node !== gone)), before)
  }), propertyOptions)
})

const weights: RouteWeights = { stall: 1, queue: 1, batch: 0.2, zonePenalty: 5 }

function report (part: Partial<PlanReport>): PlanReport {
  return { running: 0, queued: 0, places: 4, slots: 4, adapters: [], loadMs: 400, loadsWaiting: 0, serviceMs: 200, ...part }
}

function view (name: string, part: Partial<PlanReport>): UpstreamView {
  const made = new UpstreamView(name, 's', 'z')
  made.update('serving', report(part), -60_000)
  return made
}

Then('a hundred requests between two reports are spread over all upstreams', () => {
  const views = ['a', 'b', 'c', 'd'].map(name => view(name, { adapters: [{ adapter: 'x@1', state: 'loaded', pins: 0 }] }))
  const counts = new Map<string, number>()
  for (let i = 0; i < 100; i++) {
    const chosen = chooseUpstream({ adapter: 'x@1', zone: 'z', tried: new Set() }, views, weights, 0, () => (i * 0.37) % 1)!
    chosen.recordSent('x@1')
    counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1)
  }
  for (const { name } of views) assert.ok((counts.get(name) ?? 0) >= 15, `${name} got ${counts.get(name) ?? 0}`)
})

Then('a hundred new adapters are spread over all upstreams though one has measured short loads', () => {
  const views = [view('fast', { loadMs: 25 }), view('b', { loadMs: 0 }), view('c', { loadMs: 0 })]
  const counts = new Map<string, number>()
  for (let i = 0; i < 100; i++) {
    const name = chooseUpstream({ adapter: `x${i}@1`, zone: 'z', tried: new Set() }, views, weights, 0, () => 0.5)!.name
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  for (const { name } of views) assert.ok((counts.get(name) ?? 0) >= 20, `${name} got ${counts.get(name) ?? 0}`)
})

Then('a request goes to the sidecar with the adapter while it has room and elsewhere once its queue is long', () => {
  const loaded = [{ adapter: 'x@1', state: 'loaded' as const, pins: 0 }]
  const choose = (queued: number): string | undefined => {
    const views = [view('holder', { adapters: loaded, running: 4, queued }), view('other', {})]
    return chooseUpstream({ adapter: 'x@1', zone: 'z', tried: new Set() }, views, weights, 0, () => 0)?.name
  }
  assert.equal(choose(0), 'holder')
  assert.equal(choose(100), 'other')
})

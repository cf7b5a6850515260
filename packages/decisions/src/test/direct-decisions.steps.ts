/**
 * Tests of routes, retry budgets, health and placement of an entry that sends directly.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { Route, RouteConfig } from '@hazelford/ports'
import { adapterShare, type PlacementCandidate, rankCandidates, replicasFor } from '../lib/place-request.js'
import { pickService, RouteTable } from '../lib/route-table.js'
import { SharedRetryBudget } from '../lib/shared-retry-budget.js'
import { UpstreamHealth } from '../lib/upstream-health.js'
import { propertyOptions } from './support/property-options.js'

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }

function route (host: string, pathPrefix: string, targets = [{ service: 's', weight: 1 }]): Route {
  return { name: `${host}${pathPrefix}`, host, pathPrefix, kind: 'read-only', targets, timeout: 1, latencyTarget: 1, priority: 1, maxAttempts: 1, resumable: false, public: false, gapTarget: 0 }
}

const segment = fc.constantFrom('a', 'b', 'ab')
const prefix = fc.array(segment, { maxLength: 3 }).map(parts => `/${parts.map(part => `${part}/`).join('')}`)

Then('for any set of routes the longest matching prefix of the host is chosen', () => {
  fc.assert(fc.property(fc.uniqueArray(prefix, { maxLength: 8 }), prefix, fc.constantFrom('x', 'y'), (prefixes, path, host) => {
    const routes = prefixes.map(one => route('x', one))
    const config: RouteConfig = { version: 1, routes, services: [], limits, access: { kind: 'anyone' } }
    const naive = host === 'x' ? [...prefixes].filter(one => path.startsWith(one)).sort((a, b) => b.length - a.length)[0] : undefined
    assert.equal(new RouteTable(config).match(`${host.toUpperCase()}:80`, `${path}?q=/a/`)?.pathPrefix, naive)
  }), propertyOptions)
})

Then('a split of 90 to 10 sends about a tenth to the smaller service, and a request always the same way', () => {
  const split = route('x', '/', [{ service: 'big', weight: 90 }, { service: 'small', weight: 10 }])
  const picks = Array.from({ length: 5_000 }, (_, n) => pickService(split, `request-${n}`))
  const small = picks.filter(service => service === 'small').length
  assert.ok(small > 400 && small < 600, `${small} of 5000`)
  assert.deepEqual(picks.slice(0, 100), Array.from({ length: 100 }, (_, n) => pickService(split, `request-${n}`)))
})

Then('for any arrivals at {int} entries all retries in any window stay within the shared budget', (entries: number) => {
  const [ratio, slack, window] = [0.2, 58, 10_000]
  const arrivals = fc.array(fc.record({ gap: fc.integer({ min: 0, max: 200 }), entry: fc.integer({ min: 0, max: entries - 1 }), repeats: fc.integer({ min: 0, max: 6 }) }), { minLength: 100, maxLength: 600 })
  fc.assert(fc.property(arrivals, list => {
    const budgets = Array.from({ length: entries }, () => new SharedRetryBudget({ ratio, slack, window }))
    const requests: number[] = []
    const repeats: number[] = []
    let now = 0
    for (const { gap, entry, repeats: wanted } of list) {
      now += gap
      const within = (times: readonly number[]): number => times.filter(at => at > now - window).length
      budgets[entry]!.recordRequest(now)
      requests.push(now)
      for (let n = 0; n < wanted; n++) if (budgets[entry]!.takeRetry(now, entries)) repeats.push(now)
      assert.ok(within(repeats) <= ratio * within(requests) + slack, `${within(repeats)} retries of ${within(requests)} requests`)
    }
  }), { ...propertyOptions, numRuns: 60 })
})

Then('two lost answers in a row eject an upstream, and it is readmitted', () => {
  const health = new UpstreamHealth()
  assert.equal(health.recordOutcome('lost', 0), false)
  assert.equal(health.recordOutcome('lost', 10), true)
  assert.equal(health.accepts(20), false)
  assert.equal(health.accepts(1_000), true)
})

Then('one error in seven answers ejects no upstream', () => {
  const health = new UpstreamHealth()
  for (let n = 1; n <= 700; n++) assert.equal(health.recordOutcome(n % 7 === 0 ? 'error' : 'answered', n * 10, 5), false)
})

Then('an upstream that refuses a request and never ends the refusal is ejected', () => {
  const health = new UpstreamHealth()
  assert.equal(health.recordOutcome('refused', 0), false)
  assert.equal(health.recordOutcome('endless', 1), true)
})

Then('an upstream that fails half of its requests is ejected', () => {
  const health = new UpstreamHealth()
  const ejections = Array.from({ length: 40 }, (_, n) => health.recordOutcome(n % 2 === 0 ? 'error' : 'answered', n * 10, 5))
  assert.ok(ejections.includes(true))
})

function candidate (id: string, over: Partial<PlacementCandidate>): PlacementCandidate {
  return { id, sameZone: true, running: 0, promptBacklog: 0, slots: 32, speed: 1, latency: 0, failureShare: 0, adapter: 'loadable', rank: 0, ...over }
}

const oneHome = { replicas: 1, serviceTime: 0, promptTokens: 0 }

Then('a request for an adapter goes to its home although other engines have fewer requests', () => {
  const [best] = rankCandidates([candidate('idle', { rank: 1 }), candidate('home', { rank: 0, running: 9 })], oneHome)
  assert.equal(best?.id, 'home')
})

Then('a request for an adapter leaves its home when the wait there is longer than a load elsewhere', () => {
  const [best] = rankCandidates([candidate('idle', { rank: 1 }), candidate('home', { rank: 0, running: 80 })], oneHome)
  assert.equal(best?.id, 'idle')
})

Then('a long prompt goes where no other prompt is being read', () => {
  const [best] = rankCandidates([candidate('reading', { adapter: 'loaded', promptBacklog: 7_000 }), candidate('free', { adapter: 'loaded', running: 6 })], { ...oneHome, replicas: 2 })
  assert.equal(best?.id, 'free')
})

Then('the most popular adapter has more homes than others', () => {
  assert.ok(replicasFor(0.22, 12, 21) > replicasFor(0.05, 12, 21))
  assert.equal(replicasFor(0.001, 12, 21), 1)
  assert.equal(replicasFor(1, 3, 21), 3)
  assert.equal(replicasFor(0.02, 12, 21), 2)
})

/** Shares of the requests for adapters of the usual skewed popularity: the first one has 22 in 100 requests. */
function zipfShares (adapters: number): readonly number[] {
  const weights = Array.from({ length: adapters }, (_, rank) => (rank + 1) ** -1.2)
  const sum = weights.reduce((a, b) => a + b, 0)
  return weights.map(weight => weight / sum)
}

Then('further homes take at most a quarter of the slots, where these are few as where they are many', () => {
  for (const [engines, slots] of [[8, 6], [6, 36], [13, 21], [36, 5]] as const) {
    const homes = zipfShares(3_000).reduce((sum, share) => sum + replicasFor(share, engines, slots) - 1, 0)
    assert.ok(homes <= engines * slots / 4, `${homes} further homes, ${engines * slots} slots`)
    assert.ok(homes >= 4, `${homes} further homes`)
  }
})

Then('an adapter that an entry has seen requested once has one home, however few requests the entry receives', () => {
  for (let all = 1; all <= 200; all++) assert.equal(replicasFor(adapterShare(1, all), 38, 16), 1)
})

Then('one that is requested for a tenth of the time has more homes at each of 30 entries', () => {
  // Each entry has counted some 70 requests within the last seconds.
  assert.ok(replicasFor(adapterShare(7, 70), 38, 16) > 1)
})

Then('a request for an adapter goes where it was loaded recently, and not home for a second copy', () => {
  const [best] = rankCandidates([candidate('home', { rank: 0 }), candidate('lately', { rank: 4, adapter: 'recent', running: 9 })], oneHome)
  assert.equal(best?.id, 'lately')
})

Then('a further home of a popular adapter is used as soon as the first one has more requests', () => {
  const [best] = rankCandidates([candidate('first', { rank: 0, adapter: 'loaded', running: 16 }), candidate('second', { rank: 1 })], { ...oneHome, replicas: 2 })
  assert.equal(best?.id, 'second')
})

/**
 * Checks how free batch slots are counted and shared, and how soon streams begin as a result.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { BatchSlots } from '@hazelford/decisions'
import fc from 'fast-check'
import { type LoadDigest, maxDigestsPerMessage, pickDigests, readDigests, toDigestRow } from '../lib/engines/load-digest.js'
import { simulateBatchSlots } from './support/batch-slot-simulation.js'

const propertySeed = 20261203
const seeds = [1, 2, 3]
const drafts = { entries: 68, engines: 84, places: 12, rate: 330, serviceTime: 2_000, length: 12_000, target: 800 }

Then('with batch slots granted by holders {int} in {int} streams begin in time, and {int} at most wait while batch slots are free', (least: number, of: number, most: number) => {
  const results = seeds.map(seed => simulateBatchSlots({ ...drafts, seed, knowsOwnOnly: false }))
  const mean = (read: (result: typeof results[number]) => number): number => results.reduce((sum, result) => sum + read(result), 0) / results.length
  assert.ok(mean(({ inTime }) => inTime) >= least / of, `in time ${mean(({ inTime }) => inTime)}`)
  assert.ok(mean(({ avoidableWaits }) => avoidableWaits) <= most, `avoidable waits ${mean(({ avoidableWaits }) => avoidableWaits)}`)
})

Then('a holder counts the requests that it admitted less those that entries report as ended, in any sequence', () => {
  const change = fc.record({ entry: fc.constantFrom('a', 'b', 'c'), begins: fc.boolean() })
  fc.assert(fc.property(fc.array(change, { maxLength: 60 }), changes => {
    const batchSlots = new BatchSlots(12)
    const open = new Map<string, number>()
    changes.forEach(({ entry, begins }, at) => {
      const before = open.get(entry) ?? 0
      open.set(entry, begins ? before + 1 : Math.max(0, before - 1))
      if (begins) batchSlots.admit(entry, at)
      else batchSlots.recordReport(entry, open.get(entry)!, at)
      const all = [...open.values()].reduce((sum, each) => sum + each, 0)
      assert.equal(batchSlots.running(at), all)
      assert.equal(batchSlots.free(at), Math.max(0, 12 - all))
    })
  }), { seed: propertySeed })
})

Then('the requests of a lost entry no longer count after {int} s', (seconds: number) => {
  const batchSlots = new BatchSlots(12)
  batchSlots.recordReport('lost', 7, 0)
  assert.equal(batchSlots.running(seconds * 1_000 - 1), 7)
  assert.equal(batchSlots.running(seconds * 1_000), 0)
})

Then('whatever is not a load digest is ignored', () => {
  const good: LoadDigest = { upstream: 'i-1', running: 3, promptBacklog: 0, age: 10 }
  assert.deepEqual(readDigests([toDigestRow(good), null, 7, {}, [], ['i-1'], ['i-1', 3, 0, -1], ['i-1', 'x', 0, 10], [7, 3, 0, 10], ['i-1', 3, null, 10]]), [good])
  fc.assert(fc.property(fc.jsonValue(), value => { assert.ok(Array.isArray(readDigests(value))) }), { seed: propertySeed })
})

Then('every engine that an entry knows of is reported in turn, and those that it holds always', () => {
  const digest = (n: number): LoadDigest => ({ upstream: `i-${n}`, running: n, promptBacklog: 0, age: 5 })
  const others = Array.from({ length: 84 }, (_, n) => digest(n))
  const own = [digest(100)]
  const reported = new Set<string>()
  for (let n = 0; n < 84; n++) {
    const picked = pickDigests(own, others, () => n / 84)
    assert.equal(picked[0]!.upstream, 'i-100')
    assert.ok(picked.length <= maxDigestsPerMessage)
    for (const { upstream } of picked) reported.add(upstream)
  }
  assert.equal(reported.size, 85)
})

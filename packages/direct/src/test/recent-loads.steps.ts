/**
 * Checks that entries learn of loads from the holder of an engine.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { RecentLoads } from '../lib/engines/recent-loads.js'

const seed = 20261202

Then('an entry that asks often enough receives every load once, however requests and loads interleave', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 32 }), { maxLength: 50 }), loadsBetweenRequests => {
    const recent = new RecentLoads()
    const received: number[] = []
    let heard = 0
    let loaded = 0
    for (const loads of loadsBetweenRequests) {
      for (let n = 0; n < loads; n++) recent.add({ key: `m/a${loaded}`, version: loaded++ })
      const update = recent.since(heard)
      heard = update.heard
      received.push(...update.loads.map(({ version }) => version))
    }
    assert.deepEqual(received, Array.from({ length: loaded }, (_, n) => n))
  }), { seed })
})

Then('an entry that last asked a former holder of the engine receives what the next holder has loaded', () => {
  const next = new RecentLoads()
  next.add({ key: 'm/a1', version: 1 })
  assert.deepEqual(next.since(40).loads, [{ key: 'm/a1', version: 1 }])
})

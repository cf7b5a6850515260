/**
 * Checks that entries hear of loads.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { RecentLoads } from '../lib/recent-loads.js'

const seed = 20261202

Then('an entry that asks often enough hears of every load once, however asks and loads mix', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 32 }), { maxLength: 50 }), loadsBetweenAsks => {
    const news = new RecentLoads()
    const heardOf: number[] = []
    let heard = 0
    let loaded = 0
    for (const loads of loadsBetweenAsks) {
      for (let n = 0; n < loads; n++) news.add({ key: `m/a${loaded}`, version: loaded++ })
      const told = news.since(heard)
      heard = told.heard
      heardOf.push(...told.loads.map(({ version }) => version))
    }
    assert.deepEqual(heardOf, Array.from({ length: loaded }, (_, n) => n))
  }), { seed })
})

Then('an entry that has heard a former holder of the engine hears what the next one has loaded', () => {
  const next = new RecentLoads()
  next.add({ key: 'm/a1', version: 1 })
  assert.deepEqual(next.since(40).loads, [{ key: 'm/a1', version: 1 }])
})

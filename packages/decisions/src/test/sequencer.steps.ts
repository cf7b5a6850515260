/**
 * Compares the sequencer with a naive one: a sorted set, read at the end.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { Sequencer } from '../lib/sequencer.js'
import { propertyOptions } from './support/property-options.js'

const window = 32
let offers: fc.Arbitrary<readonly number[]>

Given('any sequence of numbered items with repeats inside the window', () => {
  offers = fc.array(fc.nat({ max: window - 1 }), { minLength: 1, maxLength: 200 })
})

/** The longest prefix 0, 1, 2, ... of numbers that the offers contain. */
function naive (items: readonly number[]): readonly number[] {
  const seen = new Set(items)
  const out: number[] = []
  while (seen.has(out.length)) out.push(out.length)
  return out
}

Then('the sequencer delivers what a sorted set of them would', () => {
  fc.assert(fc.property(offers, items => {
    const delivered: number[] = []
    const sequencer = new Sequencer<number>(item => delivered.push(item), window)
    for (const item of items) sequencer.offer(item, item)
    assert.deepEqual(delivered, naive(items))
  }), propertyOptions)
})

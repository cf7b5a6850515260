/**
 * Checks what callers get from an engine with few adapter slots.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { simulateSlots, type SlotLoad } from './support/slot-simulation.js'

/** Value of a late stream to its caller, where a stream in time counts 1. */
const lateWeight = 0.3
const seeds = [1, 2, 3, 4]

const summaryLoad: Omit<SlotLoad, 'seed' | 'rate'> = { slots: 6, adapters: 3_000, length: 34_000, streamTime: 700, firstEventTime: 150, target: 1_000, patience: 2_500, reportInterval: 20 }

function meanValue (load: Omit<SlotLoad, 'seed'>): number {
  const results = seeds.map(seed => simulateSlots({ ...load, seed }))
  return results.reduce((sum, { inTime, late }) => sum + inTime + lateWeight * late, 0) / results.length
}

Then('at twice the load that the slots can carry callers get {float} of what they would get from an idle engine', (least: number) => {
  const got = meanValue({ ...summaryLoad, rate: 12 })
  assert.ok(got >= least, `callers get ${got}`)
})

/**
 * Checks what callers get of an engine with few slots.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { playSlots, type SlotLoad } from './support/slot-play.js'

/** A late stream is worth three tenths of one in time. */
const lateWorth = 0.3
const seeds = [1, 2, 3, 4]

const summaries: Omit<SlotLoad, 'seed' | 'rate'> = { slots: 6, adapters: 3_000, length: 34_000, runs: 700, reads: 150, target: 1_000, patience: 2_500, wordEvery: 20 }

function worth (load: Omit<SlotLoad, 'seed'>): number {
  const results = seeds.map(seed => playSlots({ ...load, seed }))
  return results.reduce((sum, { inTime, late }) => sum + inTime + lateWorth * late, 0) / results.length
}

Then('at twice the load that the slots can carry callers get {float} of what they would get from an idle engine', (least: number) => {
  const got = worth({ ...summaries, rate: 12 })
  assert.ok(got >= least, `callers get ${got}`)
})

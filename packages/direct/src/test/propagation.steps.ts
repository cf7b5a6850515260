/**
 * Steps on the time in which a configuration reaches all entries, in virtual time.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { type EntryFault, type PropagationPlan, simulatePropagation } from './support/propagation-simulation.js'

const propertySeed = 20261203
const zones = 4
const slowLink = 7
const fastLink = 200
const changesForMs = 8_000
const contactMs = 4_000
const fromMs = { min: 3_000, max: 10_000 }
const lastsMs = { min: 500, max: 4_000 }

function faultsOf (entries: number, most: number): fc.Arbitrary<readonly EntryFault[]> {
  const fault = fc.record({ kind: fc.constantFrom('frozen', 'cut-off'), entry: fc.nat(entries - 1), from: fc.integer(fromMs), lasts: fc.integer(lastsMs) })
  return fc.uniqueArray(fault, { maxLength: most, selector: ({ entry }) => entry })
    .map(faults => faults.map(({ lasts, ...rest }) => ({ ...rest, to: rest.from + lasts })))
}

/** Plans within what the links carry: a version takes 1 s at most on the slowest one. */
function plansOf (entries: number, faulty: number, applyWithin: number): fc.Arbitrary<PropagationPlan> {
  return fc.record({
    links: fc.array(fc.constantFrom(slowLink, slowLink, fastLink), { minLength: entries, maxLength: entries }),
    zones: fc.constant(zones),
    configBytes: fc.constantFrom(10_000, 200_000, 420_000, 840_000),
    changeGap: fc.integer({ min: 200, max: 2_500 }),
    changesFor: fc.constant(changesForMs),
    faults: faultsOf(entries, faulty),
    applyWithin: fc.constant(applyWithin),
    contact: fc.constant(contactMs)
  })
}

Then('in {int} simulations of {int} entries, of which up to {int} are frozen or cut off, each entry in touch has each version within {int} ms', async (runs: number, entries: number, faulty: number, ms: number) => {
  await fc.assert(fc.asyncProperty(plansOf(entries, faulty, ms), async plan => {
    const longest = await simulatePropagation(plan)
    assert.ok(longest <= ms, `An entry had an outdated version for ${Math.round(longest)} ms.`)
  }), { seed: propertySeed, numRuns: runs, endOnFailure: true })
})

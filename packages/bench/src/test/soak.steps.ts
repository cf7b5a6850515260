/**
 * A short soak with a fixed seed.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { runSoak, type SoakResult } from '../lib/run-soak.js'

const timeout = 90_000
let result: SoakResult

When('a soak with seed {int} runs for {int} seconds', { timeout }, async (seed: number, seconds: number) => {
  result = await runSoak(seed, seconds, line => process.stdout.write(`${line}\n`))
})

Then('requests were answered, faults were injected and no guarantee was violated', () => {
  assert.ok(result.answered > 100)
  assert.ok(result.faults >= 5)
  assert.deepEqual(result.violations, [])
})

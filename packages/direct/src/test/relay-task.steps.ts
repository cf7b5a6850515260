/**
 * Plays requests in random order; see {@link RelayModel}.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { RelayModel } from './support/relay-model.js'

Then('of {int} requests none breaks a rule', async (requests: number) => {
  for (let seed = 1; seed <= requests; seed++) {
    const model = new RelayModel(seed)
    await model.play()
    assert.deepEqual(model.violations, [], `seed ${seed}: ${model.trace.join(', ')}`)
  }
})

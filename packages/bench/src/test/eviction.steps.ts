/**
 * Steps that check response times.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import type { SystemWorld } from './support/world.js'

Then('the answer came within {int} ms', function (this: SystemWorld, limit: number) {
  assert.ok(this.results.at(-1)!.totalMs < limit, `${this.results.at(-1)!.totalMs} ms`)
})

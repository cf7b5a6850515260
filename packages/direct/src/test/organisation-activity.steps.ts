/**
 * Steps on an entry's counts of organisations' requests.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import { FakeClock } from '@hazelford/core'
import { OrganisationActivity } from '../lib/usage/organisation-activity.js'

interface ActivityWorld { clock: FakeClock, activity: OrganisationActivity }

function start (world: ActivityWorld): OrganisationActivity {
  world.clock = new FakeClock()
  world.activity = new OrganisationActivity(world.clock)
  return world.activity
}

Given('an entry that admitted {int} units of {string}, of which {int} were returned, and refused {int}', function (this: ActivityWorld, admitted: number, name: string, returned: number, refused: number) {
  const activity = start(this)
  activity.recordUnits(name, 'admitted', admitted)
  this.clock.advance(1_500)
  activity.recordUnits(name, 'admitted', -returned)
  activity.recordUnits(name, 'refused', refused)
})

Given('an entry with requests of {int} organisations', function (this: ActivityWorld, count: number) {
  const activity = start(this)
  for (let n = 0; n < count; n++) activity.recordEnd(`organisation-${n}`, 'delivered')
})

Then('its counts have {int} units admitted and {int} refused', function (this: ActivityWorld, admitted: number, refused: number) {
  const [counts] = this.activity.recent.values()
  assert.deepEqual([counts?.admitted, counts?.refused], [admitted, refused])
})

Then('they have none {int} s later', function (this: ActivityWorld, seconds: number) {
  this.clock.advance(seconds * 1_000)
  assert.equal(this.activity.recent.size, 0)
})

Then('its counts have {int} organisations', function (this: ActivityWorld, count: number) { assert.equal(this.activity.recent.size, count) })

/**
 * Plays engines of different speeds, with and without placement by their speeds.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { type BatchSlotResult, simulateBatchSlots, type UnevenEngines } from './support/batch-slot-simulation.js'

const seeds = [1, 2, 3]
const workload = { entries: 30, engines: 39, places: 32, serviceTime: 1_300, length: 10_000, target: 800, knowsOwnOnly: false }
const oneThirdSlow: UnevenEngines = { speeds: [1, 1, 1 / 2.4], knowsSpeeds: true, prompts: [826, 826, 826, 826, 2_368], pauseTarget: 300, copies: 48, adapterSlots: 16 }

interface Played { readonly late: number, readonly loads: number, readonly results: readonly BatchSlotResult[] }

const played = new Map<string, Played>()

function play (rate: number, over: Partial<UnevenEngines> = {}): Played {
  const key = `${rate} ${JSON.stringify(over)} ${over.weigh?.name ?? ''}`
  const known = played.get(key)
  if (known !== undefined) return known
  const results = seeds.map(seed => simulateBatchSlots({ ...workload, rate, seed, uneven: { ...oneThirdSlow, ...over } }))
  const mean = (read: (result: BatchSlotResult) => number): number => results.reduce((sum, result) => sum + read(result), 0) / results.length
  const result = { late: 1 - mean(({ onTime }) => onTime), loads: mean(({ loads }) => loads), results }
  played.set(key, result)
  return result
}

Then('with known speeds at most half as many streams are late at {int} a second, and a quarter fewer at {int} a second', (some: number, many: number) => {
  for (const [rate, share] of [[some, 1 / 2], [many, 3 / 4]] as const) {
    const [unknown, known] = [play(rate, { knowsSpeeds: false }), play(rate)]
    assert.ok(known.late <= unknown.late * share, `${rate} a second: late ${unknown.late}, with speeds ${known.late}`)
  }
})

Then('no more adapters are loaded for it than one in twenty', () => {
  for (const rate of [220, 300]) {
    const [unknown, known] = [play(rate, { knowsSpeeds: false }), play(rate)]
    assert.ok(known.loads <= unknown.loads * 1.05, `${rate} a second: loads ${unknown.loads}, with speeds ${known.loads}`)
  }
})

Then('weights by the square of the speed leave fewer streams late than equal weights', () => {
  const [equal, squared] = [play(220, { weigh: function equal () { return 1 } }), play(220)]
  assert.ok(squared.late < equal.late, `late ${equal.late}, by the square of the speed ${squared.late}`)
})

Then('known speeds change nothing', () => {
  const speeds = [1]
  assert.deepEqual(play(220, { speeds }).results, play(220, { speeds, knowsSpeeds: false }).results)
})

Then('its streams are on time as often as those of the others', () => {
  const speeds = Array.from({ length: 39 }, (_, n) => n === 0 ? 2 : 1)
  for (const { onTime, startedOf, lateOf } of play(220, { speeds }).results.map(({ onTime, started, late }) => ({ onTime, startedOf: started[0]!, lateOf: late[0]! }))) {
    assert.ok(lateOf / startedOf <= 1 - onTime + 0.05, `${lateOf} of ${startedOf} late, ${1 - onTime} of all`)
  }
})

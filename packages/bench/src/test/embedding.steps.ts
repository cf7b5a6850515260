/**
 * Runs the example of docs/EMBEDDING.md.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { Task } from '@hazelford/core'
import { type PlanEffect, type PlanMessage, planUpstream, UpstreamPlan } from '@hazelford/decisions'

const done: string[] = []
let time = 0
const now = (): number => ++time
let task: Task<PlanMessage, PlanEffect>

const myEngine = {
  load: (adapter: string, ended: (loaded: boolean) => void): void => {
    done.push(`load ${adapter}`)
    ended(true)
  },
  run: (id: string): void => { done.push(`run ${id}`) }
}

Given('an embedder\'s engine driven by the upstream plan', () => {
  const plan = new UpstreamPlan({ slots: 2, places: 4, queueLimit: 100, draftLinger: 0 }, Math.random)
  task = new Task(planUpstream(plan), effect => {
    switch (effect.kind) {
      case 'want-permit': return task.post({ kind: 'permit', at: now() })
      case 'load': return myEngine.load(effect.adapter, loaded => task.post({ kind: 'load-ended', at: now(), adapter: effect.adapter, loaded, took: 10 }))
      case 'start': return myEngine.run(effect.id)
    }
  })
})

When('a request for an adapter arrives', () => {
  const arrivedAt = now()
  task.post({ kind: 'arrive', at: arrivedAt, request: { id: 'r1', adapter: 'a@1', trafficClass: 'interactive', arrivedAt, deadlineAt: arrivedAt + 1_000 } })
})

Then('the engine loads the adapter and runs the request', () => assert.deepEqual(done, ['load a@1', 'run r1']))

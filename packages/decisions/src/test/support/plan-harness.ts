/**
 * Drives a plan against a fake engine that performs its effects.
 */
import assert from 'node:assert/strict'
import type { PlanEffect, PlanLimits, PlanMessage } from '../../lib/plan-messages.js'
import { UpstreamPlan } from '../../lib/upstream-plan.js'
import type { PlanRequest } from '../../lib/wait-queue.js'

/** How a request ended. */
export type RequestOutcome = 'ran' | 'refused'

/** A fake engine, and a record of what the plan made it do. */
export class PlanHarness {
  readonly outcomes = new Map<string, RequestOutcome>()
  readonly started: string[] = []
  readonly unloaded: string[] = []
  readonly refusals: { id: string, code: string, retryAfter: number }[] = []
  readonly loaded = new Set<string>()
  readonly loading = new Set<string>()
  readonly unloading = new Set<string>()
  readonly running = new Map<string, PlanRequest>()
  permitRequested = false
  readonly requestedRanks: number[] = []
  listRequested = false
  /** Adapters lost in a restart that the plan has not noticed. */
  private readonly _lost = new Set<string>()
  private readonly _refusedByEngine: string[] = []
  private readonly _requests = new Map<string, PlanRequest>()
  private readonly _plan: UpstreamPlan

  constructor (private readonly _limits: PlanLimits) {
    this._plan = new UpstreamPlan(_limits, () => 0.5)
  }

  arrive (request: PlanRequest, at: number): void {
    this._requests.set(request.id, request)
    this.post({ kind: 'arrive', at, request })
  }

  post (msg: PlanMessage): void {
    for (const effect of this._plan.handle(msg)) this._perform(effect)
    this._checkLimits()
    const refused = this._refusedByEngine.shift()
    if (refused !== undefined) this.post({ kind: 'not-loaded', at: msg.at, id: refused })
  }

  /** Restarts the engine. It has no adapters then, and reports that when a request names one. */
  restart (at: number): void {
    for (const adapter of this.loaded) this._lost.add(adapter)
    this.loaded.clear()
    for (const [id] of [...this.running]) {
      this.running.delete(id)
      this.post({ kind: 'not-loaded', at, id })
    }
  }

  private _perform (effect: PlanEffect): void {
    switch (effect.kind) {
      case 'start': {
        const request = this._requests.get(effect.id)!
        assert.ok(!this.outcomes.has(effect.id), `${effect.id} started after its end`)
        if (request.adapter !== undefined && this._lost.has(request.adapter)) {
          this._refusedByEngine.push(effect.id)
          return
        }
        assert.ok(request.adapter === undefined || this.loaded.has(request.adapter), `${effect.id} started without ${request.adapter}`)
        this.running.set(effect.id, request)
        this.started.push(effect.id)
        return
      }
      case 'refuse':
        assert.ok(!this.outcomes.has(effect.id), `${effect.id} ended twice`)
        assert.ok(!this.running.has(effect.id), `${effect.id} was answered not-run while it ran`)
        this.outcomes.set(effect.id, 'refused')
        this.refusals.push(effect)
        return
      case 'load':
        assert.ok(!this.loading.has(effect.adapter), `${effect.adapter} is loaded twice at once`)
        this.loading.add(effect.adapter)
        return
      case 'unload': {
        const users = [...this.running.values()].filter(request => request.adapter === effect.adapter)
        assert.equal(users.length, 0, `${effect.adapter} unloaded under a request`)
        this.unloading.add(effect.adapter)
        this.unloaded.push(effect.adapter)
        return
      }
      case 'want-permit':
        this.permitRequested = true
        this.requestedRanks.push(effect.rank)
        break
      case 'list-slots':
        this.listRequested = true
        break
      case 'return-permit':
      case 'wake':
    }
  }

  private _checkLimits (): void {
    assert.ok(this.running.size <= this._limits.places, 'more requests run than there are batch slots')
    assert.ok(this.loaded.size + this.loading.size <= this._limits.slots, 'more adapters are loaded than there are adapter slots')
  }

  /** Completes one load, unload or listing of the engine. */
  engineStep (succeeds: boolean, at: number): void {
    const [loading] = this.loading
    const [unloading] = this.unloading
    if (this.permitRequested) {
      this.permitRequested = false
      this.post({ kind: 'permit', at })
    } else if (unloading !== undefined) {
      this.unloading.delete(unloading)
      this.loaded.delete(unloading)
      this.post({ kind: 'unload-ended', at, adapter: unloading, outcome: succeeds ? 'unloaded' : 'unknown' })
    } else if (this.listRequested) {
      this.listRequested = false
      this.post({ kind: 'slots-listed', at, loaded: [...this.loaded] })
    } else if (loading !== undefined) {
      this.loading.delete(loading)
      if (succeeds) this.loaded.add(loading)
      this._lost.delete(loading)
      this.post({ kind: 'load-ended', at, adapter: loading, loaded: succeeds, took: 100 })
    }
  }

  /** Completes the oldest running request. */
  finishOne (at: number): void {
    const [id] = this.running.keys()
    if (id === undefined) return
    this.running.delete(id)
    this.outcomes.set(id, 'ran')
    this.post({ kind: 'finished', at, id, ran: true })
  }
}

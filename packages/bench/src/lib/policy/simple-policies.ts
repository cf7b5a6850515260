/**
 * Simple policies that users would otherwise build, for comparison: round robin, and rendezvous hashing of the adapter.
 */
import { rendezvousOrder } from '@hazelford/decisions'
import type { Arrival } from './deployment.js'
import type { CreatePolicy, FillTotals, PolicyContext } from './policy.js'
import { SimBatch } from './sim-batch.js'

const maxRetries = 3

/** Simulates an engine that loads on demand without permits and evicts the least recently used adapter. */
class SimpleEngine {
  private readonly _slots = new Map<string, { state: 'loading' | 'loaded', pins: number, used: number }>()
  private _waiting: Arrival[] = []
  readonly batch: SimBatch
  private readonly _running = new Map<string, Arrival>()
  private _uses = 0

  constructor (private readonly _context: PolicyContext, private readonly _retry: (arrival: Arrival) => void) {
    const { deployment, queue, events } = _context
    this.batch = new SimBatch(queue, deployment.stepMs, deployment.stepMsPerSequence, {
      firstToken: id => events.firstToken(id),
      finished: id => this._finished(id)
    })
  }

  arrive (arrival: Arrival): void {
    this._waiting.push(arrival)
    this._schedule()
  }

  restart (): void {
    this._slots.clear()
    const lost = this.batch.clear().map(id => this._running.get(id)!)
    this._running.clear()
    for (const arrival of lost) this._retry(arrival)
    this._schedule()
  }

  private _finished (id: string): void {
    const arrival = this._running.get(id)!
    this._running.delete(id)
    const slot = this._slots.get(arrival.adapter)
    if (slot !== undefined) slot.pins--
    this._context.events.finished(id)
    this._schedule()
  }

  private _schedule (): void {
    const { queue, events, deployment } = this._context
    const stillWaiting: Arrival[] = []
    for (const arrival of this._waiting) {
      const slot = this._slots.get(arrival.adapter)
      if (arrival.deadline <= queue.now) events.refused(arrival.id)
      else if (slot?.state === 'loaded' && this.batch.running < deployment.places) this._start(arrival, slot)
      else {
        if (slot === undefined) this._load(arrival)
        else if (slot.state === 'loaded') events.ready(arrival.id)
        stillWaiting.push(arrival)
      }
    }
    this._waiting = stillWaiting
  }

  private _start (arrival: Arrival, slot: { pins: number, used: number }): void {
    slot.pins++
    slot.used = ++this._uses
    this._running.set(arrival.id, arrival)
    this._context.events.ready(arrival.id)
    this.batch.start(arrival.id, arrival.tokens)
  }

  private _load (arrival: Arrival): void {
    const { deployment, store, random, conditions, events } = this._context
    if (this._slots.size >= deployment.slots && !this._evict()) return
    const slot = { state: 'loading' as 'loading' | 'loaded', pins: 0, used: ++this._uses }
    this._slots.set(arrival.adapter, slot)
    store.load(() => {
      if (this._slots.get(arrival.adapter) !== slot) return
      if (random.unit() < (conditions.failShare ?? 0)) {
        this._slots.delete(arrival.adapter)
        const waiting = this._waiting.filter(other => other.adapter === arrival.adapter)
        this._waiting = this._waiting.filter(other => other.adapter !== arrival.adapter)
        for (const other of waiting) this._retry(other)
      } else {
        slot.state = 'loaded'
        events.loaded(arrival.adapter)
      }
      this._schedule()
    })
  }

  private _evict (): boolean {
    let oldest: string | undefined
    let least = Infinity
    for (const [adapter, slot] of this._slots) {
      if (slot.state === 'loading' || slot.pins > 0 || slot.used >= least) continue
      oldest = adapter
      least = slot.used
    }
    if (oldest === undefined) return false
    this._slots.delete(oldest)
    this._context.events.evicted(oldest)
    return true
  }
}

function createSimple (context: PolicyContext, route: (arrival: Arrival, attempt: number) => number): ReturnType<CreatePolicy> {
  const attempts = new Map<string, number>()
  const send = (arrival: Arrival): void => engines[route(arrival, attempts.get(arrival.id) ?? 0)]!.arrive(arrival)
  const retry = (arrival: Arrival): void => {
    const attempt = (attempts.get(arrival.id) ?? 0) + 1
    attempts.set(arrival.id, attempt)
    if (attempt > maxRetries) return context.events.refused(arrival.id)
    context.events.retried()
    send(arrival)
  }
  const engines = Array.from({ length: context.deployment.engines }, () => new SimpleEngine(context, retry))
  return { arrive: send, restartEngine: () => engines[0]!.restart(), fill: () => addFills(engines.map(engine => engine.batch.fill)) }
}

/** Sums the batch totals of all engines. */
export function addFills (fills: readonly FillTotals[]): FillTotals {
  return fills.reduce((sum, fill) => ({
    filledMs: sum.filledMs + fill.filledMs, busyMs: sum.busyMs + fill.busyMs, tokens: sum.tokens + fill.tokens
  }))
}

/** Creates a policy with round robin, LRU eviction, load on demand and immediate retries. */
export const createNaivePolicy: CreatePolicy = context => {
  let next = 0
  return createSimple(context, () => next++ % context.deployment.engines)
}

/** Creates a policy with rendezvous hashing of the adapter and LRU eviction. */
export const createRendezvousPolicy: CreatePolicy = context => {
  const names = Array.from({ length: context.deployment.engines }, (_, i) => `e${i}`)
  return createSimple(context, (arrival, attempt) => names.indexOf(rendezvousOrder(arrival.adapter, names)[attempt % names.length]!))
}

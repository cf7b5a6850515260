/**
 * Loads and unloads adapters in the engine; each load gets an engine-side name of its own.
 */
import { type AdapterKey, type Clock, type EventRing, type Log, type Ms } from '@hazelford/core'
import { type EngineClient, type EngineName, formatEngineName, type OrderOutcome, parseEngineName } from '@hazelford/engine'
import type { Fence } from './fence.js'

/** Dependencies of {@link AdapterSlots}. */
export interface AdapterSlotsOptions {
  readonly engine: EngineClient
  readonly fence: Fence
  readonly clock: Clock
  readonly log: Log
  readonly events: EventRing
  readonly upstream: string
  /** Whether the engine refuses load and unload orders with an old fencing number. */
  readonly checksFencing: () => boolean
}

/** Outcome of a load. */
export interface LoadResult {
  readonly loaded: boolean
  readonly took: Ms
}

/** Engine-side name that no adapter has, so an order to unload it changes nothing. */
const announcementName = 'hazelford-fence'

function isNewerName (a: EngineName, b: EngineName | undefined): boolean {
  return b === undefined || a.number > b.number || (a.number === b.number && a.generation > b.generation)
}

/** The adapters that this sidecar serves, with their engine-side names. */
export class AdapterSlots {
  private readonly _names = new Map<AdapterKey, string>()
  private _generation = 0
  private _announced = false
  /** Incremented before and after each load or unload order, so that a listing that overlaps an order is discarded. */
  private _orderCount = 0

  constructor (private readonly _options: AdapterSlotsOptions) {}

  /** Engine-side name of a loaded adapter. */
  nameOf (adapter: AdapterKey): string | undefined { return this._names.get(adapter) }

  /** Loads an adapter under a new name. */
  async load (adapter: AdapterKey): Promise<LoadResult> {
    const { engine, fence, clock, events, upstream, log } = this._options
    const startedAt = clock.now()
    if (!await this._maySendOrder()) return { loaded: false, took: 0 }
    const name = formatEngineName({ adapter, number: fence.number, generation: ++this._generation })
    events.add('load-started', { adapter, upstream })
    this._orderCount++
    const outcome = await engine.load(name, adapter.replace('@', '/'), fence.number)
    this._orderCount++
    const took = clock.now() - startedAt
    events.add('load-ended', { adapter, upstream, note: outcome })
    if (outcome === 'done') this._names.set(adapter, name)
    else log.warn('loads', 'adapter load failed.', { adapter, outcome })
    // A load whose reply was lost may still complete, under a name that no request uses.
    // The next listing finds that name and unloads it.
    if (outcome === 'unknown' || outcome === 'no-slot') await this.list()
    return { loaded: outcome === 'done', took }
  }

  /** Unloads an adapter. */
  async unload (adapter: AdapterKey): Promise<'unloaded' | 'unknown'> {
    const name = this._names.get(adapter)
    if (name === undefined) return 'unloaded'
    if (!await this._maySendOrder()) return 'unknown'
    const outcome = await this._unloadName(name)
    if (outcome !== 'done' && outcome !== 'absent') return 'unknown'
    this._names.delete(adapter)
    return 'unloaded'
  }

  /**
   * Lists the adapters in the engine, adopts those that an earlier sidecar loaded and
   * unloads those that are not used.
   *
   * @returns the adapters that can be served, or undefined when the engine did not answer
   * or a load or unload order ran at the same time
   */
  async list (): Promise<readonly AdapterKey[] | undefined> {
    await this._announce()
    const ordersBefore = this._orderCount
    const listed = await this._options.engine.list()
    // A listing that was read before a load or unload took effect would, if applied after it,
    // remove an adapter that is loaded or restore one that is unloaded.
    if (listed.isErr() || ordersBefore !== this._orderCount) return undefined
    const newest = new Map<AdapterKey, EngineName>()
    const names = listed.value.names.map(parseEngineName).filter(name => name !== undefined)
    for (const name of names.filter(found => this._mayServeFrom(found))) {
      if (isNewerName(name, newest.get(name.adapter))) newest.set(name.adapter, name)
    }
    this._adopt(newest)
    const own = this._options.fence.number
    const unused = names.filter(name => name.number <= own && this._names.get(name.adapter) !== formatEngineName(name))
    if (unused.length > 0 && await this._maySendOrder()) {
      for (const name of unused) await this._unloadName(formatEngineName(name))
    }
    return [...this._names.keys()]
  }

  /**
   * Whether an adapter with this engine-side name may be served.
   *
   * A predecessor that resumes after a pause can still unload what it loaded. Only an engine
   * that checks fencing numbers, and has received this sidecar's number, refuses that order.
   * With any other engine, adapters that a predecessor loaded are not served but unloaded.
   */
  private _mayServeFrom (name: EngineName): boolean {
    const { fence, checksFencing } = this._options
    if (fence.number === 0) return false
    return name.number === fence.number || (checksFencing() && this._announced)
  }

  /**
   * Sends this sidecar's fencing number to the engine with an unload order that changes
   * nothing. Adopting adapters sends no order, so without it the engine would accept the
   * predecessor's orders until this sidecar's first load.
   */
  private async _announce (): Promise<void> {
    const { engine, fence } = this._options
    if (this._announced || fence.number === 0) return
    const outcome = await engine.unload(announcementName, fence.number)
    this._announced = outcome === 'absent' || outcome === 'done'
  }

  private _adopt (newest: ReadonlyMap<AdapterKey, EngineName>): void {
    const present = new Map([...newest].map(([adapter, name]) => [adapter, formatEngineName(name)]))
    for (const adapter of this._names.keys()) {
      if (!present.has(adapter)) this._names.delete(adapter)
    }
    for (const [adapter, name] of present) {
      if (!this._names.has(adapter)) this._names.set(adapter, name)
    }
  }

  private async _maySendOrder (): Promise<boolean> {
    const { fence, log, upstream } = this._options
    if (fence.number === 0) return false
    const verdict = await fence.check()
    if (verdict === 'superseded') log.warn('fence', 'load or unload order not sent, a newer sidecar holds the engine.', { upstream })
    return verdict !== 'superseded'
  }

  private async _unloadName (name: string): Promise<OrderOutcome> {
    const { engine, fence, events, upstream } = this._options
    this._orderCount++
    const outcome = await engine.unload(name, fence.number)
    this._orderCount++
    events.add('unload', { adapter: name, upstream, note: outcome })
    return outcome
  }
}

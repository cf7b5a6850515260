/**
 * Carries out loads and unloads, under engine-side names of their own.
 */
import { type AdapterKey, type Clock, type EventRing, type Log, type Ms } from '@hazelford/core'
import { type EngineClient, type EngineName, formatEngineName, type OrderOutcome, parseEngineName } from '@hazelford/engine'
import type { Fence } from './fence.js'

/** What loads work with. */
export interface AdapterSlotsOptions {
  readonly engine: EngineClient
  readonly fence: Fence
  readonly clock: Clock
  readonly log: Log
  readonly events: EventRing
  readonly upstream: string
  /** Whether the engine refuses orders with an old fencing number. */
  readonly checksFencing: () => boolean
}

/** How a load went. */
export interface LoadResult {
  readonly loaded: boolean
  readonly took: Ms
}

/** No adapter has this name, so unloading it changes nothing. */
const announceName = 'hazelford-fence'

function newerName (a: EngineName, b: EngineName | undefined): boolean {
  return b === undefined || a.number > b.number || (a.number === b.number && a.generation > b.generation)
}

/** Engine-side names of what this sidecar serves from. */
export class AdapterSlots {
  private readonly _names = new Map<AdapterKey, string>()
  private _generation = 0
  private _announced = false
  /** Changes with each order, so that a listing taken around one is not trusted. */
  private _orders = 0

  constructor (private readonly _options: AdapterSlotsOptions) {}

  /** Engine-side name of a loaded adapter. */
  nameOf (adapter: AdapterKey): string | undefined { return this._names.get(adapter) }

  /** Loads an adapter under a new name. */
  async load (adapter: AdapterKey): Promise<LoadResult> {
    const { engine, fence, clock, events, upstream, log } = this._options
    const from = clock.now()
    if (!await this._mayOrder()) return { loaded: false, took: 0 }
    const name = formatEngineName({ adapter, number: fence.number, generation: ++this._generation })
    events.add('load-started', { adapter, upstream })
    this._orders++
    const outcome = await engine.load(name, adapter.replace('@', '/'), fence.number)
    this._orders++
    const took = clock.now() - from
    events.add('load-ended', { adapter, upstream, note: outcome })
    if (outcome === 'done') this._names.set(adapter, name)
    else log.warn('loads', 'load failed.', { adapter, outcome })
    // A load whose reply was lost may still come to be, under a name that nothing
    // uses. The next listing shows it and removes it.
    if (outcome === 'unknown' || outcome === 'no-slot') await this.list()
    return { loaded: outcome === 'done', took }
  }

  /** Unloads an adapter. */
  async unload (adapter: AdapterKey): Promise<'unloaded' | 'unknown'> {
    const name = this._names.get(adapter)
    if (name === undefined) return 'unloaded'
    if (!await this._mayOrder()) return 'unknown'
    const outcome = await this._unloadName(name)
    if (outcome !== 'done' && outcome !== 'absent') return 'unknown'
    this._names.delete(adapter)
    return 'unloaded'
  }

  /**
   * Asks the engine what it holds, adopts what an earlier sidecar loaded and removes
   * what nothing uses.
   *
   * @returns adapters that can be served from, or undefined when the engine is silent
   * or an order was under way
   */
  async list (): Promise<readonly AdapterKey[] | undefined> {
    await this._announce()
    const ordersBefore = this._orders
    const listed = await this._options.engine.list()
    // A listing read before a load or unload took effect and used after it would drop
    // an adapter that is loaded, or bring back one that is gone.
    if (listed.isErr() || ordersBefore !== this._orders) return undefined
    const newest = new Map<AdapterKey, EngineName>()
    const names = listed.value.names.map(parseEngineName).filter(name => name !== undefined)
    for (const name of names.filter(found => this._mayServeFrom(found))) {
      if (newerName(name, newest.get(name.adapter))) newest.set(name.adapter, name)
    }
    this._adopt(newest)
    const own = this._options.fence.number
    const unused = names.filter(name => name.number <= own && this._names.get(name.adapter) !== formatEngineName(name))
    if (unused.length > 0 && await this._mayOrder()) {
      for (const name of unused) await this._unloadName(formatEngineName(name))
    }
    return [...this._names.keys()]
  }

  /**
   * A predecessor that wakes up from a pause can still unload what it loaded. Only an
   * engine that checks numbers, and has seen ours, refuses that; on any other, what a
   * predecessor left is not served from, and goes.
   */
  private _mayServeFrom (name: EngineName): boolean {
    const { fence, checksFencing } = this._options
    if (fence.number === 0) return false
    return name.number === fence.number || (checksFencing() && this._announced)
  }

  /**
   * Shows the engine our number by an order that changes nothing. Adopting gives no
   * order, so an engine would go on obeying the predecessor until our first load.
   */
  private async _announce (): Promise<void> {
    const { engine, fence } = this._options
    if (this._announced || fence.number === 0) return
    const outcome = await engine.unload(announceName, fence.number)
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

  private async _mayOrder (): Promise<boolean> {
    const { fence, log, upstream } = this._options
    if (fence.number === 0) return false
    const verdict = await fence.check()
    if (verdict === 'superseded') log.warn('fence', 'order withheld.', { upstream })
    return verdict !== 'superseded'
  }

  private async _unloadName (name: string): Promise<OrderOutcome> {
    const { engine, fence, events, upstream } = this._options
    this._orders++
    const outcome = await engine.unload(name, fence.number)
    this._orders++
    events.add('unload', { adapter: name, upstream, note: outcome })
    return outcome
  }
}

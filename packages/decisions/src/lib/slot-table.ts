/**
 * The adapter slots of one engine, and the requests that use them.
 */
import type { AdapterKey, Ms } from '@hazelford/core'

/**
 * State of an adapter slot.
 *
 * - `unknown`: the reply to an unload order was lost; the engine must be asked whether the adapter is still loaded.
 */
export type SlotState = 'loading' | 'loaded' | 'unloading' | 'unknown'

/** One adapter slot in use. */
export interface Slot {
  readonly adapter: AdapterKey
  state: SlotState
  /** Requests that use the adapter, from admission to their last byte. */
  pins: number
  /** Whether the slot accepts no further request, so that it becomes free for another adapter. */
  closing: boolean
  lastUsed: Ms
}

/** The adapter slots of one engine. */
export class SlotTable {
  private readonly _slots = new Map<AdapterKey, Slot>()

  get size (): number { return this._slots.size }

  get (adapter: AdapterKey): Slot | undefined { return this._slots.get(adapter) }

  all (): readonly Slot[] { return [...this._slots.values()] }

  /** Occupies a slot for a load that starts. */
  startLoad (adapter: AdapterKey, at: Ms): void {
    this._slots.set(adapter, { adapter, state: 'loading', pins: 0, closing: false, lastUsed: at })
  }

  drop (adapter: AdapterKey): void { this._slots.delete(adapter) }

  /** Whether requests may start on the adapter. */
  isReady (adapter: AdapterKey): boolean {
    const slot = this._slots.get(adapter)
    return slot !== undefined && slot.state === 'loaded' && !slot.closing
  }

  /**
   * Marks an adapter as used by one more request.
   *
   * @returns the slot, which the request must pass to {@link SlotTable.unpin}
   */
  pin (adapter: AdapterKey, at: Ms): Slot | undefined {
    const slot = this._slots.get(adapter)
    if (slot === undefined) return undefined
    slot.pins++
    slot.lastUsed = at
    return slot
  }

  /**
   * Removes the pin of one request.
   *
   * The pin belongs to the slot, not to the adapter. After an engine restart the adapter may have been loaded anew. A
   * request that hung since before would otherwise remove a pin of the requests that use the new slot, which could then
   * be evicted while they run.
   */
  unpin (slot: Slot): void { slot.pins-- }

  /**
   * Picks the slot whose adapter has the lowest value.
   *
   * @param worth - value of a slot; higher values are kept longer
   * @returns an unpinned loaded slot, or undefined when all are in use
   */
  victim (worth: (slot: Slot) => number): Slot | undefined {
    let worst: Slot | undefined
    let least = Infinity
    for (const slot of this._slots.values()) {
      // An adapter that a request uses must stay loaded. Otherwise the engine would answer the rest of that request
      // from the base model, or fail it in the middle.
      if (slot.state !== 'loaded' || slot.pins > 0) continue
      const value = worth(slot)
      if (value >= least) continue
      worst = slot
      least = value
    }
    return worst
  }
}

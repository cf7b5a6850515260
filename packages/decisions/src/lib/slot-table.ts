/**
 * What the engine's adapter slots hold, and who uses them.
 */
import type { AdapterKey, Ms } from '@hazelford/core'

/**
 * State of a slot.
 *
 * - `unknown`: an unload was ordered and its reply lost; the engine must be asked.
 */
export type SlotState = 'loading' | 'loaded' | 'unloading' | 'unknown'

/** One slot in use. */
export interface Slot {
  readonly adapter: AdapterKey
  state: SlotState
  /** Requests from admission to their last byte. */
  pins: number
  /** Takes no further request, so that it empties for another adapter. */
  closing: boolean
  lastUsed: Ms
}

/** The slots of one engine. */
export class SlotTable {
  private readonly _slots = new Map<AdapterKey, Slot>()

  get size (): number { return this._slots.size }

  get (adapter: AdapterKey): Slot | undefined { return this._slots.get(adapter) }

  all (): readonly Slot[] { return [...this._slots.values()] }

  /** Begins to fill a slot. */
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
   * @returns the slot, which the request must give to {@link SlotTable.unpin}
   */
  pin (adapter: AdapterKey, at: Ms): Slot | undefined {
    const slot = this._slots.get(adapter)
    if (slot === undefined) return undefined
    slot.pins++
    slot.lastUsed = at
    return slot
  }

  /**
   * Takes back the pin of one request.
   *
   * By slot, not by adapter: after an engine restart the adapter may have been loaded
   * anew, and a request that hung since before would take a pin from the requests that
   * use the new slot, which could then be evicted under them.
   */
  unpin (slot: Slot): void { slot.pins-- }

  /**
   * Picks the slot whose adapter is worth least.
   *
   * @param worth - higher is kept longer
   * @returns an unpinned loaded slot, or undefined when all are in use
   */
  victim (worth: (slot: Slot) => number): Slot | undefined {
    let worst: Slot | undefined
    let least = Infinity
    for (const slot of this._slots.values()) {
      // An adapter that a request uses must not go: the engine would answer the rest
      // of that request from the base model, or fail it in the middle.
      if (slot.state !== 'loaded' || slot.pins > 0) continue
      const value = worth(slot)
      if (value >= least) continue
      worst = slot
      least = value
    }
    return worst
  }
}

/**
 * What an engine has loaded lately, told to entries that ask for something else.
 */

/** An adapter that an engine holds, or held and has a copy of. */
export interface LoadedAdapter {
  /** `model/adapter`. */
  readonly key: string
  readonly version: number
}

/** Loads since an entry last heard. */
export interface RecentLoadsUpdate {
  /** What the entry has heard with this; it says so in its next ask. */
  readonly heard: number
  readonly loads: readonly LoadedAdapter[]
}

/** Loads kept, and told at once. Each entry asks several times a second, while an engine loads about five adapters in it. */
const kept = 32

/**
 * The last loads of one engine.
 *
 * An engine's record in the store lists what it holds about once a second. What is loaded and unloaded in between shows in no
 * record, and a request for it would fetch it anew elsewhere, though a copy is at hand
 * here.
 */
export class RecentLoads {
  private readonly _loads: LoadedAdapter[] = []
  private _count = 0

  /** Notes a load that is over. */
  add (load: LoadedAdapter): void {
    this._count++
    this._loads.push(load)
    if (this._loads.length > kept) this._loads.shift()
  }

  /**
   * Loads that an entry has not heard of, as far as they are kept.
   *
   * @param heard - as told with the news before; 0 for an entry that has heard nothing
   */
  since (heard: number): RecentLoadsUpdate {
    const missed = heard > this._count ? this._count : this._count - heard
    return { heard: this._count, loads: missed === 0 ? [] : this._loads.slice(-missed) }
  }
}

/**
 * Recent loads of an engine, sent to the entries that request other adapters of it.
 */

/** An adapter that is loaded at an engine, or was and still has a copy on its host. */
export interface LoadedAdapter {
  /** `model/adapter`. */
  readonly key: string
  readonly version: number
}

/** Loads since an entry's last update. */
export interface RecentLoadsUpdate {
  /** Number of loads that the entry has received with this update; it sends the number in its next load request. */
  readonly heard: number
  readonly loads: readonly LoadedAdapter[]
}

/**
 * Loads kept, and sent at once. Each entry sends several load requests a second, while an engine loads about five
 * adapters a second.
 */
const maxLoads = 32

/**
 * The latest loads of one engine.
 *
 * An engine's record in the store lists its loaded adapters about once a second. An adapter that is loaded and
 * unloaded in between is in no record, and a request for it would fetch it again at another engine, though a copy is
 * available here.
 */
export class RecentLoads {
  private readonly _loads: LoadedAdapter[] = []
  private _count = 0

  /** Records a completed load. */
  add (load: LoadedAdapter): void {
    this._count++
    this._loads.push(load)
    if (this._loads.length > maxLoads) this._loads.shift()
  }

  /**
   * Loads that an entry has not received, as far as they are kept.
   *
   * @param heard - as sent with the previous update; 0 for an entry that has received none
   */
  since (heard: number): RecentLoadsUpdate {
    const unsent = heard > this._count ? this._count : this._count - heard
    return { heard: this._count, loads: unsent === 0 ? [] : this._loads.slice(-unsent) }
  }
}

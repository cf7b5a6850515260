/**
 * Adapters that the open requests of each entry use, as the entries report them.
 */
import type { Ms } from '@hazelford/core'

/** Age at which an entry's report expires; the streams that it reports last a few seconds. */
const useReportTtl: Ms = 4_000

/** Adapters in use at one engine. */
export class AdapterUses {
  private readonly _reports = new Map<string, { readonly keys: ReadonlySet<string>, readonly at: Ms }>()

  /** Records an entry's report, which replaces its previous one. */
  recordReport (entry: string, keys: Iterable<string>, now: Ms): void { this._reports.set(entry, { keys: new Set(keys), at: now }) }

  /** Records a request that is about to use an adapter, until its entry's next report. */
  add (entry: string, key: string, now: Ms): void {
    this._reports.set(entry, { keys: new Set([...(this._reports.get(entry)?.keys ?? []), key]), at: now })
  }

  inUse (key: string, now: Ms): boolean {
    for (const { keys, at } of this._reports.values()) if (now - at < useReportTtl && keys.has(key)) return true
    return false
  }
}

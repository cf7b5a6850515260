/**
 * Earlier claims of engines, whose claimants may still send orders.
 */
import type { Ms } from '@hazelford/core'
import type { HolderRecord } from '../peers/peer-table.js'

/** The record in the store of the entry that claimed an engine last. */
export interface ClaimRecord extends HolderRecord {
  /** Earlier claimants that may still send orders, or have sent orders less than a holder turn before the claim. */
  readonly formers: readonly HolderRecord[]
  /** Era of the store in which the claim was made; 0 for a claim of an entry of a version that does not write it. */
  readonly era: number
}

/** An entry whose claim of an engine is not in force any more, and that may still send orders. */
export interface FormerHolder extends HolderRecord {
  /** When the store showed that the claim is not in force any more; undefined when it has not shown that yet. */
  readonly goneAt: Ms | undefined
}

/** Claims of one engine that the store shows not to be in force. */
interface EngineHistory {
  /** Holder whose key was removed last. */
  seen?: HolderRecord
  recorded?: ClaimRecord
  /** Latest claim of each entry that is not in force, and since when. */
  readonly gone: Map<string, { readonly fence: number, readonly at: Ms }>
}

/** Earlier claims of all engines. */
export class ClaimHistory {
  private readonly _engines = new Map<string, EngineHistory>()

  /** Holder whose key was removed, or the entry that claimed the engine last, whichever is later. */
  former (upstream: string): HolderRecord | undefined {
    const { seen, recorded } = this._engines.get(upstream) ?? {}
    return (recorded?.fence ?? 0) > (seen?.fence ?? 0) ? recorded : seen
  }

  /** Entries that may still send orders to an engine that has no holder, or the holder listed in the store. */
  formers (upstream: string): readonly FormerHolder[] {
    const { seen, recorded } = this._engines.get(upstream) ?? {}
    const latest = new Map<string, HolderRecord>()
    for (const claim of [seen, recorded, ...recorded?.formers ?? []]) {
      if (claim !== undefined && claim.fence > (latest.get(claim.node)?.fence ?? -Infinity)) latest.set(claim.node, claim)
    }
    return [...latest.values()].map(({ node, host, port, fence }) => ({ node, host, port, fence, goneAt: this._goneAt(upstream, node, fence) }))
  }

  /** Record of the last claim of an engine. */
  record (upstream: string): ClaimRecord | undefined { return this._engines.get(upstream)?.recorded }

  /** Engines with a record. */
  get recorded (): readonly string[] { return [...this._engines].filter(([, { recorded }]) => recorded !== undefined).map(([upstream]) => upstream) }

  setHolder (upstream: string, { node }: HolderRecord): void {
    const engine = this._engine(upstream)
    delete engine.seen
    // The pages of a listing are read one after the other, so a listing may lack a claim that was made meanwhile.
    engine.gone.delete(node)
  }

  /** A view has no holder of an engine. It may be older than the holder's claim. */
  removeHolder (upstream: string, holder: HolderRecord): void { this._engine(upstream).seen = holder }

  /** The store has no holder of an engine. */
  recordUnheld (upstream: string, now: Ms): void {
    const { seen, recorded } = this._engine(upstream)
    for (const claim of [seen, recorded]) if (claim !== undefined) this._recordGone(upstream, claim, now)
  }

  setRecord (upstream: string, record: ClaimRecord, now: Ms): void {
    this._engine(upstream).recorded = record
    for (const former of record.formers) this._recordGone(upstream, former, now)
  }

  removeRecord (upstream: string): void { delete this._engine(upstream).recorded }

  /** Removes all records, before they are listed again. */
  clearRecords (): void { for (const upstream of this._engines.keys()) this.removeRecord(upstream) }

  private _recordGone (upstream: string, { node, fence }: HolderRecord, at: Ms): void {
    const { gone } = this._engine(upstream)
    if ((gone.get(node)?.fence ?? -Infinity) < fence) gone.set(node, { fence, at })
  }

  private _goneAt (upstream: string, node: string, fence: number): Ms | undefined {
    const gone = this._engines.get(upstream)?.gone.get(node)
    return gone !== undefined && gone.fence >= fence ? gone.at : undefined
  }

  private _engine (upstream: string): EngineHistory {
    let engine = this._engines.get(upstream)
    if (engine === undefined) this._engines.set(upstream, engine = { gone: new Map() })
    return engine
  }
}

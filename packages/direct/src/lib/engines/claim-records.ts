/**
 * Keeps the records in the store of the engines that this entry holds up to date.
 */
import type { Log } from '@hazelford/core'
import type { Store } from '@hazelford/ports'
import { encodeClaimRecord, holderKey, lastHolderKey, type PeerAddress, type PeerTable } from '../peers/peer-table.js'

/** What the records need. */
export interface ClaimRecordsOptions {
  readonly self: PeerAddress
  readonly store: Store
  readonly log: Log
  readonly peers: PeerTable
  /** Era of the store. */
  readonly era: () => number
}

/** Largest number of records updated at once: the store limits the keys of one transaction to 32, and an update needs three. */
const recordsAtOnce = 10

/** Records of claims of this entry. */
export class ClaimRecords {
  /** Revision of each record on which the last update was based. */
  private readonly _updated = new Map<string, number>()
  private _updating = false

  constructor (private readonly _options: ClaimRecordsOptions) {}

  /**
   * Removes the former holders from the records of engines that this entry holds: all of them have stopped. Otherwise the
   * next claimant would wait for those of them that no longer run.
   *
   * @param held - engines that this entry holds, and has held for as long as an earlier holder must not claim them
   */
  async update (held: Iterable<string>): Promise<void> {
    const { self, store, log, peers, era } = this._options
    const outdated = [...held].filter(id => this._isOutdated(id)).slice(0, recordsAtOnce)
    if (this._updating || outdated.length === 0) return
    this._updating = true
    const revisions = new Map(outdated.map(id => [id, peers.claimRecordRevision(id)]))
    const outcome = await store.commit({
      conditions: outdated.flatMap(id => [{ key: holderKey(id), revision: peers.holderRevision(id) }, { key: lastHolderKey(id), revision: revisions.get(id)! }]),
      puts: outdated.map(id => ({ key: lastHolderKey(id), value: encodeClaimRecord(self, [], era()), lease: 0 })),
      removals: []
    })
    this._updating = false
    if (outcome.isErr()) log.info('loads', 'records of claims not updated.', { upstreams: outdated, cause: outcome.error.message })
    else for (const [id, revision] of revisions) this._updated.set(id, revision)
  }

  private _isOutdated (upstream: string): boolean {
    const { self, peers } = this._options
    const record = peers.claimRecord(upstream)
    return record?.node === self.node && record.formers.length > 0 && peers.holder(upstream)?.node === self.node && this._updated.get(upstream) !== record.fence
  }

  /**
   * Removes the record of an engine that is gone; it would stay in the store for good.
   *
   * @param upstream - the engine
   * @param stopped - resolves once no order of this entry can arrive at the engine any more
   */
  async remove (upstream: string, stopped: Promise<void>): Promise<void> {
    const { self, store, log, peers } = this._options
    const record = peers.claimRecord(upstream)
    this._updated.delete(upstream)
    if (record?.node !== self.node) return
    await stopped
    const key = lastHolderKey(upstream)
    const outcome = await store.commit({ conditions: [{ key, revision: record.fence }], puts: [], removals: [key] })
    if (outcome.isErr()) log.info('loads', 'record of the last holder not removed.', { upstream, cause: outcome.error.message })
  }
}

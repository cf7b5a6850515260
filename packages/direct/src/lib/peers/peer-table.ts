/**
 * The other entries and the holders of engines, from their keys in the store.
 */
import { isIPv4 } from 'node:net'
import type { Clock, Ms } from '@hazelford/core'
import type { StoreEvent, StoreItem } from '@hazelford/ports'
import { ClaimHistory, type ClaimRecord, type FormerHolder } from '../engines/claim-history.js'

/** Prefix of hazelford's own keys. */
export const systemKeyPrefix = 'hazelford/'
const entriesPrefix = `${systemKeyPrefix}entries/`
const holdersPrefix = `${systemKeyPrefix}holders/`
const lastHoldersPrefix = `${systemKeyPrefix}last-holders/`

/** Where an entry listens for its peers. */
export interface PeerAddress {
  readonly node: string
  readonly host: string
  readonly port: number
  /** Its availability zone; undefined for an entry of a version that does not send it. */
  readonly zone?: string
  /** Rate of its link in Mbit/s; undefined where it is not known. */
  readonly linkMbps?: number
  /** Processor share of its host times its speed, in cores; 0 where it is not known, undefined for an entry of a version that does not send it. */
  readonly cores?: number
}

/** The holder of an engine. */
export interface HolderRecord extends PeerAddress {
  /** Fencing number, the revision of the holder's key: unique, and higher for each later holder. */
  readonly fence: number
}

/** A holder with the engine that it holds. */
export interface HolderListing extends HolderRecord { readonly upstream: string }

export function entryKey (node: string): string { return `${entriesPrefix}${node}` }
export function holderKey (upstream: string): string { return `${holdersPrefix}${upstream}` }

/**
 * Key of the record of the entry that claimed an engine last. It has no lease: an entry that has started since the
 * holder's lease ended could not know otherwise that the holder may still be running.
 */
export function lastHolderKey (upstream: string): string { return `${lastHoldersPrefix}${upstream}` }

/**
 * Writes the record of an engine's claim.
 *
 * @param claimant - entry that claims the engine
 * @param formers - earlier claimants that may still send orders
 * @param era - era of the store
 */
export function encodeClaimRecord (claimant: PeerAddress, formers: readonly HolderRecord[], era: number): string {
  return JSON.stringify({ ...claimant, era, formers: formers.map(({ node, host, port, fence }) => ({ node, host, port, fence })) })
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    // Not written by this version of the program, so the value has no address that this entry could call.
    return undefined
  }
}

function readAddress (value: unknown): PeerAddress | undefined {
  const { node, host, port, zone, linkMbps, cores } = (value ?? {}) as Partial<PeerAddress>
  const isAddress = typeof node === 'string' && node !== '' && typeof host === 'string' && isIPv4(host) && Number.isInteger(port) && port! > 0 && port! < 65_536
  if (!isAddress) return undefined
  return { node, host, port: port!, ...(typeof zone === 'string' ? { zone } : {}), ...(typeof linkMbps === 'number' ? { linkMbps } : {}), ...(typeof cores === 'number' ? { cores } : {}) }
}

/** Reads the earlier claimants in a record; a record of an entry of a version that does not write them has none. */
function readFormers (value: unknown): readonly HolderRecord[] {
  const { formers } = (value ?? {}) as { readonly formers?: unknown }
  if (!Array.isArray(formers)) return []
  return formers.flatMap((former: { readonly fence?: unknown } | null) => {
    const address = readAddress(former)
    return address === undefined || typeof former?.fence !== 'number' ? [] : [{ ...address, fence: former.fence }]
  })
}

function readEra (value: unknown): number {
  const { era } = (value ?? {}) as { readonly era?: unknown }
  return typeof era === 'number' && Number.isSafeInteger(era) ? era : 0
}

/**
 * Time for which an entry that is no longer listed still counts. During a long outage of the store all leases expire,
 * and entries register again within a second or two of its return. If only listed entries counted, each entry would
 * take the whole of the limits that they share.
 */
const leftEntryTtl: Ms = 5_000

/** Entries and holders as listed in the store. */
export class PeerTable {
  private readonly _entries = new Map<string, PeerAddress>()
  /** Entries that are no longer listed, and since when. */
  private readonly _left = new Map<string, Ms>()
  private readonly _holders = new Map<string, HolderRecord>()
  private readonly _claims = new ClaimHistory()
  /** Revisions of the keys of holders and of claims' records that can't be read. */
  private readonly _unreadable = new Map<string, number>()

  /** @param _changed - called after each change of entries or holders */
  constructor (private readonly _clock: Clock, private readonly _changed: () => void) {}

  get entries (): readonly PeerAddress[] { return [...this._entries.values()] }

  /**
   * Number of entries that share limits: those that are listed, this one included once it has registered, and those
   * that were listed lately.
   */
  get entryCount (): number {
    const now = this._clock.now()
    for (const [node, since] of this._left) if (now - since >= leftEntryTtl) this._left.delete(node)
    return Math.max(1, this._entries.size + this._left.size)
  }

  entry (node: string): PeerAddress | undefined { return this._entries.get(node) }

  get nodes (): readonly string[] { return [...this._entries.keys()] }

  /** Former holder of an engine that has no holder now. */
  former (upstream: string): HolderRecord | undefined { return this._claims.former(upstream) }

  /** Entries that may still send orders to an engine that this entry claims. */
  formers (upstream: string): readonly FormerHolder[] { return this._claims.formers(upstream) }

  holder (upstream: string): HolderRecord | undefined { return this._holders.get(upstream) }

  /**
   * Revision on which a claim of an engine must be based; 0 when the key does not exist.
   *
   * A key that can't be read names no holder. If the claim were based on revision 0, the store would reject it, and the
   * engine would stay without load and unload orders for as long as the key exists.
   */
  holderRevision (upstream: string): number { return this._holders.get(upstream)?.fence ?? this._unreadable.get(holderKey(upstream)) ?? 0 }

  /** Record of the last claim of an engine. */
  claimRecord (upstream: string): ClaimRecord | undefined { return this._claims.record(upstream) }

  /**
   * Revision of the record on which a claim of an engine must be based; 0 when there is none. A claim that is based on an
   * older record would not list all entries that may still send orders.
   */
  claimRecordRevision (upstream: string): number { return this._claims.record(upstream)?.fence ?? this._unreadable.get(lastHolderKey(upstream)) ?? 0 }

  get holders (): readonly HolderListing[] { return [...this._holders].map(([upstream, record]) => ({ ...record, upstream })) }

  upstreamsWithHolder (): readonly string[] { return [...this._holders.keys()] }

  reset (items: readonly StoreItem[]): void {
    this._clearEntries()
    this._unreadable.clear()
    this._claims.clearRecords()
    const before = [...this._holders.keys()]
    for (const upstream of before) this._removeHolder(upstream)
    for (const item of items) this._put(item)
    for (const upstream of [...before, ...this._claims.recorded]) if (!this._holders.has(upstream)) this._claims.recordUnheld(upstream, this._clock.now())
    this._changed()
  }

  /**
   * Applies the view of a peer that reads the store.
   *
   * A holder known here with a higher fencing number than in the peer's view was claimed after that view.
   */
  follow (entries: readonly PeerAddress[], holders: readonly HolderListing[]): void {
    this._clearEntries()
    for (const entry of entries) this._setEntry(entry.node, entry)
    const before = new Map(this._holders)
    for (const upstream of before.keys()) this._removeHolder(upstream)
    for (const { upstream, ...record } of holders) {
      const known = before.get(upstream)
      this._setHolder(upstream, known !== undefined && known.fence > record.fence ? known : record)
    }
    this._changed()
  }

  apply (event: StoreEvent): void {
    if (event.kind === 'put') this._put(event.item)
    else {
      this._remove(event.key)
      if (event.key.startsWith(holdersPrefix)) this._claims.recordUnheld(event.key.slice(holdersPrefix.length), this._clock.now())
    }
    this._changed()
  }

  private _put ({ key, value, revision }: StoreItem): void {
    const json = parseJson(value)
    const address = readAddress(json)
    if (address === undefined) return this._putUnreadable(key, revision)
    this._unreadable.delete(key)
    if (key.startsWith(entriesPrefix)) this._setEntry(key.slice(entriesPrefix.length), address)
    else if (key.startsWith(holdersPrefix)) this._setHolder(key.slice(holdersPrefix.length), { ...address, fence: revision })
    else if (key.startsWith(lastHoldersPrefix)) this._claims.setRecord(key.slice(lastHoldersPrefix.length), { ...address, fence: revision, formers: readFormers(json), era: readEra(json) }, this._clock.now())
  }

  /** Handles a record that can't be read: it names no entry that could be called. */
  private _putUnreadable (key: string, revision: number): void {
    this._remove(key)
    if (key.startsWith(holdersPrefix) || key.startsWith(lastHoldersPrefix)) this._unreadable.set(key, revision)
  }

  private _remove (key: string): void {
    this._unreadable.delete(key)
    if (key.startsWith(entriesPrefix)) this._removeEntry(key.slice(entriesPrefix.length))
    else if (key.startsWith(holdersPrefix)) this._removeHolder(key.slice(holdersPrefix.length))
    else if (key.startsWith(lastHoldersPrefix)) this._claims.removeRecord(key.slice(lastHoldersPrefix.length))
  }

  private _setEntry (node: string, address: PeerAddress): void {
    this._entries.set(node, address)
    this._left.delete(node)
  }

  private _removeEntry (node: string): void {
    if (this._entries.delete(node)) this._left.set(node, this._clock.now())
  }

  private _clearEntries (): void { for (const node of [...this._entries.keys()]) this._removeEntry(node) }

  private _setHolder (upstream: string, record: HolderRecord): void {
    this._holders.set(upstream, record)
    this._unreadable.delete(holderKey(upstream))
    this._claims.setHolder(upstream, record)
  }

  private _removeHolder (upstream: string): void {
    const record = this._holders.get(upstream)
    if (record !== undefined) this._claims.removeHolder(upstream, record)
    this._holders.delete(upstream)
    this._unreadable.delete(holderKey(upstream))
  }
}

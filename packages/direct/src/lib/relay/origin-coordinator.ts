/**
 * Shares the origins of streams with the other entries, and finds them again.
 */
import { type Clock, type Log, type Ms } from '@hazelford/core'
import { rendezvousOrder } from '@hazelford/decisions'
import type { OriginQuery, OriginReply, OriginRow, OriginsMessage } from './origin-messages.js'
import type { PeerClient } from '../peers/peer-client.js'
import type { PeerAddress } from '../peers/peer-table.js'
import { repeatCall } from '../peers/repeat-call.js'
import type { OriginRecords } from './origin-records.js'
import { type StreamOrigin, StreamOrigins } from './stream-origins.js'

/** What the coordinator needs of its entry. */
export interface OriginCoordinatorOptions {
  readonly node: string
  readonly clock: Clock
  readonly log: Log
  readonly client: Pick<PeerClient, 'reportOrigins' | 'queryOrigin'>
  /** All entries that are running, this one included. */
  readonly entries: () => readonly PeerAddress[]
  /** Origins in the store. */
  readonly records: Pick<OriginRecords, 'record' | 'forget' | 'find'>
}

/** A stream that began here and that the other entries do not know yet. */
interface UnreportedStream { readonly request: string, readonly until: Ms, readonly origin: StreamOrigin }

/** Where an origin was found. */
export interface FoundOrigin {
  readonly origin: StreamOrigin
  /** `store`: in a record of an entry that may have ended; `inferred`: nobody knows it, but no other software version can have served. */
  readonly source: 'here' | 'store' | 'peer' | 'inferred'
}

/** Number of other entries that keep the origin of each stream: it survives the end of its own entry and of one more. */
const copies = 2
/** Number of other entries that are asked for an origin; more than keep it, since entries come and go meanwhile. */
const asked = 4
/** Streams that begin within this time are reported in one message per entry; those that end within it are not reported. */
const batchDelay: Ms = 100
const sendAttempts = 2
const sendPause: Ms = 200

/**
 * One entry's part in remembering where streams began.
 *
 * A caller resumes its stream at any entry, often because the entry that began it was killed or cut off. So the origin is
 * kept by other entries too, chosen by rendezvous hash of the id by which the caller names the stream.
 */
export class OriginCoordinator {
  private readonly _origins: StreamOrigins
  private _unreported = new Map<string, UnreportedStream>()
  private _stopped = false

  constructor (private readonly _options: OriginCoordinatorOptions) { this._origins = new StreamOrigins(_options.clock) }

  stop (): void { this._stopped = true }

  /** Number of streams whose origins this entry knows. */
  get known (): number { return this._origins.size }

  /**
   * Records that a stream sends its first event, or goes on after it was resumed.
   *
   * @param request - id of the attempt that brought its first event
   * @param lasts - ms in which its caller can come back
   */
  record (request: string, origin: StreamOrigin, lasts: Ms): void {
    this._origins.add(request, origin, lasts)
    this._options.records.record(request, origin, lasts)
    if (this._unreported.size === 0) this._options.clock.after(batchDelay, () => this._report())
    this._unreported.set(request, { request, origin, until: this._options.clock.now() + lasts })
  }

  /** Forgets a stream whose caller has all of it. */
  forget (request: string): void {
    this._origins.delete(request)
    this._unreported.delete(request)
    this._options.records.forget(request)
  }

  /** Records streams that began at another entry. */
  receive ({ origins }: OriginsMessage): void {
    for (const { request, service, software, lasts } of origins) this._origins.add(request, { service, software }, lasts)
  }

  /** Answers another entry's query. */
  answer ({ request }: OriginQuery): OriginReply {
    const origin = this._origins.find(request)
    return origin === undefined ? {} : { origin: { service: origin.service, software: origin.software } }
  }

  /**
   * Finds where a stream began.
   *
   * @param request - id of the attempt that brought its first event
   * @returns undefined when neither this entry nor the store nor those asked know it
   */
  async find (request: string): Promise<FoundOrigin | undefined> {
    const own = this.answer({ request }).origin
    if (own !== undefined) return { origin: own, source: 'here' }
    const stored = this._options.records.find(request)
    if (stored !== undefined) return { origin: { service: stored.service, software: stored.software }, source: 'store' }
    const origin = await this._firstKnown(this._keepers(request).slice(0, asked).map(peer => this._query(peer, request)))
    return origin === undefined ? undefined : { origin, source: 'peer' }
  }

  /** Resolves with the first answer that names an origin, without waiting for entries that do not answer. */
  private async _firstKnown (queries: readonly Promise<StreamOrigin | undefined>[]): Promise<StreamOrigin | undefined> {
    const known = queries.map(async query => await query ?? Promise.reject(new Error('The origin is not known there.')))
    return Promise.any(known).catch(() => undefined)
  }

  private async _query (peer: PeerAddress, request: string): Promise<StreamOrigin | undefined> {
    try {
      return await this._options.client.queryOrigin(peer, { request })
    } catch (error) {
      // An entry of a version without this query answers that it does not know the path.
      this._options.log.info('peers', 'no answer to query for the origin of a stream.', { peer: peer.node, request, cause: (error as Error).message })
      return undefined
    }
  }

  /** The other entries in the order in which they keep the origin of a stream. */
  private _keepers (request: string): readonly PeerAddress[] {
    const others = new Map(this._options.entries().filter(({ node }) => node !== this._options.node).map(peer => [peer.node, peer]))
    return rendezvousOrder(request, [...others.keys()]).map(node => others.get(node)!)
  }

  private _report (): void {
    const unreported = this._unreported
    this._unreported = new Map()
    const now = this._options.clock.now()
    const byPeer = new Map<PeerAddress, OriginRow[]>()
    for (const { request, origin, until } of unreported.values()) {
      for (const peer of this._keepers(request).slice(0, copies)) {
        const rows = byPeer.get(peer) ?? []
        byPeer.set(peer, rows)
        rows.push({ request, service: origin.service, software: origin.software, lasts: Math.max(0, Math.ceil(until - now)) })
      }
    }
    for (const [peer, origins] of byPeer) this._send(peer, origins)
  }

  private _send (peer: PeerAddress, origins: readonly OriginRow[]): void {
    this._attempt(() => this._options.client.reportOrigins(peer, { origins })).catch((error: Error) => {
      this._options.log.info('peers', 'origins of streams not delivered.', { peer: peer.node, streams: origins.length, cause: error.message })
    })
  }

  private _attempt (call: () => Promise<void>): Promise<void> {
    return repeatCall(call, { clock: this._options.clock, attempts: sendAttempts, pause: sendPause, stopped: () => this._stopped })
  }
}

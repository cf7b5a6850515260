/**
 * What a sidecar keeps of one entry incarnation, over all its connections.
 */
import { RequestLedger } from '@hazelford/decisions'
import type { Chunk, SidecarFrame } from '@hazelford/wire'
import type { EntryLink, RequestRun } from './request-run.js'

/** Ledger and open requests of one entry incarnation. */
export class EntrySession {
  readonly ledger = new RequestLedger()
  readonly runs = new Map<number, RequestRun>()
  private _link: EntryLink | undefined

  constructor (readonly entry: string, readonly incarnation: string) {}

  get connected (): boolean { return this._link !== undefined }

  /** Sends a frame; without a connection it is kept by the request and sent later. */
  send = (frame: SidecarFrame): void => { this._link?.send(frame) }

  /** Sends a chunk, on the same terms. */
  sendChunk = (chunk: Chunk): void => { this._link?.sendChunk(chunk) }

  /** A connection of this entry is open. */
  attach (link: EntryLink): void { this._link = link }

  /**
   * A connection is gone.
   *
   * @returns whether it was the current one, not one already replaced
   */
  detach (link: EntryLink): boolean {
    if (this._link !== link) return false
    this._link = undefined
    return true
  }
}

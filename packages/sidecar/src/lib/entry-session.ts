/**
 * State that a sidecar keeps for one entry incarnation, across all its connections.
 */
import { RequestLedger } from '@hazelford/decisions'
import type { Chunk, SidecarFrame } from '@hazelford/wire'
import type { EntryLink, RequestRun } from './request-run.js'

/** Request ledger and open requests of one entry incarnation. */
export class EntrySession {
  readonly ledger = new RequestLedger()
  readonly runs = new Map<number, RequestRun>()
  private _link: EntryLink | undefined

  constructor (readonly entry: string, readonly incarnation: string) {}

  get connected (): boolean { return this._link !== undefined }

  /** Sends a frame to the entry. Without a connection the frame is discarded: the request keeps its answer and sends it after the reconnect. */
  send = (frame: SidecarFrame): void => { this._link?.send(frame) }

  /** Sends a chunk, in the same way as {@link EntrySession.send}. */
  sendChunk = (chunk: Chunk): void => { this._link?.sendChunk(chunk) }

  /** Makes a newly opened connection the current one. */
  attach (link: EntryLink): void { this._link = link }

  /**
   * Handles a closed connection.
   *
   * @returns whether the closed connection was the current one; false when a newer connection has replaced it
   */
  detach (link: EntryLink): boolean {
    if (this._link !== link) return false
    this._link = undefined
    return true
  }
}

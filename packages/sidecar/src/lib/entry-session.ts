/**
 * What a sidecar keeps of one entry incarnation, over all its connections.
 */
import { RequestLedger } from '@hazelford/decisions'
import type { SidecarFrame } from '@hazelford/wire'
import type { RequestRun, SendFrame } from './request-run.js'

/** Ledger and open requests of one entry incarnation. */
export class EntrySession {
  readonly ledger = new RequestLedger()
  readonly runs = new Map<number, RequestRun>()
  private _send: SendFrame | undefined

  constructor (readonly entry: string, readonly incarnation: string) {}

  get connected (): boolean { return this._send !== undefined }

  /** Sends a frame; without a connection it is kept by the request and sent later. */
  send = (frame: SidecarFrame): void => { this._send?.(frame) }

  /** A connection of this entry is open. */
  attach (send: SendFrame): void { this._send = send }

  /**
   * A connection is gone.
   *
   * @returns whether it was the current one, not one already replaced
   */
  detach (send: SendFrame): boolean {
    if (this._send !== send) return false
    this._send = undefined
    return true
  }
}

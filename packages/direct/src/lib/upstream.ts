/**
 * One lifetime of an upstream, as this entry uses it.
 */
import type { Clock, Ms } from '@hazelford/core'
import { UpstreamHealth } from '@hazelford/decisions'
import type { UpstreamRecord } from '@hazelford/ports'
import { ConnectionPool } from './connection-pool.js'

/** What is known of an upstream, and what this entry has there. */
export class Upstream {
  readonly health = new UpstreamHealth()
  readonly pool: ConnectionPool
  /** Requests of this entry there. */
  outstanding = 0
  private _leavesAt: Ms = Infinity
  private readonly _uses = new Map<string, number>()

  constructor (private _record: UpstreamRecord, private readonly _clock: Clock, maxConnections: number) {
    this.pool = new ConnectionPool(_clock, { host: _record.host, port: _record.port, maxConnections })
    this._noteLeaving()
  }

  /** Adapters that open requests of this entry use, as `model/adapter`. */
  get uses (): readonly string[] { return [...this._uses.keys()] }

  /**
   * Notes a request there.
   *
   * @param adapter - `model/adapter`, if it uses one
   * @returns notes its end
   */
  open (adapter: string | undefined): () => void {
    this.outstanding++
    if (adapter !== undefined) this._uses.set(adapter, (this._uses.get(adapter) ?? 0) + 1)
    let isOpen = true
    return () => {
      if (!isOpen) return
      isOpen = false
      this.outstanding--
      if (adapter === undefined) return
      const left = (this._uses.get(adapter) ?? 1) - 1
      if (left > 0) this._uses.set(adapter, left)
      else this._uses.delete(adapter)
    }
  }

  get record (): UpstreamRecord { return this._record }
  get id (): string { return this._record.id }

  /** When it is gone, if it was told to leave at short notice. */
  get leavesAt (): Ms { return this._leavesAt }

  update (record: UpstreamRecord): void {
    // An upstream that leaves never comes back under the same id; a late word must not undo it.
    this._record = this._record.state === 'draining' ? { ...record, state: 'draining' } : record
    this._noteLeaving()
  }

  private _noteLeaving (): void {
    const { leavesIn } = this._record
    if (leavesIn !== undefined && this._leavesAt === Infinity) this._leavesAt = this._clock.now() + leavesIn
  }
}

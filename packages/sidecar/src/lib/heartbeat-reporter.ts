/**
 * Heartbeats of a sidecar to its entries.
 */
import type { Clock, Ms } from '@hazelford/core'
import type { InterruptedRequest } from './interrupted-requests.js'
import type { PlanReport } from '@hazelford/decisions'
import type { SidecarHeartbeat } from '@hazelford/wire'
import type { Connection } from './channel-server.js'

/** What the reporter tells of. */
export interface HeartbeatSource {
  readonly state: () => string
  readonly revision: () => number
  readonly report: () => PlanReport
  /** Requests under which the upstream ended. */
  readonly ended: () => readonly InterruptedRequest[]
  readonly connections: () => Iterable<Connection>
}

const minReportGapMs: Ms = 20

/** Tells every connected entry of load and slots. */
export class HeartbeatReporter {
  /** Adapters that each connection was last told of. */
  private readonly _toldAdapters = new Map<Connection, string>()
  private _due = false

  constructor (private readonly _clock: Clock, private readonly _source: HeartbeatSource) {}

  /** Everything that a heartbeat can tell. */
  heartbeat (): SidecarHeartbeat {
    const { running, places, queued, slots, adapters, loadMs, loadsWaiting, serviceMs } = this._source.report()
    return {
      revision: this._source.revision(),
      state: this._source.state(),
      running,
      places,
      queued,
      slots,
      adapters: adapters.map(({ adapter, state, pins }) => ({ adapter, state, pins })),
      loadMs,
      loadsWaiting,
      serviceMs,
      sameAdapters: false,
      endedUnder: this._source.ended().map(({ request, age }) => ({ request, ageMs: age }))
    }
  }

  /** Sends a heartbeat now. */
  send (): void {
    const full = this.heartbeat()
    const adapters = full.adapters.map(({ adapter, state }) => `${adapter} ${state}`).join()
    const short: SidecarHeartbeat = { ...full, adapters: [], sameAdapters: true }
    // Most heartbeats tell of the same adapters as the one before. Naming them each time
    // made nine tenths of an entry's control traffic.
    for (const connection of this._source.connections()) {
      const value = this._toldAdapters.get(connection) === adapters ? short : full
      this._toldAdapters.set(connection, adapters)
      connection.send({ body: { $case: 'heartbeat', value } })
    }
  }

  /** Sends one soon, together with whatever else changes until then. */
  sendSoon (): void {
    if (this._due) return
    this._due = true
    this._clock.after(minReportGapMs, () => {
      this._due = false
      this.send()
    })
  }

  /** Forgets a connection that is gone. */
  forget (connection: Connection): void { this._toldAdapters.delete(connection) }
}

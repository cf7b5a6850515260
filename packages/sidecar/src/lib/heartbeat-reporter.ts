/**
 * Sends the heartbeats of a sidecar to its entries.
 */
import type { Clock, Ms } from '@hazelford/core'
import type { InterruptedRequest } from './interrupted-requests.js'
import type { PlanReport } from '@hazelford/decisions'
import type { SidecarHeartbeat } from '@hazelford/wire'
import type { Connection } from './channel-server.js'

/** Source of the values in a heartbeat. */
export interface HeartbeatSource {
  readonly state: () => string
  readonly revision: () => number
  readonly report: () => PlanReport
  /** Requests that the upstream was running when it terminated. */
  readonly interrupted: () => readonly InterruptedRequest[]
  readonly connections: () => Iterable<Connection>
}

const minHeartbeatGapMs: Ms = 20

/** Sends load and adapter slots to every connected entry. */
export class HeartbeatReporter {
  /** Adapters and their states as last sent over each connection. */
  private readonly _lastSentAdapters = new Map<Connection, string>()
  private _isScheduled = false

  constructor (private readonly _clock: Clock, private readonly _source: HeartbeatSource) {}

  /** Builds a heartbeat with all its fields. */
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
      endedUnder: this._source.interrupted().map(({ request, age }) => ({ request, ageMs: age }))
    }
  }

  /** Sends a heartbeat now. */
  send (): void {
    const withAdapters = this.heartbeat()
    const adapters = withAdapters.adapters.map(({ adapter, state }) => `${adapter} ${state}`).join()
    const withoutAdapters: SidecarHeartbeat = { ...withAdapters, adapters: [], sameAdapters: true }
    // Most heartbeats report the same adapters as the one before. Sending the names each time
    // made up nine tenths of an entry's control traffic.
    for (const connection of this._source.connections()) {
      const value = this._lastSentAdapters.get(connection) === adapters ? withoutAdapters : withAdapters
      this._lastSentAdapters.set(connection, adapters)
      connection.send({ body: { $case: 'heartbeat', value } })
    }
  }

  /** Sends a heartbeat within 20 ms, which includes all changes until then. */
  sendSoon (): void {
    if (this._isScheduled) return
    this._isScheduled = true
    this._clock.after(minHeartbeatGapMs, () => {
      this._isScheduled = false
      this.send()
    })
  }

  /** Removes the state of a closed connection. */
  forget (connection: Connection): void { this._lastSentAdapters.delete(connection) }
}

/**
 * What an entry knows of one upstream: the sidecar's last report, corrected by what
 * the entry itself has sent since.
 */
import type { AdapterKey, Ms } from '@hazelford/core'
import type { PlanReport } from './plan-messages.js'

/**
 * Whether the entry may send new work.
 *
 * - `suspect`: heartbeats are missing; nothing is known of its requests.
 */
export type UpstreamState = 'serving' | 'leaving' | 'cold' | 'suspect'

const emptyReport: PlanReport = {
  running: 0, queued: 0, places: 1, slots: 1, adapters: [], loadMs: 500, loadsWaiting: 0, serviceMs: 200
}

/** How long an upstream is ramped up after a cold start. */
const slowStartMs: Ms = 5_000
/** Most channels that break are back within this time. */
const reconnectWindowMs: Ms = 2_000
const ejectAfterFailures = 5
const ejectMs: Ms = 3_000

/** One upstream as an entry sees it. */
export class UpstreamView {
  private _state: UpstreamState = 'suspect'
  private _suspectSince: Ms = -Infinity
  /** Set from the configuration or the host list; overrides the sidecar's word. */
  barred = false
  private _report: PlanReport = emptyReport
  private _adapters = new Map<AdapterKey, 'loading' | 'loaded'>()
  private _reported = new Map<AdapterKey, 'loading' | 'loaded'>()
  private _sentSince = 0
  private _servingSince: Ms = 0
  private _failuresInRow = 0
  private _ejectedUntil: Ms = 0

  constructor (readonly name: string, readonly service: string, readonly zone: string) {}

  get state (): UpstreamState { return this._state }

  get report (): PlanReport { return this._report }

  /**
   * Takes a heartbeat.
   *
   * @param state - the sidecar's own word
   * @param report - its load; its adapters count only if they changed
   * @param now - time of this view's clock
   * @param sameAdapters - the adapters are those of the last report
   */
  update (state: 'serving' | 'leaving' | 'cold', report: PlanReport, now: Ms, sameAdapters = false): void {
    if (state === 'serving' && this._state !== 'serving') this._servingSince = now
    this._state = state
    this._report = report
    if (!sameAdapters) this._reported = new Map(report.adapters.map(({ adapter, state: slot }) => [adapter, slot]))
    this._adapters = new Map(this._reported)
    this._sentSince = 0
  }

  /** The channel is down or silent: no new work, and no word on what is open there. */
  suspect (now: Ms): void {
    if (this._state !== 'suspect') this._suspectSince = now
    this._state = 'suspect'
  }

  /** Whether it fell silent so recently that a reconnect is likely. */
  mayComeBack (now: Ms): boolean {
    return this._state === 'suspect' && !this.barred && now - this._suspectSince < reconnectWindowMs
  }

  /**
   * Notes a dispatch of this entry. Reports are late: until the next one, an entry
   * that ignored its own dispatches would send everything to the same upstream.
   */
  sent (adapter: AdapterKey | undefined): void {
    this._sentSince++
    if (adapter !== undefined && !this._adapters.has(adapter)) this._adapters.set(adapter, 'loading')
  }

  /** Notes how a request ended; five upstream failures in a row eject it for a while. */
  ended (failed: boolean, now: Ms): void {
    this._failuresInRow = failed ? this._failuresInRow + 1 : 0
    if (this._failuresInRow < ejectAfterFailures) return
    this._ejectedUntil = now + ejectMs
    this._failuresInRow = 0
  }

  /** Whether new work may go here. */
  accepts (now: Ms): boolean {
    return this._state === 'serving' && !this.barred && now >= this._ejectedUntil
  }

  adapterState (adapter: AdapterKey): 'loading' | 'loaded' | 'absent' {
    return this._adapters.get(adapter) ?? 'absent'
  }

  /** Requests running or queued there, own dispatches since the report included. */
  get load (): number { return this._report.running + this._report.queued + this._sentSince }

  /**
   * Expected ms in the queue.
   *
   * @param serviceMs - time of a request at an upstream of this service
   */
  queueWait (serviceMs: Ms): Ms {
    const over = this.load + 1 - this._report.places
    return over <= 0 ? 0 : over / this._report.places * serviceMs
  }

  /** Share of full traffic this upstream should get while it warms up, 0 to 1. */
  warmth (now: Ms): number {
    return Math.min(1, 0.1 + (now - this._servingSince) / slowStartMs)
  }
}

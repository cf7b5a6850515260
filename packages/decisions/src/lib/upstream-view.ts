/**
 * One upstream as an entry sees it: the sidecar's last report, corrected by what the entry itself has sent since.
 */
import type { AdapterKey, Ms } from '@hazelford/core'
import type { PlanReport } from './plan-messages.js'

/**
 * State of an upstream, which decides whether the entry may send it new requests.
 *
 * - `suspect`: heartbeats are missing; the state of its requests is unknown.
 */
export type UpstreamState = 'serving' | 'leaving' | 'cold' | 'suspect'

const emptyReport: PlanReport = {
  running: 0, queued: 0, places: 1, slots: 1, adapters: [], loadMs: 500, loadsWaiting: 0, serviceMs: 200
}

/** Duration of the slow start of an upstream after a cold start. */
const slowStartMs: Ms = 5_000
/** Time within which most broken channels are connected again. */
const reconnectWindowMs: Ms = 2_000
const ejectAfterFailures = 5
const ejectMs: Ms = 3_000

/** One upstream as an entry sees it. */
export class UpstreamView {
  private _state: UpstreamState = 'suspect'
  private _suspectSince: Ms = -Infinity
  /** Set from the configuration or the host list; overrides the state that the sidecar reports. */
  excluded = false
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
   * Applies a heartbeat.
   *
   * @param state - the state that the sidecar reports
   * @param report - its load; its adapters count only if they changed
   * @param now - time of this view's clock
   * @param sameAdapters - whether the adapters are those of the last report
   */
  update (state: 'serving' | 'leaving' | 'cold', report: PlanReport, now: Ms, sameAdapters = false): void {
    if (state === 'serving' && this._state !== 'serving') this._servingSince = now
    this._state = state
    this._report = report
    if (!sameAdapters) this._reported = new Map(report.adapters.map(({ adapter, state: slot }) => [adapter, slot]))
    this._adapters = new Map(this._reported)
    this._sentSince = 0
  }

  /**
   * Marks the upstream as suspect: its channel is down or silent, so it gets no new requests, and the state of its open
   * ones is unknown.
   */
  suspect (now: Ms): void {
    if (this._state !== 'suspect') this._suspectSince = now
    this._state = 'suspect'
  }

  /** Whether it became silent so recently that a reconnect is likely. */
  mayComeBack (now: Ms): boolean {
    return this._state === 'suspect' && !this.excluded && now - this._suspectSince < reconnectWindowMs
  }

  /**
   * Records that this entry has sent a request. Reports are late: an entry that ignored its own requests until the next
   * report would send everything to the same upstream.
   */
  recordSent (adapter: AdapterKey | undefined): void {
    this._sentSince++
    if (adapter !== undefined && !this._adapters.has(adapter)) this._adapters.set(adapter, 'loading')
  }

  /** Records the end of a request; five upstream failures in a row eject the upstream for a while. */
  recordEnd (failed: boolean, now: Ms): void {
    this._failuresInRow = failed ? this._failuresInRow + 1 : 0
    if (this._failuresInRow < ejectAfterFailures) return
    this._ejectedUntil = now + ejectMs
    this._failuresInRow = 0
  }

  /** Whether the upstream may get new requests. */
  accepts (now: Ms): boolean {
    return this._state === 'serving' && !this.excluded && now >= this._ejectedUntil
  }

  adapterState (adapter: AdapterKey): 'loading' | 'loaded' | 'absent' {
    return this._adapters.get(adapter) ?? 'absent'
  }

  /** Requests running or queued there, including those that this entry has sent since the report. */
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

  /** Share of full traffic that this upstream should get while it warms up, 0 to 1. */
  warmth (now: Ms): number {
    return Math.min(1, 0.1 + (now - this._servingSince) / slowStartMs)
  }
}

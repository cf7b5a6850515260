/**
 * The fencing number of a sidecar. Only the sidecar with the highest number may send load and unload orders to the engine.
 */
import { type Clock, type EventRing, type Log, newId, type Ms, sleep } from '@hazelford/core'
import { type KvClient, casWithReadBack } from '@hazelford/consul'

/** Record in the key-value service for one upstream. */
interface FenceRecord {
  /** Increases with each holder; no number is used twice. */
  readonly number: number
  /** Random token of the write, by which a holder recognises its own record. */
  readonly token: string
  readonly sidecar: string
}

/** Whether a load or unload order may be sent to the engine. */
export type FenceVerdict = 'held' | 'superseded' | 'unverified'

/** Dependencies and settings of {@link Fence}. */
export interface FenceOptions {
  readonly kv: KvClient
  readonly clock: Clock
  readonly log: Log
  readonly events: EventRing
  readonly upstream: string
  readonly sidecar: string
  /** How long a check of the record stays valid, in ms. */
  readonly leaseMs: Ms
}

const retryBase: Ms = 100
const retryCap: Ms = 2_000

function readRecord (json: string | undefined): FenceRecord | undefined {
  return json === undefined ? undefined : JSON.parse(json) as FenceRecord
}

/** Acquires a fencing number and checks that it is still the highest. */
export class Fence {
  private readonly _token = newId('fence')
  private readonly _key: string
  private _number = 0
  private _verifiedAt: Ms = -Infinity
  private _superseded = false

  constructor (private readonly _options: FenceOptions) {
    this._key = `hazelford/fence/${_options.upstream}`
  }

  /** The number, or 0 before one is acquired. */
  get number (): number { return this._number }

  /** Whether another sidecar has acquired a higher number for the upstream. */
  get superseded (): boolean { return this._superseded }

  /**
   * Acquires the next number; retries for as long as the key-value service is down.
   *
   * @param stopped - ends the attempts when it returns true
   */
  async acquire (stopped: () => boolean): Promise<void> {
    const { clock } = this._options
    for (let wait = retryBase; !stopped(); wait = Math.min(retryCap, wait * 2)) {
      if (await this._tryAcquire()) return
      await sleep(clock, wait * (0.5 + Math.random() / 2))
    }
  }

  private async _tryAcquire (): Promise<boolean> {
    const { kv, clock, log, events, sidecar, upstream } = this._options
    const read = await kv.read(this._key)
    if (read.isErr()) return false
    const { entry } = read.value
    const current = readRecord(entry?.value)
    // A write whose reply was lost may take effect after the read-back that missed it.
    // Acquiring another number would be safe but would waste this one.
    if (current?.token === this._token) return this._adoptNumber(current.number)
    const record: FenceRecord = { number: (current?.number ?? 0) + 1, token: this._token, sidecar }
    const isOwn = (value: string): boolean => readRecord(value)?.token === this._token
    const outcome = await casWithReadBack(kv, this._key, entry?.modifyIndex ?? 0, JSON.stringify(record), isOwn)
    if (outcome.kind !== 'stored') return false
    this._adoptNumber(record.number)
    this._verifiedAt = clock.now()
    log.info('fence', 'fencing number acquired.', { upstream, number: record.number })
    events.add('fence', { upstream, note: `number ${record.number} taken` })
    return true
  }

  private _adoptNumber (number: number): true {
    this._number = number
    return true
  }

  /**
   * Checks before a load or unload order that the number is still the highest.
   *
   * A holder can be paused for longer than its lease and resume in the middle of an order
   * although a successor has taken over meanwhile. The monotonic clock reveals the pause; the record then
   * shows whether another sidecar holds the upstream.
   */
  async check (): Promise<FenceVerdict> {
    const { clock, leaseMs } = this._options
    if (this._superseded) return 'superseded'
    if (this._number === 0) return 'unverified'
    if (clock.now() - this._verifiedAt < leaseMs) return 'held'
    return this._verify()
  }

  private async _verify (): Promise<FenceVerdict> {
    const { kv, clock, log, events, upstream } = this._options
    const readStartedAt = clock.now()
    const read = await kv.read(this._key)
    // No sidecar can acquire a number while the key-value service is down, so an order of an
    // unverified holder conflicts at worst with a successor that took over before the outage.
    // Engines that check fencing numbers refuse the order, and the engine-side names of loads
    // prevent it from hitting the adapters that the successor uses.
    if (read.isErr()) return 'unverified'
    const record = readRecord(read.value.entry?.value)
    if (record !== undefined && record.number > this._number) {
      this._superseded = true
      log.warn('fence', 'superseded.', { upstream, number: this._number, by: record.number })
      events.add('fence', { upstream, note: `superseded by number ${record.number}` })
      return 'superseded'
    }
    this._verifiedAt = readStartedAt
    return 'held'
  }
}

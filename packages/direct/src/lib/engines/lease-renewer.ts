/**
 * Renews this process's one lease at the store, and detects when the lease may have ended.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms, clocksAgree, sleep } from '@hazelford/core'
import type { Store } from '@hazelford/ports'

/**
 * Time to live. Longer than most outages of the store, so that load and unload orders continue through them; after a
 * crash the engines of the crashed holder wait this long for another holder.
 */
const ttl: Ms = 8_000
const renewEvery: Ms = 1_500
const retryAfter: Ms = 300
/**
 * How long before the store may end the lease this process treats it as ended, so that load and unload orders in
 * progress are over by then.
 */
const expiryMargin: Ms = 1_000
/**
 * Time after the end of a lease at the store, however early, from which its former owner sends no more orders: the owner
 * counts from its last renewal, which the store received before that end.
 */
export const ordersAfterLeaseEnd: Ms = ttl

/** Called when the lease is granted and when it ends. */
export interface LeaseListener {
  readonly granted: (lease: number) => void
  readonly ended: () => void
}

/** Maintains a lease for as long as the process runs. */
export class LeaseRenewer {
  private _lease: number | undefined
  private _validUntil: Ms = -Infinity
  /** When the last renewal that was answered was sent. */
  private _renewedAt: Instant
  private _stopped = false
  /** Ends the pause before the next renewal. */
  private _wake: () => void = () => {}

  constructor (private readonly _store: Store, private readonly _clock: Clock, private readonly _log: Log, private readonly _listener: LeaseListener) {
    this._renewedAt = instantOf(_clock)
  }

  get lease (): number | undefined { return this._lease }

  /**
   * Whether the lease is certain to be valid now.
   *
   * While a process is suspended, its monotonic clock does not advance. Another entry may hold its engines by the time
   * it continues, and orders of both would interleave. The wall clock does advance; after it has jumped against the
   * monotonic clock, only a renewal shows whether the lease is valid.
   */
  get valid (): boolean {
    return this._lease !== undefined && this._clock.now() < this._validUntil && clocksAgree(this._renewedAt, instantOf(this._clock))
  }

  start (): void { this._run().catch((error: Error) => this._log.warn('lease', 'renewal stopped.', { error: error.message })) }

  /** Stops renewing and lets the lease expire. */
  abandon (): void { this._stopped = true }

  /** Returns the lease, so that the store removes its keys at once. */
  async stop (): Promise<void> {
    this._stopped = true
    const lease = this._lease
    this._markLost('stopping')
    if (lease === undefined) return
    const ended = await this._store.endLease(lease)
    if (ended.isErr()) this._log.info('lease', 'not returned, it will expire.', { lease, cause: ended.error.message })
  }

  private async _run (): Promise<void> {
    while (!this._stopped) {
      const kept = this._lease === undefined ? await this._grant() : await this._renew(this._lease)
      if (this._lease !== undefined && this._clock.now() >= this._validUntil) this._markLost('not renewed in time')
      await this._pause(kept ? renewEvery : retryAfter)
    }
  }

  private async _pause (delay: Ms): Promise<void> {
    const woken = new Promise<void>(resolve => { this._wake = resolve })
    await Promise.race([sleep(this._clock, delay), woken])
  }

  /**
   * Handles that the store came back from a copy. The lease may be gone, and its number may have been given to another
   * process since: renewing it would extend that one's lease.
   */
  storeReturned (): void {
    this._markLost('the store came back from a copy')
    this._wake()
  }

  private async _grant (): Promise<boolean> {
    const sentAt = instantOf(this._clock)
    const granted = await this._store.grantLease(ttl)
    if (granted.isErr() || this._stopped) return false
    this._lease = granted.value.lease
    this._extend(sentAt, Math.min(granted.value.ttl, ttl))
    this._log.info('lease', 'granted.', { lease: this._lease, ttl: granted.value.ttl })
    this._listener.granted(this._lease)
    return true
  }

  private async _renew (lease: number): Promise<boolean> {
    const sentAt = instantOf(this._clock)
    const renewed = await this._store.renewLease(lease)
    if (this._lease !== lease) return false
    if (renewed.isOk()) {
      this._extend(sentAt, ttl)
      return true
    }
    if (renewed.error.kind === 'no-lease') this._markLost('ended at the store')
    return false
  }

  /** Extends the lease. The store counts from the arrival of the call, so counting from its sending is safe. */
  private _extend (sentAt: Instant, granted: Ms): void {
    this._validUntil = sentAt.now + granted - expiryMargin
    // If the process was paused between the call and its answer, the lease still counts as invalid.
    this._renewedAt = sentAt
  }

  private _markLost (cause: string): void {
    if (this._lease === undefined) return
    this._log.info('lease', 'lost.', { lease: this._lease, cause })
    this._lease = undefined
    this._validUntil = -Infinity
    this._listener.ended()
  }
}

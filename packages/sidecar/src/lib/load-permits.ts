/**
 * Shares the weight store between sidecars without a central process: one record in the
 * key-value service holds a few permits, which are taken and returned by compare-and-swap.
 */
import { type CancelTimer, type Clock, type Log, type Ms, newId, sleep } from '@hazelford/core'
import { LoadThrottle } from '@hazelford/decisions'
import { type KvClient, casWithReadBack } from '@hazelford/consul'

interface Permit {
  readonly token: string
  readonly sidecar: string
  /** Wall time at which the permit expires; a holder that has not renewed it by then counts as dead. */
  readonly until: Ms
}

interface PermitRecord {
  readonly permits: readonly Permit[]
  /** Wall times at which recent loads began, for the rate limit of the weight store. */
  readonly begun: readonly Ms[]
  /** Unique for each write, so that a writer recognises its own. */
  readonly writeId: string
}

/** Limits on loads from the weight store. */
export interface PermitLimits {
  readonly atOnce: number
  readonly perSecond: number
  /** Number of sidecars that share the weight store; sets the share of each while the key-value service is down. */
  readonly sharers: number
}

/** Dependencies of {@link LoadPermits}. */
export interface PermitOptions {
  readonly kv: KvClient
  readonly clock: Clock
  readonly log: Log
  readonly sidecar: string
  readonly limits: () => PermitLimits
}

/** A right to load one adapter. */
export interface HeldPermit {
  /**
   * Returns the permit.
   *
   * @param took - duration of the load in ms; undefined when no load was started
   * @param loaded - whether the load succeeded
   */
  readonly giveBack: (took?: Ms, loaded?: boolean) => void
}

const recordKey = 'hazelford/load-permits'
/** A permit expires this long after it was taken or renewed. */
const permitTtl: Ms = 3_000
const renewInterval: Ms = 1_000
const watchTimeout: Ms = 2_000
const conflictDelay: Ms = 10
const rankDelay: Ms = 15
const second: Ms = 1_000

type Attempt =
  | { readonly kind: 'taken' }
  | { readonly kind: 'full', readonly index: number }
  | { readonly kind: 'rate', readonly wait: Ms }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'down' }

/** Takes and returns permits for one sidecar. */
export class LoadPermits {
  private _throttle: LoadThrottle | undefined

  constructor (private readonly _options: PermitOptions) {}

  /**
   * Waits for a permit.
   *
   * @param currentRank - priority of the load, 0 is the most urgent: less urgent loads try a
   * little later. Called for each attempt, since a more urgent request may have arrived.
   * @returns the permit; waits until one is available
   */
  async acquire (currentRank: () => number): Promise<HeldPermit> {
    const { clock, kv } = this._options
    const token = newId('permit')
    for (;;) {
      const attempt = await this._tryAcquire(token)
      const rank = currentRank()
      switch (attempt.kind) {
        case 'taken':
          return this._renewPermit(token)
        case 'down':
          // The record may hold a permit whose reply was lost and which this sidecar won't use.
          this._removePermit(token).catch(() => {})
          return this._permitWithoutService()
        case 'full':
          await kv.watch(recordKey, attempt.index, watchTimeout)
          await sleep(clock, rank * rankDelay * (1 + Math.random()))
          break
        case 'rate':
          await sleep(clock, attempt.wait + rank * rankDelay)
          break
        case 'conflict':
          await sleep(clock, conflictDelay * (1 + rank + Math.random()))
      }
    }
  }

  /** Renews a permit every second until it is returned. */
  private _renewPermit (token: string): HeldPermit {
    const { clock } = this._options
    let cancel: CancelTimer = () => {}
    const renewLater = (): void => {
      cancel = clock.after(renewInterval, () => {
        this._replacePermit(token, permit => [{ ...permit, until: clock.wall() + permitTtl }]).catch(() => {})
        renewLater()
      })
    }
    renewLater()
    return {
      giveBack: (took, loaded) => {
        this._recordLoad(took, loaded)
        cancel()
        this._removePermit(token).catch(() => {})
      }
    }
  }

  private async _tryAcquire (token: string): Promise<Attempt> {
    const { kv, clock, sidecar, limits } = this._options
    const read = await kv.read(recordKey)
    if (read.isErr()) return { kind: 'down' }
    const now = clock.wall()
    const record = this._withoutExpired(read.value.entry?.value, now)
    if (record.permits.some(permit => permit.token === token)) return { kind: 'taken' }
    const { atOnce, perSecond } = limits()
    if (record.permits.length >= atOnce) return { kind: 'full', index: read.value.index }
    if (record.begun.length >= perSecond) return { kind: 'rate', wait: record.begun[0]! + second - now }
    const permits = [...record.permits, { token, sidecar, until: now + permitTtl }]
    const next: PermitRecord = { permits, begun: [...record.begun, now], writeId: newId('w') }
    const outcome = await this._write(read.value.entry?.modifyIndex ?? 0, next)
    return outcome
  }

  private async _write (index: number, next: PermitRecord): Promise<Attempt> {
    const isOwn = (value: string): boolean => (JSON.parse(value) as PermitRecord).writeId === next.writeId
    const outcome = await casWithReadBack(this._options.kv, recordKey, index, JSON.stringify(next), isOwn)
    switch (outcome.kind) {
      case 'stored': return { kind: 'taken' }
      case 'conflict': return { kind: 'conflict' }
      case 'not-applied':
      case 'unknown': return { kind: 'down' }
    }
  }

  /** The record without expired permits and without loads that began more than a second ago. */
  private _withoutExpired (json: string | undefined, now: Ms): PermitRecord {
    if (json === undefined) return { permits: [], begun: [], writeId: '' }
    const record = JSON.parse(json) as PermitRecord
    return {
      // If permits did not expire, a holder that died would keep its permit and loads would
      // stop. Two loads at once after an expiry are slow but harmless.
      permits: record.permits.filter(permit => permit.until > now),
      begun: record.begun.filter(at => at > now - second && at <= now),
      writeId: record.writeId
    }
  }

  private _removePermit (token: string): Promise<void> { return this._replacePermit(token, () => []) }

  /** Replaces this sidecar's permit in the record by the permits that `replace` returns. */
  private async _replacePermit (token: string, replace: (permit: Permit) => readonly Permit[]): Promise<void> {
    const { kv, clock } = this._options
    const giveUpAt = clock.now() + permitTtl
    while (clock.now() < giveUpAt) {
      const read = await kv.read(recordKey)
      if (read.isErr()) return
      const { entry } = read.value
      if (entry === undefined) return
      const record = this._withoutExpired(entry.value, clock.wall())
      if (!record.permits.some(permit => permit.token === token)) return
      const permits = record.permits.flatMap(permit => permit.token === token ? replace(permit) : [permit])
      const outcome = await this._write(entry.modifyIndex, { ...record, permits, writeId: newId('w') })
      if (outcome.kind !== 'conflict') return
      await sleep(clock, conflictDelay * Math.random())
    }
  }

  /**
   * Permits a load while the key-value service is down.
   *
   * Sidecars then can't see each other's loads, but the duration of its own loads shows a
   * sidecar how busy the weight store is. The throttle raises the sidecar's rate while its loads
   * are fast, and lowers it down to the sidecar's share of the store's rate while they are slow or fail.
   */
  private async _permitWithoutService (): Promise<HeldPermit> {
    const { clock } = this._options
    const throttle = this._ownThrottle()
    const wait = throttle.delay(clock.now())
    if (wait > 0) await sleep(clock, wait)
    throttle.recordStart(clock.now())
    return { giveBack: (took, loaded) => this._recordLoad(took, loaded) }
  }

  /** Also records loads under permits, so that the throttle starts an outage with measured durations. */
  private _recordLoad (took: Ms | undefined, loaded = true): void {
    if (took !== undefined) this._ownThrottle().recordEnd(took, loaded)
  }

  private _ownThrottle (): LoadThrottle {
    const { perSecond, sharers } = this._options.limits()
    this._throttle ??= new LoadThrottle(second * Math.max(1, sharers) / perSecond)
    return this._throttle
  }
}

/**
 * Shares the weight store between sidecars without a coordinator: a few permits in
 * one record of the key-value service, taken and returned by compare-and-swap.
 */
import { type CancelTimer, type Clock, type Log, type Ms, newId, sleep } from '@hazelford/core'
import { LoadThrottle } from '@hazelford/decisions'
import { type KvClient, casWithReadBack } from '@hazelford/consul'

interface Permit {
  readonly token: string
  readonly sidecar: string
  /** Wall time after which the holder counts as gone. */
  readonly until: Ms
}

interface PermitRecord {
  readonly permits: readonly Permit[]
  /** Wall times at which recent loads began, for the store's rate. */
  readonly begun: readonly Ms[]
  /** Makes every write differ from every other. */
  readonly writeId: string
}

/** What the permits allow. */
export interface PermitLimits {
  readonly atOnce: number
  readonly perSecond: number
  /** Sidecars that share the store, for the share each has while the service is down. */
  readonly sharers: number
}

/** What the permits work with. */
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
   * Returns it.
   *
   * @param took - ms of the load; undefined when none was begun
   * @param loaded - whether it succeeded
   */
  readonly giveBack: (took?: Ms, loaded?: boolean) => void
}

const recordKey = 'hazelford/load-permits'
/** A permit runs out this long after it was taken or renewed. */
const permitLife: Ms = 3_000
const renewEvery: Ms = 1_000
const watchWait: Ms = 2_000
const conflictPause: Ms = 10
const rankPause: Ms = 15
const second: Ms = 1_000

type Attempt =
  | { readonly kind: 'taken' }
  | { readonly kind: 'full', readonly index: number }
  | { readonly kind: 'rate', readonly wait: Ms }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'down' }

/** Takes and returns permits for one sidecar. */
export class LoadPermits {
  private _pacer: LoadThrottle | undefined

  constructor (private readonly _options: PermitOptions) {}

  /**
   * Waits for a permit.
   *
   * @param currentRank - urgency of the load, 0 first: less urgent ones try a little
   * later. It is asked anew each time, since a more urgent request may have come.
   * @returns the permit; there is always one in the end
   */
  async acquire (currentRank: () => number): Promise<HeldPermit> {
    const { clock, kv } = this._options
    const token = newId('permit')
    for (;;) {
      const attempt = await this._try(token)
      const rank = currentRank()
      switch (attempt.kind) {
        case 'taken':
          return this._held(token)
        case 'down':
          // The record may hold a permit whose reply was lost; nobody will use it.
          this._giveBack(token).catch(() => {})
          return this._takeShare()
        case 'full':
          await kv.watch(recordKey, attempt.index, watchWait)
          await sleep(clock, rank * rankPause * (1 + Math.random()))
          break
        case 'rate':
          await sleep(clock, attempt.wait + rank * rankPause)
          break
        case 'conflict':
          await sleep(clock, conflictPause * (1 + rank + Math.random()))
      }
    }
  }

  /** A permit, renewed while its load lasts. */
  private _held (token: string): HeldPermit {
    const { clock } = this._options
    let cancel: CancelTimer = () => {}
    const renewLater = (): void => {
      cancel = clock.after(renewEvery, () => {
        this._change(token, permit => [{ ...permit, until: clock.wall() + permitLife }]).catch(() => {})
        renewLater()
      })
    }
    renewLater()
    return {
      giveBack: (took, loaded) => {
        this._observe(took, loaded)
        cancel()
        this._giveBack(token).catch(() => {})
      }
    }
  }

  private async _try (token: string): Promise<Attempt> {
    const { kv, clock, sidecar, limits } = this._options
    const read = await kv.read(recordKey)
    if (read.isErr()) return { kind: 'down' }
    const now = clock.wall()
    const record = this._live(read.value.entry?.value, now)
    if (record.permits.some(permit => permit.token === token)) return { kind: 'taken' }
    const { atOnce, perSecond } = limits()
    if (record.permits.length >= atOnce) return { kind: 'full', index: read.value.index }
    if (record.begun.length >= perSecond) return { kind: 'rate', wait: record.begun[0]! + second - now }
    const permits = [...record.permits, { token, sidecar, until: now + permitLife }]
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

  /** The record without what has run out. */
  private _live (json: string | undefined, now: Ms): PermitRecord {
    if (json === undefined) return { permits: [], begun: [], writeId: '' }
    const record = JSON.parse(json) as PermitRecord
    return {
      // A holder that died would keep its permit for good and loads would stop. Its
      // permit ends by itself; two loads at once are slow, but not wrong.
      permits: record.permits.filter(permit => permit.until > now),
      begun: record.begun.filter(at => at > now - second && at <= now),
      writeId: record.writeId
    }
  }

  private _giveBack (token: string): Promise<void> { return this._change(token, () => []) }

  /** Replaces our permit in the record by what `replace` makes of it. */
  private async _change (token: string, replace: (permit: Permit) => readonly Permit[]): Promise<void> {
    const { kv, clock } = this._options
    const end = clock.now() + permitLife
    while (clock.now() < end) {
      const read = await kv.read(recordKey)
      if (read.isErr()) return
      const { entry } = read.value
      if (entry === undefined) return
      const record = this._live(entry.value, clock.wall())
      if (!record.permits.some(permit => permit.token === token)) return
      const permits = record.permits.flatMap(permit => permit.token === token ? replace(permit) : [permit])
      const outcome = await this._write(entry.modifyIndex, { ...record, permits, writeId: newId('w') })
      if (outcome.kind !== 'conflict') return
      await sleep(clock, conflictPause * Math.random())
    }
  }

  /**
   * Without the service nothing tells who loads; the time of loads does, and keeps each
   * sidecar between what it needs and its share of the store's rate.
   */
  private async _takeShare (): Promise<HeldPermit> {
    const { clock } = this._options
    const pacer = this._ownPacer()
    const wait = pacer.delay(clock.now())
    if (wait > 0) await sleep(clock, wait)
    pacer.started(clock.now())
    return { giveBack: (took, loaded) => this._observe(took, loaded) }
  }

  /** Loads under permits teach the pacer too, so that an outage does not begin with a guess. */
  private _observe (took: Ms | undefined, loaded = true): void {
    if (took !== undefined) this._ownPacer().ended(took, loaded)
  }

  private _ownPacer (): LoadThrottle {
    const { perSecond, sharers } = this._options.limits()
    this._pacer ??= new LoadThrottle(second * Math.max(1, sharers) / perSecond)
    return this._pacer
  }
}

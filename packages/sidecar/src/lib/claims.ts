/**
 * Claims on idempotency keys: each keyed call runs once, whichever sidecar gets it.
 */
import { createHash } from 'node:crypto'
import { type Clock, type EventRing, type Log, newId, type Ms, sleep } from '@hazelford/core'
import type { AnswerHeader } from '@hazelford/engine'
import { type KvClient, type KvRead, casWithReadBack } from '@hazelford/consul'

/** An answer kept for repeats. */
export interface KeptAnswer {
  readonly status: number
  readonly headers: readonly AnswerHeader[]
  /** Base64; undefined when the body was too large to keep. */
  readonly body: string | undefined
}

/** What stands in the key-value service for a key. */
interface ClaimRecord {
  /** Names the attempt that holds the key. */
  readonly token: string
  readonly sidecar: string
  /** The holder's incarnation: a restarted sidecar can't know what it had begun. */
  readonly incarnation: string
  /** Digest of method, path and body, so that a key can't be used for another call. */
  readonly digest: string
  readonly at: Ms
  readonly answer?: KeptAnswer
}

/** What a claim came to. */
export type ClaimOutcome =
  /** The key is ours: the call may run, once. */
  | { readonly kind: 'taken', readonly claim: Claim }
  | { readonly kind: 'answered', readonly answer: KeptAnswer }
  /** The first attempt is under way here; wait for it. */
  | { readonly kind: 'running-here', readonly answer: Promise<KeptAnswer | undefined> }
  | { readonly kind: 'running-elsewhere', readonly sidecar: string }
  /** The first attempt began and its end is not known. */
  | { readonly kind: 'outcome-unknown' }
  | { readonly kind: 'other-call' }
  | { readonly kind: 'unavailable', readonly message: string }

/** A key that this sidecar holds. */
export interface Claim {
  readonly key: string
  readonly token: string
}

/** What claims work with. */
export interface ClaimsOptions {
  readonly kv: KvClient
  readonly clock: Clock
  readonly log: Log
  readonly events: EventRing
  readonly service: string
  readonly sidecar: string
  readonly incarnation: string
  /** Whether the sidecar has ended; nothing is recorded or removed from then on. */
  readonly stopped: () => boolean
}

interface Held {
  readonly token: string
  readonly digest: string
  readonly answered: Promise<KeptAnswer | undefined>
  readonly settle: (answer: KeptAnswer | undefined) => void
}

const keepInMemoryMs: Ms = 10 * 60_000
const settleRetryMs: Ms = 500
const settleWaitMs: Ms = 300
const absencesToTrust = 4
const keptBodyLimit = 64 * 1024
/** How long a claim of another live sidecar counts as running before its outcome counts as unknown. */
const runningElsewhereMs: Ms = 60_000

/**
 * Keeps an answer for repeats.
 *
 * @param status - HTTP status
 * @param headers - headers as passed on
 * @param chunks - the body
 */
export function keepAnswer (status: number, headers: readonly AnswerHeader[], chunks: readonly Uint8Array[]): KeptAnswer {
  const body = Buffer.concat(chunks)
  return { status, headers, body: body.length > keptBodyLimit ? undefined : body.toString('base64') }
}

function createHeld (token: string, digest: string): Held {
  let settle: Held['settle'] = () => {}
  const answered = new Promise<KeptAnswer | undefined>(resolve => { settle = resolve })
  return { token, digest, answered, settle }
}

/** The claims of one sidecar. */
export class Claims {
  private readonly _held = new Map<string, Held>()

  constructor (private readonly _options: ClaimsOptions) {}

  /**
   * Claims a key before the call is passed on.
   *
   * The record is created only if absent, so of all sidecars that get the same key,
   * also on both sides of a partition or after a pause, exactly one may run the call.
   *
   * @param key - the caller's Idempotency-Key
   * @param digest - of the call
   */
  async claim (key: string, digest: string): Promise<ClaimOutcome> {
    const known = this._held.get(key)
    if (known !== undefined) {
      if (known.digest !== digest) return { kind: 'other-call' }
      return { kind: 'running-here', answer: known.answered }
    }
    const held = createHeld(newId('claim'), digest)
    this._held.set(key, held)
    const outcome = await this._create(key, held)
    if (outcome.kind !== 'taken') this._let(key, held)
    return outcome
  }

  private async _create (key: string, held: Held): Promise<ClaimOutcome> {
    const { kv, clock, events, sidecar, incarnation } = this._options
    const record: ClaimRecord = { token: held.token, sidecar, incarnation, digest: held.digest, at: clock.wall() }
    const path = this._path(key)
    const written = await casWithReadBack(kv, path, 0, JSON.stringify(record), value => this._tokenOf(value) === held.token)
    switch (written.kind) {
      case 'stored':
        events.add('claim', { note: `key taken for ${this._options.service}` })
        return { kind: 'taken', claim: { key, token: held.token } }
      case 'conflict':
        return this._readOther(written.current, held.digest)
      case 'not-applied':
        return { kind: 'unavailable', message: written.message }
      case 'unknown':
        // The record may stand although the call will not run. Left alone it would tell
        // every repeat that a first attempt is under way, and the booking would be lost.
        this._clean(path, held.token)
        return { kind: 'unavailable', message: written.message }
    }
  }

  private _readOther (current: KvRead, digest: string): ClaimOutcome {
    if (current.entry === undefined) return { kind: 'unavailable', message: 'The claim could not be read.' }
    const record = JSON.parse(current.entry.value) as ClaimRecord
    const { sidecar, incarnation, clock } = this._options
    if (record.digest !== digest) return { kind: 'other-call' }
    if (record.answer !== undefined) return { kind: 'answered', answer: record.answer }
    const ownPast = record.sidecar === sidecar && record.incarnation !== incarnation
    const old = clock.wall() - record.at > runningElsewhereMs
    return ownPast || old ? { kind: 'outcome-unknown' } : { kind: 'running-elsewhere', sidecar: record.sidecar }
  }

  /**
   * Records the answer, so that a repeat through any sidecar gets it.
   *
   * @param claim - from {@link Claims.claim}
   * @param answer - the first attempt's
   * @returns when it is recorded, or after a short wait when the service is down
   */
  async settle (claim: Claim, answer: KeptAnswer): Promise<void> {
    const { clock } = this._options
    const held = this._held.get(claim.key)
    held?.settle(answer)
    clock.after(keepInMemoryMs, () => { if (held !== undefined) this._let(claim.key, held) })
    const recorded = this._update(this._path(claim.key), claim.token, answer)
    const waited = new Promise<void>(resolve => { clock.after(settleWaitMs, resolve) })
    await Promise.race([recorded, waited])
  }

  /**
   * Notes that a call began and that nobody knows how it ended. The record stays, so
   * that no repeat runs it again.
   */
  markOutcomeUnknown (claim: Claim): void {
    const held = this._held.get(claim.key)
    if (held === undefined) return
    held.settle(undefined)
    this._options.clock.after(keepInMemoryMs, () => this._let(claim.key, held))
  }

  /** Gives a key back: the call did not run, and a repeat may. */
  release (claim: Claim): void {
    const held = this._held.get(claim.key)
    if (held !== undefined) this._let(claim.key, held)
    this._clean(this._path(claim.key), claim.token)
  }

  private _let (key: string, held: Held): void {
    held.settle(undefined)
    if (this._held.get(key) === held) this._held.delete(key)
  }

  private _path (key: string): string {
    const digest = createHash('sha256').update(key).digest('hex').slice(0, 40)
    return `hazelford/claims/${this._options.service}/${digest}`
  }

  private _tokenOf (value: string): string { return (JSON.parse(value) as ClaimRecord).token }

  /** Adds the answer to our record, for as long as it takes. */
  private async _update (path: string, token: string, answer: KeptAnswer): Promise<void> {
    const { kv } = this._options
    await this._untilDone(async () => {
      const read = await kv.read(path)
      if (read.isErr()) return false
      const { entry } = read.value
      if (entry === undefined || this._tokenOf(entry.value) !== token) return true
      const record = { ...JSON.parse(entry.value) as ClaimRecord, answer }
      const written = await kv.cas(path, entry.modifyIndex, JSON.stringify(record))
      return written.isOk() && written.value === 'stored'
    })
  }

  /** Removes our record of a call that did not run. */
  private _clean (path: string, token: string): void {
    const { kv, log } = this._options
    let absences = 0
    this._untilDone(async () => {
      const read = await kv.read(path)
      if (read.isErr()) return false
      const { entry } = read.value
      // The lost write may still be on its way. Only an absence that lasts counts.
      if (entry === undefined) return ++absences >= absencesToTrust
      if (this._tokenOf(entry.value) !== token) return true
      // The removal names the index it read: one that arrives late, after another
      // sidecar claimed the key, must not remove that claim.
      await kv.remove(path, entry.modifyIndex)
      return false
    }).catch((error: Error) => log.warn('claims', 'cleaning failed.', { error: error.message }))
  }

  private async _untilDone (step: () => Promise<boolean>): Promise<void> {
    const { clock, stopped } = this._options
    while (!stopped() && !await step()) await sleep(clock, settleRetryMs)
  }
}

/**
 * Claims on idempotency keys: a call with an idempotency key runs once, whichever sidecar receives it.
 */
import { createHash } from 'node:crypto'
import { type Clock, type EventRing, type Log, newId, type Ms, sleep } from '@hazelford/core'
import type { AnswerHeader } from '@hazelford/engine'
import { type KvClient, type KvRead, casWithReadBack } from '@hazelford/consul'

/** An answer stored for repeats of its call. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: readonly AnswerHeader[]
  /** Base64; undefined when the body was too large to store. */
  readonly body: string | undefined
}

/** Record in the key-value service for one idempotency key. */
interface ClaimRecord {
  /** Identifies the attempt that holds the key. */
  readonly token: string
  readonly sidecar: string
  /** Incarnation of the sidecar that holds the key: after a restart a sidecar can't know which calls it had begun. */
  readonly incarnation: string
  /** Digest of method, path and body, so that a key can't be reused for a different call. */
  readonly digest: string
  readonly at: Ms
  readonly answer?: StoredAnswer
}

/** Outcome of a claim. */
export type ClaimOutcome =
  /** This sidecar holds the key: the call may run, once. */
  | { readonly kind: 'taken', readonly claim: Claim }
  | { readonly kind: 'answered', readonly answer: StoredAnswer }
  /** The first attempt is running at this sidecar; `answer` resolves when it ends. */
  | { readonly kind: 'running-here', readonly answer: Promise<StoredAnswer | undefined> }
  | { readonly kind: 'running-elsewhere', readonly sidecar: string }
  /** The first attempt began and its outcome is unknown. */
  | { readonly kind: 'outcome-unknown' }
  | { readonly kind: 'other-call' }
  | { readonly kind: 'unavailable', readonly message: string }

/** A key that this sidecar holds. */
export interface Claim {
  readonly key: string
  readonly token: string
}

/** Dependencies of {@link Claims}. */
export interface ClaimsOptions {
  readonly kv: KvClient
  readonly clock: Clock
  readonly log: Log
  readonly events: EventRing
  readonly service: string
  readonly sidecar: string
  readonly incarnation: string
  /** Whether the sidecar has stopped; from then on no record is written or removed. */
  readonly stopped: () => boolean
}

interface LocalClaim {
  readonly token: string
  readonly digest: string
  readonly answered: Promise<StoredAnswer | undefined>
  readonly settle: (answer: StoredAnswer | undefined) => void
}

const keepInMemoryMs: Ms = 10 * 60_000
const updateRetryMs: Ms = 500
const recordWaitMs: Ms = 300
const absencesToConfirm = 4
const keptBodyLimit = 64 * 1024
/** How long the call of another sidecar's claim counts as running before its outcome counts as unknown. */
const runningElsewhereMs: Ms = 60_000

/**
 * Builds the answer to store for repeats; a body over 64 KiB is left out.
 *
 * @param status - HTTP status
 * @param headers - headers as forwarded to the caller
 * @param chunks - the body
 */
export function createStoredAnswer (status: number, headers: readonly AnswerHeader[], chunks: readonly Uint8Array[]): StoredAnswer {
  const body = Buffer.concat(chunks)
  return { status, headers, body: body.length > keptBodyLimit ? undefined : body.toString('base64') }
}

function createLocalClaim (token: string, digest: string): LocalClaim {
  let settle: LocalClaim['settle'] = () => {}
  const answered = new Promise<StoredAnswer | undefined>(resolve => { settle = resolve })
  return { token, digest, answered, settle }
}

/** Claims, records and releases idempotency keys for one sidecar. */
export class Claims {
  private readonly _localClaims = new Map<string, LocalClaim>()

  constructor (private readonly _options: ClaimsOptions) {}

  /**
   * Claims a key before the call is forwarded to the upstream.
   *
   * The record is created only if absent. Of all sidecars that receive the same key, even on
   * both sides of a network partition or after a pause, exactly one may run the call.
   *
   * @param key - the caller's Idempotency-Key
   * @param digest - digest of the call
   */
  async claim (key: string, digest: string): Promise<ClaimOutcome> {
    const existing = this._localClaims.get(key)
    if (existing !== undefined) {
      if (existing.digest !== digest) return { kind: 'other-call' }
      return { kind: 'running-here', answer: existing.answered }
    }
    const localClaim = createLocalClaim(newId('claim'), digest)
    this._localClaims.set(key, localClaim)
    const outcome = await this._create(key, localClaim)
    if (outcome.kind !== 'taken') this._forget(key, localClaim)
    return outcome
  }

  private async _create (key: string, localClaim: LocalClaim): Promise<ClaimOutcome> {
    const { kv, clock, events, sidecar, incarnation } = this._options
    const record: ClaimRecord = { token: localClaim.token, sidecar, incarnation, digest: localClaim.digest, at: clock.wall() }
    const path = this._path(key)
    const written = await casWithReadBack(kv, path, 0, JSON.stringify(record), value => this._tokenOf(value) === localClaim.token)
    switch (written.kind) {
      case 'stored':
        events.add('claim', { note: `key taken for ${this._options.service}` })
        return { kind: 'taken', claim: { key, token: localClaim.token } }
      case 'conflict':
        return this._evaluateExisting(written.current, localClaim.digest)
      case 'not-applied':
        return { kind: 'unavailable', message: written.message }
      case 'unknown':
        // The record may exist although the call will not run. If it stayed, every repeat would
        // be answered that a first attempt is running, and the call would never run.
        this._removeRecord(path, localClaim.token)
        return { kind: 'unavailable', message: written.message }
    }
  }

  private _evaluateExisting (current: KvRead, digest: string): ClaimOutcome {
    if (current.entry === undefined) return { kind: 'unavailable', message: 'The claim could not be read.' }
    const record = JSON.parse(current.entry.value) as ClaimRecord
    const { sidecar, incarnation, clock } = this._options
    if (record.digest !== digest) return { kind: 'other-call' }
    if (record.answer !== undefined) return { kind: 'answered', answer: record.answer }
    const isEarlierIncarnation = record.sidecar === sidecar && record.incarnation !== incarnation
    const isStale = clock.wall() - record.at > runningElsewhereMs
    return isEarlierIncarnation || isStale ? { kind: 'outcome-unknown' } : { kind: 'running-elsewhere', sidecar: record.sidecar }
  }

  /**
   * Records the answer, so that a repeat through any sidecar receives it.
   *
   * @param claim - from {@link Claims.claim}
   * @param answer - answer of the first attempt
   * @returns resolves when the answer is recorded, or after 300 ms when the key-value service does not answer
   */
  async settle (claim: Claim, answer: StoredAnswer): Promise<void> {
    const { clock } = this._options
    const localClaim = this._localClaims.get(claim.key)
    localClaim?.settle(answer)
    clock.after(keepInMemoryMs, () => { if (localClaim !== undefined) this._forget(claim.key, localClaim) })
    const recorded = this._addAnswer(this._path(claim.key), claim.token, answer)
    const waited = new Promise<void>(resolve => { clock.after(recordWaitMs, resolve) })
    await Promise.race([recorded, waited])
  }

  /**
   * Marks a call that began and whose outcome is unknown. The record stays, so that no
   * repeat runs the call again.
   */
  markOutcomeUnknown (claim: Claim): void {
    const localClaim = this._localClaims.get(claim.key)
    if (localClaim === undefined) return
    localClaim.settle(undefined)
    this._options.clock.after(keepInMemoryMs, () => this._forget(claim.key, localClaim))
  }

  /** Releases a key: the call did not run, so a repeat may run it. */
  release (claim: Claim): void {
    const localClaim = this._localClaims.get(claim.key)
    if (localClaim !== undefined) this._forget(claim.key, localClaim)
    this._removeRecord(this._path(claim.key), claim.token)
  }

  private _forget (key: string, localClaim: LocalClaim): void {
    localClaim.settle(undefined)
    if (this._localClaims.get(key) === localClaim) this._localClaims.delete(key)
  }

  private _path (key: string): string {
    const digest = createHash('sha256').update(key).digest('hex').slice(0, 40)
    return `hazelford/claims/${this._options.service}/${digest}`
  }

  private _tokenOf (value: string): string { return (JSON.parse(value) as ClaimRecord).token }

  /** Adds the answer to this sidecar's record and retries until that succeeds. */
  private async _addAnswer (path: string, token: string, answer: StoredAnswer): Promise<void> {
    const { kv } = this._options
    await this._retryUntilDone(async () => {
      const read = await kv.read(path)
      if (read.isErr()) return false
      const { entry } = read.value
      if (entry === undefined || this._tokenOf(entry.value) !== token) return true
      const record = { ...JSON.parse(entry.value) as ClaimRecord, answer }
      const written = await kv.cas(path, entry.modifyIndex, JSON.stringify(record))
      return written.isOk() && written.value === 'stored'
    })
  }

  /** Removes this sidecar's record of a call that did not run. */
  private _removeRecord (path: string, token: string): void {
    const { kv, log } = this._options
    let absences = 0
    this._retryUntilDone(async () => {
      const read = await kv.read(path)
      if (read.isErr()) return false
      const { entry } = read.value
      // A write whose reply was lost may still take effect. The record counts as absent only
      // after four reads in which it was missing.
      if (entry === undefined) return ++absences >= absencesToConfirm
      if (this._tokenOf(entry.value) !== token) return true
      // The removal is conditional on the index that was read: a removal that takes effect
      // late, after another sidecar claimed the key, must not remove that claim.
      await kv.remove(path, entry.modifyIndex)
      return false
    }).catch((error: Error) => log.warn('claims', 'claim record was not removed.', { error: error.message }))
  }

  private async _retryUntilDone (step: () => Promise<boolean>): Promise<void> {
    const { clock, stopped } = this._options
    while (!stopped() && !await step()) await sleep(clock, updateRetryMs)
  }
}

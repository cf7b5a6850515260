/**
 * Holds requests back that end the upstreams which run them, together with the other entries.
 */
import { type CancelTimer, type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import { type QuarantineLimits, rendezvousOrder, RequestQuarantine } from '@hazelford/decisions'
import type { Store } from '@hazelford/ports'
import { TerminationDetector, type InterruptedRequest } from './termination-detector.js'
import type { ProbeOutcome } from './connection-probe.js'
import type { PeerClient } from './peer-client.js'
import type { AnsweredQuery, TerminationsMessage, QuarantinedMessage } from './peer-messages.js'
import { systemKeyPrefix, type PeerAddress } from './peer-table.js'
import type { Upstream } from './upstream.js'

/** Keys of requests that are held back. */
export const quarantinePrefix = `${systemKeyPrefix}quarantine/`

/** What the desk needs of its entry. */
export interface QuarantineCoordinatorOptions {
  readonly node: string
  readonly clock: Clock
  readonly log: Log
  readonly limits: QuarantineLimits
  readonly store: Store
  readonly client: Pick<PeerClient, 'reportTerminations' | 'notifyQuarantined' | 'queryAnswered'>
  /** All entries that live, this one included. */
  readonly entries: () => readonly PeerAddress[]
  readonly probe: (upstream: Upstream) => Promise<ProbeOutcome>
  /** A request is held back from now on. */
  readonly held: (request: string) => void
  /** Numbers below 1. */
  readonly random?: () => number
}

/**
 * Entries that count the ends under one request. Each hears of all ends, wherever the request was sent. Three, so that one
 * may be gone and one just started; told to every entry, a rack of engines that ends would cost some 70 entries as many
 * calls each.
 */
const counters = 3
/** Ends that show within this time go out in one message to each entry. */
const gatherEnds: Ms = 20
/** A message that gets no answer is sent this often in all; a lost packet is repeated by the kernel after a second. */
const sendAttempts = 3
const sendPause: Ms = 300
/**
 * Pause before an entry that was told of a held request looks whether it stands in the store. Whoever found out writes it at
 * once; the others write what that one could not.
 */
const checkBase: Ms = 1_500
const checkSpread: Ms = 1_500

/**
 * One entry's part in the quarantine.
 *
 * A request may come to any entry, so an entry alone sees too few of the ends under it. Ends are told to those entries that
 * count them. Whichever counts the third asks all whether they have answered the request lately; if none has, it tells all to
 * hold it back, and writes it into the store, under a lease, for entries that start later or were not reached.
 */
export class QuarantineCoordinator {
  private readonly _quarantine: RequestQuarantine
  private readonly _detector: TerminationDetector
  /** Requests that stand in the store, and since when. */
  private readonly _storedAt = new Map<string, Ms>()
  /** Ends to tell, by the entry that counts them. */
  private _untold = new Map<string, TerminationsMessage['ends'][number][]>()
  /** Requests of which others are being asked. */
  private readonly _asking = new Set<string>()
  private _checking: CancelTimer | undefined
  private _stopped = false

  constructor (private readonly _options: QuarantineCoordinatorOptions) {
    const { clock, log, probe, limits } = _options
    this._quarantine = new RequestQuarantine(limits)
    this._detector = new TerminationDetector({ clock, log, probe, ended: (upstream, lost) => this._ended(upstream, lost) })
  }

  get holdTime (): Ms { return this._quarantine.holdTime }

  /** Requests held back now. */
  get held (): readonly string[] { return [...this._quarantine.held(this._now).keys()] }

  limit (limits: QuarantineLimits): void { this._quarantine.limit(limits) }

  stop (): void {
    this._stopped = true
    this._checking?.()
  }

  /** Notes a request whose answer was lost at an upstream; `broke`: its connection has ended. */
  lost (upstream: Upstream, request: string, broke: boolean): void { this._detector.lost(upstream, request, broke) }

  /** Notes a request that was answered whole. */
  answered (request: string): void { this._quarantine.recordAnswered(request, this._now) }

  /** The record of an upstream is gone, or names a later start. */
  recordGone (upstream: Upstream): void { this._detector.recordGone(upstream) }

  /**
   * Whether a request is held back.
   *
   * @param request - gives its fingerprint, which costs 5 to 20 µs; asked for only if any request is held
   */
  holds (request: () => string): boolean {
    return this._quarantine.held(this._now).size > 0 && this._quarantine.holds(request(), this._now)
  }

  /** Another entry has seen ends. */
  receiveTerminations ({ ends }: TerminationsMessage): void {
    for (const { request, upstream, age } of ends) this._count(request, upstream, this._now - age)
  }

  /** Which requests were answered here lately. */
  recentlyAnswered ({ requests }: AnsweredQuery): readonly string[] {
    return requests.filter(request => this._quarantine.wasAnsweredRecently(request, this._now))
  }

  /** Another entry, or the one that this entry follows, holds requests back. */
  receiveQuarantined ({ requests }: QuarantinedMessage): void {
    for (const request of requests) this._hold(request)
  }

  /** A key below {@link quarantinePrefix} stands in the store. */
  stored (key: string): void {
    const request = key.slice(quarantinePrefix.length)
    this._storedAt.set(request, this._now)
    this._hold(request)
  }

  private get _now (): Ms { return this._options.clock.now() }

  private get _others (): readonly PeerAddress[] { return this._options.entries().filter(({ node }) => node !== this._options.node) }

  private _ended (upstream: Upstream, lost: readonly InterruptedRequest[]): void {
    const entries = this._options.entries().map(({ node }) => node)
    for (const { request, at } of lost) {
      this._count(request, upstream.id, at)
      for (const node of rendezvousOrder(request, entries).slice(0, counters)) this._tell(node, request, upstream.id, at)
    }
  }

  private _tell (node: string, request: string, upstream: string, at: Ms): void {
    if (node === this._options.node) return
    if (this._untold.size === 0) this._options.clock.after(gatherEnds, () => this._tellEnds())
    const ends = this._untold.get(node) ?? []
    this._untold.set(node, ends)
    ends.push({ request, upstream, age: this._now - at })
  }

  private _tellEnds (): void {
    const untold = this._untold
    this._untold = new Map()
    for (const peer of this._others) {
      const ends = untold.get(peer.node)
      if (ends !== undefined) this._send(peer, () => this._options.client.reportTerminations(peer, { ends }))
    }
  }

  private _send (peer: PeerAddress, call: () => Promise<void>): void {
    this._attempt(call).catch((error: Error) => {
      this._options.log.info('peers', 'not told of ended upstreams.', { peer: peer.node, cause: error.message })
    })
  }

  private async _attempt (call: () => Promise<void>): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      try {
        return await call()
      } catch (error) {
        if (attempt === sendAttempts || this._stopped) throw error
      }
      await sleep(this._options.clock, sendPause)
    }
  }

  private _count (request: string, upstream: string, at: Ms): void {
    if (!this._quarantine.recordTermination(request, { upstream, at }, this._now) || this._asking.has(request)) return
    this._asking.add(request)
    this._judge(request).catch((error: Error) => {
      this._options.log.warn('request', 'not judged.', { fingerprint: request, error: error.message })
    }).finally(() => this._asking.delete(request))
  }

  /**
   * Holds a request back, unless another entry has answered it lately.
   *
   * An entry that has just started has answered nothing. By itself it would blame a check that all callers send for three
   * upstreams that ended of something else, and every entry would refuse that check for minutes.
   */
  private async _judge (request: string): Promise<void> {
    const { client, log } = this._options
    const answers = await Promise.all(this._others.map(peer => client.queryAnswered(peer, { requests: [request] }).catch((error: Error) => {
      log.info('peers', 'not asked for answers.', { peer: peer.node, cause: error.message })
      return []
    })))
    if (answers.flat().includes(request)) return this._quarantine.recordAnswered(request, this._now)
    if (!this._quarantine.hold(request, this._now)) return
    log.warn('request', 'held back, upstreams ended under it.', { fingerprint: request, upstreams: this._quarantine.terminatedUpstreams(request), holdTime: this._quarantine.holdTime })
    this._options.held(request)
    for (const peer of this._others) this._send(peer, () => this._options.client.notifyQuarantined(peer, { requests: [request] }))
    this._store(request)
    this._checkLater()
  }

  private _hold (request: string): void {
    if (!this._quarantine.hold(request, this._now)) return
    this._options.log.info('request', 'held back, as others found.', { fingerprint: request })
    this._options.held(request)
    this._checkLater()
  }

  private _checkLater (): void {
    const { clock, random = Math.random } = this._options
    this._checking ??= clock.after(checkBase + random() * checkSpread, () => {
      this._checking = undefined
      this._check()
    })
  }

  /** Writes what does not stand in the store since it is held. */
  private _check (): void {
    const held = this._quarantine.held(this._now)
    for (const request of this._storedAt.keys()) if (!held.has(request)) this._storedAt.delete(request)
    for (const [request, until] of held) {
      const heldSince = until - this.holdTime
      if ((this._storedAt.get(request) ?? -Infinity) < heldSince) this._store(request)
    }
    if (held.size > 0 && !this._stopped) this._checkLater()
  }

  private _store (request: string): void {
    this._write(request).catch((error: Error) => this._options.log.warn('store', 'held request not stored.', { fingerprint: request, error: error.message }))
  }

  private async _write (request: string): Promise<void> {
    const { store, node, log } = this._options
    const granted = await store.grantLease(this.holdTime)
    if (granted.isErr()) return log.info('store', 'held request not stored.', { fingerprint: request, cause: granted.error.message })
    const value = JSON.stringify({ by: node, upstreams: this._quarantine.terminatedUpstreams(request) })
    const outcome = await store.commit({ conditions: [], puts: [{ key: `${quarantinePrefix}${request}`, value, lease: granted.value.lease }], removals: [] })
    if (outcome.isErr()) return log.info('store', 'held request not stored.', { fingerprint: request, cause: outcome.error.message })
    if (outcome.value.kind === 'stored') this._storedAt.set(request, this._now)
  }
}

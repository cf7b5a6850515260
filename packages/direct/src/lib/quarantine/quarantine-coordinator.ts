/**
 * Quarantines requests that make the upstreams running them terminate, together with the other entries.
 */
import { type CancelTimer, type Clock, type Log, type Ms } from '@hazelford/core'
import { type PartEvidence, type QuarantineCause, type QuarantineLimits, readSuspectKey, rendezvousOrder, RequestQuarantine, type Suspect, suspectKey } from '@hazelford/decisions'
import type { Store } from '@hazelford/ports'
import { PartCoordinator } from './part-coordinator.js'
import { TerminationDetector, type InterruptedRequest, type RequestSuspects } from './termination-detector.js'
import type { ProbeOutcome } from '../peers/connection-probe.js'
import type { PeerClient } from '../peers/peer-client.js'
import { systemKeyPrefix, type PeerAddress } from '../peers/peer-table.js'
import { repeatCall } from '../peers/repeat-call.js'
import type { AnsweredQuery, AnsweredReply, PartTerminationReport, QuarantinedMessage, TerminationsMessage } from './quarantine-messages.js'
import type { Upstream } from '../placing/upstream.js'

/** Prefix of the keys of quarantined requests in the store. */
export const quarantinePrefix = `${systemKeyPrefix}quarantine/`

/** What the coordinator needs of its entry. */
export interface QuarantineCoordinatorOptions {
  readonly node: string
  readonly clock: Clock
  readonly log: Log
  readonly limits: QuarantineLimits
  readonly store: Store
  readonly client: Pick<PeerClient, 'reportTerminations' | 'notifyQuarantined' | 'queryAnswered'>
  /** All entries that are running, this one included. */
  readonly entries: () => readonly PeerAddress[]
  readonly probe: (upstream: Upstream) => Promise<ProbeOutcome>
  /** Called when a request or a prompt part becomes quarantined. */
  readonly quarantined: (suspect: Suspect) => void
  /** Random numbers from 0 to below 1. */
  readonly random?: () => number
}

/**
 * Number of entries that count the terminations of upstreams while running one request. Each of them receives all these
 * terminations, from whichever entry sent the request. Three, so that one may be gone and one just started; if every
 * entry were notified, the termination of a rack of engines would cost some 70 entries as many calls each.
 */
const countersPerRequest = 3
/** Time within which the termination of an upstream that broke off answers shows: its address is probed at once. */
const terminationShows: Ms = 1_000
/** Pause between two requests that are admitted with one suspect on probation; an answer or a termination ends the probation before. */
const probeInterval: Ms = 10_000
/** Terminations found within this time are sent in one message per entry. */
const batchDelay: Ms = 20
/** Number of times that an unanswered message is sent; the kernel retransmits a lost packet only after a second. */
const sendAttempts = 3
const sendPause: Ms = 300
/**
 * Pause before an entry checks that the key of a quarantined request is in the store. The entry that decided on the
 * quarantine writes the key at once; the others write it if that entry could not. Spread, so that not all write it.
 */
const checkBase: Ms = 1_500
const checkSpread: Ms = 1_500

/** Terminations to be reported to one entry. */
interface UnreportedTerminations { readonly ends: TerminationsMessage['ends'][number][], readonly parts: PartTerminationReport[] }

/** Limits of prompt parts: one termination more than for a request, since harmless requests have parts in common. */
function partLimits ({ after, holdTime }: QuarantineLimits): QuarantineLimits { return { after: after + 1, holdTime } }

/** Fields that name a suspect in log lines. */
function logFields (key: string): object {
  const suspect = readSuspectKey(key)
  return suspect.kind === 'part' ? { part: suspect.id } : { fingerprint: suspect.fingerprint }
}

/**
 * One entry's part in the quarantine.
 *
 * A request may arrive at any entry, so one entry alone sees too few of the terminations that the request causes. They
 * are reported to the entries that count them for this request. An entry whose count reaches `quarantine_after` (three
 * by default) asks all entries whether they have answered the request lately. If none has, it notifies all entries to
 * quarantine the request, and writes the request's fingerprint into the store, under a lease, for entries that start
 * later or were not reached. Parts of prompts are quarantined in the same way; {@link PartCoordinator} finds them.
 */
export class QuarantineCoordinator {
  private readonly _quarantine: RequestQuarantine
  private readonly _detector: TerminationDetector
  private readonly _parts: PartCoordinator
  /** Quarantined requests whose keys are in the store, and since when. */
  private readonly _storedAt = new Map<string, Ms>()
  /** Terminations to be reported, by the entry that counts them. */
  private _unreported = new Map<string, UnreportedTerminations>()
  /** Requests whose quarantine is being decided, while the other entries are queried. */
  private readonly _deciding = new Set<string>()
  /** When this entry last admitted a request with a suspect that is on probation. */
  private readonly _probedAt = new Map<string, Ms>()
  private _cancelCheck: CancelTimer | undefined
  private _stopped = false

  constructor (private readonly _options: QuarantineCoordinatorOptions) {
    const { clock, log, probe, limits } = _options
    this._quarantine = new RequestQuarantine(limits)
    this._parts = new PartCoordinator({
      ..._options,
      limits: partLimits(limits),
      isQuarantined: id => this._quarantine.isQuarantined(suspectKey({ kind: 'part', id }), this._now),
      report: (to, report) => this._unreportedFor(to).parts.push(report),
      found: evidence => this._quarantinePart(evidence)
    })
    this._detector = new TerminationDetector({ clock, log, probe, terminated: (upstream, lost) => this._handleTermination(upstream, lost) })
  }

  get holdTime (): Ms { return this._quarantine.holdTime }

  /** Requests that are quarantined now. */
  get quarantinedRequests (): readonly string[] { return [...this._quarantine.quarantinedRequests(this._now).keys()] }

  limit (limits: QuarantineLimits): void {
    this._quarantine.limit(limits)
    this._parts.limit(partLimits(limits))
  }

  stop (): void {
    this._stopped = true
    this._cancelCheck?.()
  }

  /** Records a request whose answer was lost at an upstream; `broke`: its connection has ended. */
  recordLostAnswer (upstream: Upstream, suspects: RequestSuspects, broke: boolean): void { this._detector.recordLostAnswer(upstream, suspects, broke) }

  /** Records that an answer to a request with some prompt parts began at a time, and that its upstream went on running. */
  recordPartsAnswered (parts: readonly string[], since: Ms): void {
    this._release(parts.map(id => suspectKey({ kind: 'part', id })))
    this._parts.recordAnswered(parts, since)
  }

  /** Releases those of some answered suspects that are on probation, at all entries. */
  private _release (keys: readonly string[]): void {
    const released = keys.filter(key => this._quarantine.isOnProbation(key, this._now))
    for (const key of released) {
      this._quarantine.release(key)
      this._options.log.info('request', 'released, a request on probation was answered.', logFields(key))
    }
    if (released.length === 0) return
    for (const peer of this._peers) this._send(peer, () => this._options.client.notifyQuarantined(peer, { requests: [], released }))
  }

  /**
   * Records a request that was answered.
   *
   * @param since - when its answer began
   * @param unframedFrom - upstream of an answer that only its connection ended: it counts once the upstream is known to have
   * gone on running
   */
  recordAnswered (request: string, since: Ms, unframedFrom?: Upstream): void {
    if (unframedFrom === undefined) return this._clear(request, since)
    this._options.clock.after(terminationShows, () => {
      if (!this._detector.hasTerminatedSince(unframedFrom, since)) this._clear(request, since)
    })
  }

  private _clear (request: string, since: Ms): void {
    this._release([request])
    this._quarantine.recordAnswered(request, since)
  }

  /** The record of an upstream was removed, or now has a later start time. */
  recordGone (upstream: Upstream): void { this._detector.recordGone(upstream) }

  /**
   * Why a request is refused; undefined when neither it nor a part of its prompt is quarantined.
   *
   * @param parts - parts of its prompt that other requests may have in common with it
   * @param request - computes its fingerprint, which takes 5 to 20 µs; called only if anything is quarantined
   */
  causeOfRefusal (parts: readonly string[], request: () => string): QuarantineCause | undefined {
    if (!this._quarantine.hasSuspects) return undefined
    if (parts.some(id => this._isRefused(suspectKey({ kind: 'part', id })))) return 'part-quarantined'
    return this._isRefused(request()) ? 'quarantined' : undefined
  }

  /** Whether requests with a suspect are refused here. On probation one entry admits them, one at a time. */
  private _isRefused (key: string): boolean {
    if (this._quarantine.isQuarantined(key, this._now)) return true
    if (!this._quarantine.isOnProbation(key, this._now)) return false
    const [prober] = rendezvousOrder(key, this._options.entries().map(({ node }) => node))
    if (prober !== this._options.node || this._now - (this._probedAt.get(key) ?? -Infinity) < probeInterval) return true
    for (const [probed, at] of this._probedAt) if (this._now - at >= probeInterval) this._probedAt.delete(probed)
    this._probedAt.set(key, this._now)
    this._options.log.info('request', 'admitted on probation.', logFields(key))
    return false
  }

  /** Counts terminations that another entry reports. */
  receiveTerminations ({ ends, parts }: TerminationsMessage): void {
    for (const { request, upstream, age } of ends) this._countTermination(request, upstream, this._now - age)
    this._parts.receive(parts ?? [])
  }

  /** Returns those of some requests and prompt parts that this entry has answered lately. */
  recentlyAnswered ({ requests, parts }: AnsweredQuery): AnsweredReply {
    const now = this._now
    const ages = requests.flatMap(request => {
      const at = this._quarantine.answeredAt(request, now)
      return at === undefined ? [] : [[request, now - at] as const]
    })
    return { answered: ages.map(([request]) => request), ages, parts: this._parts.answered(parts ?? []) }
  }

  /** Quarantines requests and prompt parts that another entry, or the peer whose state this entry follows, has quarantined. */
  receiveQuarantined ({ requests, terminated, released }: QuarantinedMessage): void {
    for (const key of released ?? []) this._quarantine.release(key)
    const ages = new Map(terminated)
    for (const key of requests) this._quarantineKey(key, ages.has(key) ? this._now - ages.get(key)! : undefined)
  }

  /** A key below {@link quarantinePrefix} is in the store. */
  receiveStoredKey (key: string): void {
    const suspect = key.slice(quarantinePrefix.length)
    this._storedAt.set(suspect, this._now)
    this._quarantineKey(suspect)
  }

  /** Handles that the store came back from a copy: keys that were written since the copy are gone, and are written again. */
  storeReturned (): void {
    this._storedAt.clear()
    if (this._quarantine.quarantinedRequests(this._now).size > 0) this._checkLater()
  }

  private get _now (): Ms { return this._options.clock.now() }

  private get _peers (): readonly PeerAddress[] { return this._options.entries().filter(({ node }) => node !== this._options.node) }

  private _handleTermination (upstream: Upstream, lost: readonly InterruptedRequest[]): void {
    this._parts.reportTermination(upstream.id, lost)
    const entries = this._options.entries().map(({ node }) => node)
    for (const { parts, at } of lost) {
      for (const id of parts) this._countOnProbation(suspectKey({ kind: 'part', id }), upstream, at)
    }
    for (const { request, at } of lost) {
      this._countTermination(request, upstream.id, at)
      for (const node of rendezvousOrder(request, entries).slice(0, countersPerRequest)) this._queueReport(node, request, upstream.id, at)
    }
  }

  /** A part on probation is quarantined again after one termination. */
  private _countOnProbation (key: string, upstream: Upstream, at: Ms): void {
    if (this._quarantine.isOnProbation(key, this._now)) this._countTermination(key, upstream.id, at)
  }

  private _queueReport (node: string, request: string, upstream: string, at: Ms): void {
    if (node !== this._options.node) this._unreportedFor(node).ends.push({ request, upstream, age: this._now - at })
  }

  /** The message to an entry that is sent next. */
  private _unreportedFor (node: string): UnreportedTerminations {
    if (this._unreported.size === 0) this._options.clock.after(batchDelay, () => this._sendReports())
    const msg = this._unreported.get(node) ?? { ends: [], parts: [] }
    this._unreported.set(node, msg)
    return msg
  }

  private _sendReports (): void {
    const unreported = this._unreported
    this._unreported = new Map()
    for (const peer of this._peers) {
      const msg = unreported.get(peer.node)
      if (msg !== undefined) this._send(peer, () => this._options.client.reportTerminations(peer, msg))
    }
  }

  private _send (peer: PeerAddress, call: () => Promise<void>): void {
    this._attempt(call).catch((error: Error) => {
      this._options.log.info('peers', 'quarantine message not delivered.', { peer: peer.node, cause: error.message })
    })
  }

  private _attempt (call: () => Promise<void>): Promise<void> {
    return repeatCall(call, { clock: this._options.clock, attempts: sendAttempts, pause: sendPause, stopped: () => this._stopped })
  }

  private _countTermination (request: string, upstream: string, at: Ms): void {
    if (!this._quarantine.recordTermination(request, { upstream, at }, this._now) || this._deciding.has(request)) return
    this._deciding.add(request)
    this._decide(request).catch((error: Error) => {
      this._options.log.warn('request', 'quarantine decision failed.', { ...logFields(request), error: error.message })
    }).finally(() => this._deciding.delete(request))
  }

  /**
   * Quarantines a request, unless another entry has answered it lately.
   *
   * An entry that has just started has answered no requests. On its own it would blame a health check that all callers
   * send for three upstreams that terminated for another reason, and every entry would refuse that check for minutes.
   */
  private async _decide (request: string): Promise<void> {
    const { client, log } = this._options
    const answers: readonly AnsweredReply[] = await Promise.all(this._peers.map(peer => client.queryAnswered(peer, { requests: [request] }).catch((error: Error) => {
      log.info('peers', 'no answer to query for answered requests.', { peer: peer.node, cause: error.message })
      return { answered: [] }
    })))
    for (const { answered, ages } of answers) {
      // An entry of a version that does not say when it has answered counts as having answered just now.
      for (const [key, age] of ages ?? answered.map(known => [known, 0] as const)) this._quarantine.recordAnswered(key, this._now - age)
    }
    const since = this._quarantine.terminatedSince(request)
    if (!this._quarantine.isDue(request, this._now) || !this._quarantine.quarantine(request, this._now, since)) return
    log.warn('request', 'quarantined, upstreams terminated while running it.', { ...logFields(request), upstreams: this._quarantine.terminatedUpstreams(request), holdTime: this._quarantine.holdTime })
    this._putInForce(request, since)
  }

  private _quarantinePart ({ part, ...evidence }: PartEvidence): void {
    const key = suspectKey({ kind: 'part', id: part })
    if (!this._quarantine.quarantine(key, this._now)) return
    this._options.log.warn('request', 'prompt part quarantined, upstreams terminated while running requests with it.', { part, ...evidence, holdTime: this._quarantine.holdTime })
    this._putInForce(key, evidence.since)
  }

  /** Puts a quarantine that this entry has decided on in force at all entries. */
  private _putInForce (key: string, terminatedSince: Ms | undefined): void {
    this._options.quarantined(readSuspectKey(key))
    const terminated = terminatedSince === undefined ? [] : [[key, this._now - terminatedSince] as const]
    for (const peer of this._peers) this._send(peer, () => this._options.client.notifyQuarantined(peer, { requests: [key], terminated }))
    this._store(key)
    this._checkLater()
  }

  private _quarantineKey (key: string, terminatedSince?: Ms): void {
    if (!this._quarantine.quarantine(key, this._now, terminatedSince)) return
    this._options.log.info('request', 'quarantined, as decided by another entry.', logFields(key))
    this._options.quarantined(readSuspectKey(key))
    this._checkLater()
  }

  private _checkLater (): void {
    const { clock, random = Math.random } = this._options
    this._cancelCheck ??= clock.after(checkBase + random() * checkSpread, () => {
      this._cancelCheck = undefined
      this._check()
    })
  }

  /** Writes the quarantined requests whose keys were not written since the quarantine began. */
  private _check (): void {
    const held = this._quarantine.quarantinedRequests(this._now)
    for (const request of this._storedAt.keys()) if (!held.has(request)) this._storedAt.delete(request)
    for (const [request, until] of held) {
      const quarantinedSince = until - this.holdTime
      if ((this._storedAt.get(request) ?? -Infinity) < quarantinedSince) this._store(request)
    }
    if (held.size > 0 && !this._stopped) this._checkLater()
  }

  private _store (key: string): void {
    this._write(key).catch((error: Error) => this._options.log.warn('store', 'quarantine not stored.', { ...logFields(key), error: error.message }))
  }

  private async _write (key: string): Promise<void> {
    const { store, node, log } = this._options
    const granted = await store.grantLease(this.holdTime)
    if (granted.isErr()) return log.info('store', 'quarantine not stored.', { ...logFields(key), cause: granted.error.message })
    const value = JSON.stringify({ by: node, upstreams: this._quarantine.terminatedUpstreams(key) })
    const outcome = await store.commit({ conditions: [], puts: [{ key: `${quarantinePrefix}${key}`, value, lease: granted.value.lease }], removals: [] })
    if (outcome.isErr()) return log.info('store', 'quarantine not stored.', { ...logFields(key), cause: outcome.error.message })
    if (outcome.value.kind === 'stored') this._storedAt.set(key, this._now)
  }
}

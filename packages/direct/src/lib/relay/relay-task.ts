/**
 * Drives one request: performs the effects that its flow decides on.
 */
import { assertNever, type CancelTimer, type Clock, type Log, type Ms, Task } from '@hazelford/core'
import { type RequestedAdapter, type ExchangeOutcome, type LateCause, type MeasuredPace, mayHaveCausedTermination, type OverdueTime, provesPartHarmless, type QuarantineCause, type RelayEffect, type RelayFailure, relayFlow, type RelayMessage, requestedAdapterKey, type RetryCause, StreamPace } from '@hazelford/decisions'
import type { CallCodec, CallMetadata, Route, UpstreamNotice } from '@hazelford/ports'
import { afterReading } from '../after-reading.js'
import type { CallerAnswer } from './caller-answer.js'
import type { AnswerExcess, AnswerHead, Exchange, ExchangeRequest, ExchangeSink, WholeAnswer } from './exchange.js'
import type { ConnectionPool } from './connection-pool.js'
import type { Placement, PlacementQuery, PlacementWaits, SoftwareNeed } from '../placing/placer.js'
import { requestFingerprint } from './request-fingerprint.js'
import type { RequestSuspects } from '../quarantine/termination-detector.js'
import type { UnprovedEnd } from './unproved-end.js'
import type { Upstream } from '../placing/upstream.js'

/** A request that was read completely. */
export interface BufferedCall {
  readonly facts: CallMetadata
  readonly method: string
  readonly host: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly arrivedAt: Ms
  /** Whether callers need a key to send requests. */
  readonly byKey: boolean
  /** The organisation whose key was sent; undefined without one. */
  readonly organisation: string | undefined
  /** Priority; 0 is the most urgent. */
  readonly priority: number
  /** Ids of the parts of its prompt that other requests may have in common with it. */
  readonly sharedParts: readonly string[]
}

/** How a request ended, for logs and metrics. */
export type RelayEnd = 'delivered' | 'broken' | 'caller-gone' | RelayFailure

/** Why a caller got part of an answer, or none, and its connection was closed; `entry-fault`: an error within the entry. */
export type CutCause = RelayFailure | 'entry-fault'

/** Summary of a request at its end. */
export interface RelaySummary {
  readonly end: RelayEnd
  readonly sends: number
  /** Ms from the request's arrival to the first event of its stream. */
  readonly firstData: Ms | undefined
  /** Longest ms between two events. */
  readonly longestGap: Ms
  /** Whether it is certain that no upstream has begun to run the request. */
  readonly notRun: boolean
  /** When the upstream that answered began its answer, or was sent the request where that is not known. */
  readonly answeredSince: Ms
  /** The upstream of an answer that only its connection ended, so that it may have been cut short; undefined otherwise. */
  readonly unframedFrom: Upstream | undefined
}

/** An exchange as its request uses it. */
export type RelayExchange = Pick<Exchange, 'openedAt' | 'abandon' | 'ignore' | 'pause' | 'resume'>

/** An open request, for the log. */
export interface OpenRequest {
  readonly request: string
  /** Ms since its arrival. */
  readonly age: Ms
  readonly waitsFor: 'placement' | 'upstream'
  /** Upstreams that have it. */
  readonly upstreams: readonly string[]
  /** Whether a part of its answer was sent. */
  readonly begun: boolean
}

/** What a request needs of its entry. */
export interface RelayTaskOptions {
  readonly clock: Clock
  readonly log: Log
  /** Sends a request to the upstream of a connection pool. */
  readonly exchange: (pool: ConnectionPool, request: ExchangeRequest, sink: ExchangeSink) => RelayExchange
  readonly codec: CallCodec
  /** The adapter that it needs, in the version declared now. */
  readonly want: () => RequestedAdapter | undefined
  readonly place: (query: PlacementQuery) => Promise<Placement>
  /** The software at which its stream began, if its caller resumes it. */
  readonly software: SoftwareNeed
  /** Whether a connection to an upstream, opened at a time, leads to the incarnation in the upstream's record. */
  readonly verifyIncarnation: (upstream: Upstream, openedAt: Ms) => Promise<boolean>
  /** Called when its stream, which may be resumed, sends its first event or goes on at the software that began it. */
  readonly began: (software: string) => void
  /** When a plain read is overdue at an upstream, `waited` ms after its arrival; undefined when it is not sent to a second one. */
  readonly overdueTime: (waited: Ms) => OverdueTime | undefined
  /** Called when a read is overdue at an upstream; returns a function to be called when it ends there. */
  readonly overdue: (upstream: Upstream) => () => void
  /** Upstreams at which reads are overdue; undefined when this entry's link is the probable cause. */
  readonly silentUpstreams: () => ReadonlySet<string> | undefined
  /** Called when a request was sent to a second upstream, or a second one answers it, or when a silent upstream continues. */
  readonly lateEvent: (cause: LateCause, event: 'sent' | 'answered' | 'continued') => void
  /** Takes one retry from the retry budget; false when the budget is spent. */
  readonly takeRepeat: (cause: RetryCause) => boolean
  /** Whether the retry budget leaves a retry. */
  readonly hasRepeat: (cause: RetryCause) => boolean
  /** Returns a retry that was taken for a send that reached no upstream. */
  readonly returnRepeat: () => void
  /** Whether its caller may still send it. */
  readonly isAllowed: () => boolean
  /** Why the request is quarantined; undefined when it is not. */
  readonly quarantine: (fingerprint: () => string) => QuarantineCause | undefined
  /** Called when an upstream gave no answer, or no more of it, soon after it received the request; `broke`: its connection has ended. */
  readonly answerLost: (upstream: Upstream, suspects: RequestSuspects, broke: boolean) => void
  /** Called when an upstream has gone on running after it began an answer to the request, at the time `since`. */
  readonly partsAnswered: (since: Ms) => void
  /** Called with the upstream's notice in an answer; `took`: ms from the send to the answer's head. */
  readonly noticed: (upstream: Upstream, notice: UpstreamNotice, took: Ms) => void
  /** Ms after which a caller refused for this failure is asked to return; `placeable`: when an upstream can be expected to accept the request, where that is known. */
  readonly retryAfter: (failure: RelayFailure, placeable: Ms | undefined) => Ms
  /** Time until which a request may wait for its first upstream: when the entry refuses requests, since it stops; else infinite. */
  readonly refusesFrom: () => Ms
  /** Called when an upstream refused the request because the adapter was not loaded. */
  readonly adapterBroken: (upstream: string, want: RequestedAdapter) => void
  /** Called when an exchange with an upstream has ended or stalled; `serviceTime`: ms from the send until then. */
  readonly exchanged: (upstream: Upstream, outcome: ExchangeOutcome, latency: Ms | undefined, serviceTime: Ms) => void
  /**
   * Called when a stream has ended that one engine sent completely; `paused`: whether it had too long a pause; `pace`:
   * undefined when not measured.
   */
  readonly streamEnded: (upstream: Upstream, paused: boolean, pace: MeasuredPace | undefined) => void
  /** Version of the configuration in force. */
  readonly configVersion: () => number | undefined
  /** Longest pause of this process in ms that ended after a time. */
  readonly longestPause: (since: Ms) => Ms
  /** Called when the caller's connection is closed without a whole answer. */
  readonly answerCut: (cause: CutCause) => void
  /** Counts an answer without a length whose end was not believed. */
  readonly endUnproved: (cause: UnprovedEnd) => void
  /** Called when a connection to an upstream was closed since too much arrived on it; also after the request has ended. */
  readonly exceeded: (upstream: Upstream, excess: AnswerExcess) => void
  /** Called when the request has ended. */
  readonly over: (summary: RelaySummary) => void
}

/**
 * Margin after the route's timeout. The upstream knows the timeout and reports it by itself; if no answer has arrived
 * this much later, the entry answers the caller.
 */
const timeoutMargin: Ms = 40
/** Silence before the first event after which a resumable stream is sent to a second upstream. */
const streamSilence: Ms = 1_500
/** Silence between events after which a resumable stream is sent to a second upstream. */
const gapSilence: Ms = 900
/**
 * A plain request whose answer takes this many times the route's latency target is sent to a second upstream, if it may
 * be retried.
 */
const slowFactor = 3
const slowFloor: Ms = 250
/** Share of the remaining time that a request may wait for its adapter; the rest is for its answer. */
const loadShare = 0.5
/**
 * Callers of streams leave after a silence of this many latency targets, and not before `leaveFloor`. A caller that is
 * refused before that time retries; one that is kept waiting longer has left without an answer.
 */
const leaveTargets = 4
const leaveFloor: Ms = 2_000
/** Time kept for the answer's first event before the caller leaves. */
const firstEventMargin: Ms = 600

type PlaceEffect = RelayEffect & { readonly kind: 'place' }

/** An exchange with an upstream. */
interface OpenExchange {
  readonly exchange: RelayExchange
  readonly upstream: Upstream
  /** Why it is the second one that has the request; undefined for the first one. */
  readonly beside: LateCause | undefined
  /** Ends its accounts. */
  readonly release: () => void
  /** Whether the upstream has been silent for longer than expected. */
  isSilent: boolean
}

/** Log fields with the parts of the wait of a stream that needed an adapter. */
function waitFields (waits: PlacementWaits | undefined): object {
  return waits === undefined ? {} : { forAdapter: Math.round(waits.adapter), atDoor: Math.round(waits.admissionWait) }
}

/** One request from its arrival to its answer. */
export class RelayTask {
  private _task: Task<RelayMessage, RelayEffect> | undefined
  private readonly _deadline: Ms
  private _cancelTimeout: CancelTimer = () => {}
  /** The exchange whose answer is passed on. */
  private _exchange: RelayExchange | undefined
  /** Exchanges by upstream: two while a second one has the request. */
  private readonly _exchanges = new Map<string, OpenExchange>()
  private _cancelOverdue: CancelTimer = () => {}
  /** Whether a second upstream is looked for, since the first one is late. */
  private _isPlacingOverdue = false
  /** The placement to be used by the next send. */
  private _placement: Placement & { readonly kind: 'placed' } | undefined
  /** The upstream whose answer is passed on, or that has had the request for longest. */
  private _upstream: Upstream | undefined
  /** Ms until an upstream can be expected to accept the request, where that is known. */
  private _retryAfter: Ms | undefined
  private _want: RequestedAdapter | undefined
  private _completeAnswer: WholeAnswer | undefined
  private _keptAnswer: WholeAnswer | undefined
  private _head: AnswerHead | undefined
  /** Whether the answer that is being read declares where it ends. */
  private _isFramed = false
  private _pending: Buffer | undefined
  private _lastEventId: number | undefined
  private _over = false
  private _software: SoftwareNeed
  /** Verifies the software of the upstream that sent the first event; undefined before that event. */
  private _verifyOrigin: (() => Promise<void>) | undefined
  private _fingerprint: string | undefined
  private _firstData: Ms | undefined
  private _dataAt: Ms | undefined
  /** When the request was sent to its upstream. */
  private _sentAt: Ms = -Infinity
  /** The upstream that sent the last data, and when it sent its first data. */
  private _dataFrom: string | undefined
  private _upstreamDataSince: Ms | undefined
  /** Whether the upstream that runs the request has cleared the parts of its prompt. */
  private _hasClearedParts = false
  private _longestGap: Ms = 0
  /** Whether the answer waits until its caller has read more. */
  private _waitsForCaller = false
  private readonly _pace = new StreamPace()
  private _sends = 0
  /** Sends on connections that were never made. */
  private _failedConnections = 0

  constructor (
    private readonly _call: BufferedCall,
    private readonly _route: Route,
    private readonly _service: string,
    private readonly _answer: CallerAnswer,
    private readonly _options: RelayTaskOptions
  ) {
    this._deadline = _call.arrivedAt + Math.min(_call.facts.patience ?? Infinity, _route.timeout)
    this._lastEventId = _call.facts.lastEventId
    this._software = _options.software
  }

  /** Starts looking for an upstream. */
  start (): void {
    const { clock, quarantine, isAllowed, takeRepeat, hasRepeat, returnRepeat } = this._options
    this._cancelTimeout = afterReading(clock, this._deadline + timeoutMargin - clock.now(), () => this._post({ kind: 'timeout' }))
    this._task = new Task(relayFlow(this._route, { takeRetry: takeRepeat, hasRetry: hasRepeat, returnRetry: returnRepeat, isAllowed, quarantine: () => quarantine(() => this.fingerprint) }), effect => this._perform(effect))
  }

  /** Identity of the request, equal for each attempt at it. */
  get fingerprint (): string {
    const { method, host, path, body, organisation, facts: { model, adapter } } = this._call
    return (this._fingerprint ??= requestFingerprint({ method, host, path, body, organisation, model, adapter }))
  }

  /** Parts of its prompt that other requests may have in common with it. */
  get sharedParts (): readonly string[] { return this._call.sharedParts }

  /** Ends the request because it is quarantined from now on. */
  endQuarantined (cause: QuarantineCause): void { this._post({ kind: 'held', cause }) }

  /** Where the request is now. */
  get state (): OpenRequest {
    const upstreams = [...this._exchanges.keys()]
    return { request: this._call.facts.id, age: Math.round(this._options.clock.now() - this._call.arrivedAt), waitsFor: upstreams.length > 0 ? 'upstream' : 'placement', upstreams, begun: this._answer.begun }
  }

  /** Refuses the request if it still waits for an upstream: the entry stops soon. */
  stop (): void { this._post({ kind: 'stopping' }) }

  /** Answers or cuts off the request, since the entry's process ends now. */
  endWithProcess (): void { this._post({ kind: 'process-end' }) }

  /** Handles that the caller has closed its connection. */
  callerGone (): void { this._post({ kind: 'caller-gone' }) }

  private _post (msg: RelayMessage): void {
    if (this._over) return
    try {
      this._task?.post(msg)
    } catch (error) {
      this._endAfterFault(error as Error)
    }
  }

  /**
   * Ends this request after an error within the entry. Uncaught, the error would end the process, and every other
   * caller's request with it; instead it is logged and this caller's connection is cut.
   */
  private _endAfterFault (error: Error): void {
    this._options.log.warn('request', 'ended by a fault of the entry.', { request: this._call.facts.id, error: error.stack })
    // A non-idempotent request keeps running at its upstream, as when its caller leaves.
    if (this._route.kind !== 'non-idempotent') this._abandon()
    this._cut('entry-fault')
    this._end('broken')
  }

  /** Closes the caller's connection without a whole answer. */
  private _cut (cause: CutCause): void {
    const { configVersion, answerCut, log } = this._options
    const { silence, ownPause } = this._silence
    log.warn('request', 'answer cut.', { request: this._call.facts.id, cause, begun: this._answer.begun, upstream: this._upstream?.id, upstreams: [...this._exchanges.keys()], silence, ownPause, sends: this._sends, config: configVersion(), lastEventId: this._lastEventId })
    answerCut(cause)
    this._answer.break()
  }

  /** Log fields: ms since the upstream's last data or the send, and the longest pause of this process in that time. */
  private get _silence (): { readonly silence: Ms | undefined, readonly ownPause: Ms } {
    const { clock, longestPause } = this._options
    const since = Math.max(this._dataAt ?? -Infinity, this._sentAt)
    return { silence: since === -Infinity ? undefined : Math.round(clock.now() - since), ownPause: Math.round(longestPause(since)) }
  }

  private _perform (effect: RelayEffect): void {
    switch (effect.kind) {
      case 'place': return this._place(effect)
      case 'send': return this._send()
      case 'send-beside':
        this._options.lateEvent(effect.cause, 'sent')
        return this._send(effect.cause)
      case 'abandon': return this._abandon(effect.upstream)
      case 'wait':
        this._options.clock.after(effect.delay, () => this._post({ kind: 'waited' }))
        return
      case 'hold':
        this._keptAnswer = this._completeAnswer
        return
      case 'deliver': return this._deliver()
      case 'finish': return this._end('delivered')
      case 'fail':
        this._answer.fail({ kind: 'relay', failure: effect.failure, notRun: effect.notRun, retryAfter: this._options.retryAfter(effect.failure, this._retryAfter) })
        return this._end(effect.failure, effect.notRun)
      case 'break':
        if (effect.failure === 'timeout-sent') this._recordEndless()
        this._cut(effect.failure)
        return this._end('broken')
      case 'forget': return this._end('caller-gone', this._attempts === 0)
      default: return assertNever(effect)
    }
  }

  private get _remaining (): Ms { return this._deadline - this._options.clock.now() }

  /**
   * Longest time in ms that the request may still wait for an upstream.
   *
   * Callers leave after a silence, not at a fixed time after their request: they wait for a stream that broke off in its
   * fourth second as long as for one that has not begun. If the wait were measured from the request's arrival, such a
   * stream could be resumed at another upstream only if its adapter happened to be loaded there.
   */
  private get _longestWait (): Ms {
    const waited = this._options.clock.now() - (this._dataAt ?? this._call.arrivedAt)
    const leavesAfter = Math.max(leaveFloor, leaveTargets * this._route.latencyTarget) - firstEventMargin
    const untilRefused = this._answer.begun ? Infinity : this._options.refusesFrom() - this._options.clock.now()
    return Math.max(0, Math.min(this._remaining * loadShare, leavesAfter - waited, untilRefused))
  }

  private _place (effect: PlaceEffect): void {
    if (this._software.kind !== 'unknown' || this._verifyOrigin === undefined) return this._placeAt(this._software, effect)
    this._verifyOrigin().then(() => this._placeAt(this._software, effect), (error: Error) => this._endAfterFault(error))
  }

  private _placeAt (software: SoftwareNeed, { beside, ...effect }: PlaceEffect): void {
    if (this._over) return
    const { avoid, only, retryUpstream } = effect
    this._isPlacingOverdue = beside === 'overdue'
    // A stream may be resumed many seconds after its request arrived. If a new version of its adapter was declared since
    // then, that version is in force at the other upstream; with the version of the first placement, the stream would
    // start over on weights that were replaced.
    this._want = this._options.want()
    this._retryAfter = undefined
    const query: PlacementQuery = {
      service: this._service,
      want: this._options.want,
      urgency: this._call.priority,
      avoid: beside === 'overdue' ? new Set([...avoid, ...this._options.silentUpstreams() ?? []]) : avoid,
      software,
      patience: this._longestWait,
      prompt: { request: this._call.facts.id, tokens: this._call.facts.promptTokens, dueAt: this._call.arrivedAt + this._route.latencyTarget, ...(this._call.organisation === undefined ? {} : { organisation: this._call.organisation }) },
      cancelled: () => this._over || (beside === 'stalled' && this._hasContinued),
      ...(only === undefined ? {} : { only }),
      ...(retryUpstream === undefined ? {} : { retryUpstream })
    }
    this._options.place(query).then(placed => {
      // On a busy host, a request and the close of its connection are read in two consecutive turns of the event loop.
      // A request sent between the two would run for a caller who left long before.
      setImmediate(() => setImmediate(() => {
        if (this._over) return this._placed(placed)
        if (this._software === software && !this._isOutdated(placed)) return this._placed(placed)
        // During the search, a newer version was declared, or the first event arrived, which decides the software.
        if (placed.kind === 'placed') this._releasePlacement(placed)
        if (this._software === software) return this._placeAt(software, { kind: 'place', avoid, ...(only === undefined ? {} : { only }), ...(beside === undefined ? {} : { beside }) })
        if (this._exchanges.size > 0) return this._post({ kind: 'unplaced', cause: 'no-upstream' })
        this._place(effect)
      }))
    }, (error: Error) => {
      this._options.log.warn('request', 'placement failed.', { request: this._call.facts.id, error: error.message })
      this._post({ kind: 'unplaced', cause: 'no-upstream' })
    })
  }

  /** Whether a newer version of the adapter was declared than the one at the upstream. */
  private _isOutdated (placed: Placement): boolean {
    const declared = this._options.want()?.version
    return placed.kind === 'placed' && declared !== undefined && (placed.version ?? 0) < declared
  }

  /**
   * Handles the result of a placement.
   *
   * The engine's holder counts a batch slot that it granted as used until it learns otherwise. No request is sent to the
   * engine if the caller has left meanwhile, or if the stream has gone on at its former upstream. Unless the unused slot
   * is reported to the holder, it stays empty for seconds, and callers are refused although the engine is idle.
   */
  private _placed (placed: Placement): void {
    const sends = this._sends
    this._applyPlacement(placed)
    if (placed.kind === 'placed' && this._sends === sends) this._releasePlacement(placed)
  }

  private _releasePlacement ({ upstream, refund }: Placement & { readonly kind: 'placed' }): void {
    upstream.recordUnusedSlot()
    refund()
  }

  private _applyPlacement (placed: Placement): void {
    if (this._remaining <= 0) return this._post({ kind: 'timeout' })
    const isOverdue = this._isPlacingOverdue
    this._isPlacingOverdue = false
    if (placed.kind === 'unplaced') {
      this._retryAfter = placed.retryAfter
      return this._post(placed)
    }
    // An upstream that failed lately answers no sooner than the one that has the request.
    if (isOverdue && !placed.upstream.health.accepts(this._options.clock.now())) return this._post({ kind: 'unplaced', cause: 'no-upstream' })
    this._placement = placed
    this._post({ kind: 'placed', upstream: placed.upstream.id })
  }

  private _send (beside?: LateCause): void {
    const { upstream, version, waits, refund } = this._placement!
    const want = this._want
    const { clock, codec, log } = this._options
    const { facts, method, path, headers, body } = this._call
    const sentAt = clock.now()
    this._sends++
    if (beside === undefined) {
      this._upstream = upstream
      this._sentAt = sentAt
      this._forgetData()
    }
    const resumed = this._answer.begun ? this._lastEventId : undefined
    log.info('request', 'sent.', { request: facts.id, upstream: upstream.id, software: upstream.record.software, send: this._sends, waited: Math.round(sentAt - this._call.arrivedAt), ...waitFields(waits), outstanding: upstream.outstanding, speed: upstream.reportedSpeed, rateLimit: upstream.notices.limit.rate, config: this._options.configVersion(), version, resumedAfter: resumed, beside })
    const releaseSlot = upstream.open(want?.adapter === undefined ? undefined : requestedAdapterKey(want))
    if (want !== undefined) upstream.recordPrompt(facts.promptTokens)
    const endOverdue = beside === undefined ? this._watchOverdue(upstream) : () => {}
    const release = (): void => {
      releaseSlot()
      endOverdue()
    }
    const from = upstream.id
    const close = (outcome: ExchangeOutcome, latency?: Ms): void => {
      release()
      this._exchanges.delete(from)
      this._isPlacingOverdue = false
      this._options.exchanged(upstream, outcome, latency, clock.now() - sentAt)
    }
    let firstByte: Ms | undefined
    const first = (): Ms => (firstByte ??= clock.now() - sentAt)
    const timeLimit = Math.max(1, Math.floor(this._remaining))
    const forwarded = codec.forwardHeaders(headers, {
      instance: upstream.id,
      remaining: timeLimit,
      priority: this._call.priority,
      byKey: this._call.byKey,
      ...(version === undefined ? {} : { adapterVersion: version }),
      ...(this._call.organisation === undefined ? {} : { organisation: this._call.organisation }),
      ...(resumed === undefined ? {} : { lastEventId: resumed })
    })
    const exchange = this._options.exchange(upstream.pool, {
      id: facts.id,
      instance: upstream.id,
      host: upstream.record.host,
      port: upstream.record.port,
      method,
      path,
      headers: forwarded,
      body,
      timeLimit,
      repeatable: this._repeatable,
      isStream: this._isStream,
      firstDataSilence: this._firstDataSilence(),
      gapSilence: this._repeatable ? Math.max(gapSilence, 3 * this._route.gapTarget) : undefined,
      lastEventId: this._lastEventId,
      continues: this._answer.begun,
      verify: this._software.kind === 'version' ? openedAt => this._options.verifyIncarnation(upstream, openedAt) : undefined
    }, {
      noticed: notice => this._options.noticed(upstream, notice, clock.now() - sentAt),
      refused: refusal => {
        close('refused')
        log.info('request', 'refused by upstream.', { request: facts.id, upstream: upstream.id, refusal })
        if (refusal === 'adapter-missing' && want !== undefined) this._options.adapterBroken(upstream.id, want)
        this._post({ kind: 'refused', refusal, from })
      },
      unreachable: cause => {
        close('unreachable')
        this._failedConnections++
        refund()
        log.info('request', 'upstream unreachable.', { request: facts.id, upstream: upstream.id, cause })
        this._post({ kind: 'unreachable', from })
      },
      stalled: cause => this._recordStall(upstream, cause, clock.now() - sentAt),
      lost: (cause, kind, unproved) => {
        close('lost')
        if (unproved !== undefined) this._options.endUnproved(unproved)
        log.info('request', 'answer lost.', { request: facts.id, upstream: upstream.id, cause, lastEventId: this._lastEventId, after: Math.round(clock.now() - sentAt), beside, fingerprint: this.fingerprint, parts: this._call.sharedParts })
        // A restart that was found by its report shows nothing about this request, which came after it.
        if (kind !== 'other-software') this._reportSuspect(upstream, kind === 'broke')
        this._post({ kind: 'lost', from })
      },
      whole: answer => {
        const failed = answer.status >= 500
        if (!answer.framed) this._reportSuspect(upstream, false)
        else if (answer.status < 300) this._clearParts(sentAt)
        close(failed ? 'error' : 'answered', first())
        if (!this._answer.begun) {
          this._completeAnswer = answer
          this._isFramed = answer.framed
          this._readFrom(upstream, exchange, sentAt)
        }
        if (beside !== undefined && !failed) this._options.lateEvent(beside, 'answered')
        this._post({ kind: 'whole', failed, from })
      },
      begin: head => {
        first()
        this._readFrom(upstream, exchange, sentAt)
        this._isFramed = head.framed
        if (!this._answer.begun) this._head = head
      },
      data: (bytes, lastEventId) => this._data(bytes, lastEventId, from),
      exceeded: excess => this._options.exceeded(upstream, excess),
      end: () => {
        close('answered', first())
        if (!this._isFramed) this._reportUnframedEnd(upstream)
        else if (this._upstreamDataSince !== undefined) this._clearParts(this._upstreamDataSince)
        if (this._sends === 1) this._options.streamEnded(upstream, this._longestGap > this._route.gapTarget && this._route.gapTarget > 0, want === undefined || !this._isStream ? undefined : this._pace.pace)
        if (!this._answer.begun && this._head !== undefined) this._post({ kind: 'streaming', from })
        this._post({ kind: 'stream-ended', from })
      }
    })
    if (beside === undefined) this._exchange = exchange
    this._exchanges.set(from, { exchange, upstream, beside, release, isSilent: false })
  }

  private _readFrom (upstream: Upstream, exchange: RelayExchange, sentAt: Ms): void {
    this._exchange = exchange
    this._upstream = upstream
    this._sentAt = sentAt
  }

  private _forgetData (): void {
    this._dataFrom = undefined
    this._upstreamDataSince = undefined
    this._hasClearedParts = false
  }

  /**
   * Has a plain read sent to a second upstream when it is overdue at the first one.
   *
   * @returns a function to be called when the read ends at the first upstream
   */
  private _watchOverdue (upstream: Upstream): () => void {
    const { clock, log, overdueTime, overdue, silentUpstreams } = this._options
    const waited = clock.now() - this._call.arrivedAt
    const due = this._route.kind === 'read-only' && this._want === undefined && this._attempts < this._route.maxAttempts ? overdueTime(waited) : undefined
    if (due === undefined || due.after >= this._remaining) return () => {}
    let ended = (): void => {}
    this._cancelOverdue = clock.after(due.after, () => {
      ended = overdue(upstream)
      const silent = silentUpstreams()
      log.info('request', 'overdue.', { request: this._call.facts.id, upstream: upstream.id, after: Math.round(due.after), target: this._route.latencyTarget, typical: Math.round(due.typical), silent: silent?.size, follows: silent === undefined ? 'none, the link is suspected' : 'a second upstream' })
      if (silent === undefined) return
      this._post({ kind: 'overdue' })
    })
    return () => {
      this._cancelOverdue()
      ended()
    }
  }

  /** Sends that may have reached an upstream. */
  private get _attempts (): number { return this._sends - this._failedConnections }

  private get _isStream (): boolean { return this._route.kind === 'stream' }

  private get _repeatable (): boolean {
    return this._route.kind === 'read-only' || (this._isStream && this._route.resumable)
  }

  /** Reports that this request may be the cause, in case its upstream turns out to have terminated. */
  private _reportSuspect (upstream: Upstream, broke: boolean): void {
    const answeredFor = this._answeredFor(upstream)
    const parts = !broke || provesPartHarmless(answeredFor) ? [] : this._call.sharedParts
    if (mayHaveCausedTermination(answeredFor)) this._options.answerLost(upstream, { request: this.fingerprint, parts }, broke)
  }

  /**
   * Reports a stream whose end only its connection marks. If its upstream has terminated between two events, the stream
   * looks complete.
   */
  private _reportUnframedEnd (upstream: Upstream): void {
    if (!provesPartHarmless(this._answeredFor(upstream))) this._reportSuspect(upstream, true)
  }

  /** Ms from the first to the last data of an upstream that runs the request; 0 when it has sent none. */
  private _answeredFor ({ id }: Upstream): Ms {
    return this._dataFrom !== id || this._upstreamDataSince === undefined ? 0 : this._dataAt! - this._upstreamDataSince
  }

  private _recordStall (upstream: Upstream, cause: string, after: Ms): void {
    const open = this._exchanges.get(upstream.id)
    if (this._over || open === undefined) return
    this._options.log.info('request', 'stalled.', { request: this._call.facts.id, upstream: upstream.id, cause, lastEventId: this._lastEventId, after: Math.round(after), ...this._silence })
    if (!open.isSilent) this._options.exchanged(upstream, 'lost', undefined, after)
    open.isSilent = true
    this._pace.disturb()
    this._reportSuspect(upstream, false)
    this._post({ kind: 'stalled', from: upstream.id })
  }

  /** Silence before the first data after which a request that may be repeated counts as stalled. */
  private _firstDataSilence (): Ms | undefined {
    const { latencyTarget, maxAttempts } = this._route
    if (!this._repeatable) return undefined
    if (this._isStream) return Math.max(streamSilence, 2 * latencyTarget)
    return this._attempts >= maxAttempts ? undefined : Math.max(slowFloor, slowFactor * latencyTarget)
  }

  private _data (bytes: Buffer, lastEventId: number | undefined, from: string): void {
    if (this._over) return
    if (lastEventId !== undefined) this._lastEventId = lastEventId
    this._recordData(from)
    const hasContinued = this._recordContinued(from)
    if (!this._answer.begun) {
      if (this._isStream && this._repeatable) this._recordOrigin()
      this._pending = bytes
      this._post({ kind: 'streaming', from })
      return
    }
    if (hasContinued) this._post({ kind: 'streaming', from })
    this._write(bytes)
  }

  /** Whether an upstream has the request and is not silent. */
  private get _hasContinued (): boolean { return [...this._exchanges.values()].some(({ isSilent }) => !isSilent) }

  /** Records data of an upstream; returns whether it was silent, or another one has the request too. */
  private _recordContinued (from: string): boolean {
    const open = this._exchanges.get(from)
    if (open === undefined || (!open.isSilent && this._exchanges.size === 1)) return false
    if (open.isSilent) this._options.lateEvent('stalled', 'continued')
    else if (open.beside !== undefined) this._options.lateEvent(open.beside, 'answered')
    open.isSilent = false
    this._exchange = open.exchange
    this._upstream = open.upstream
    return true
  }

  /**
   * Records at which software the stream begins, or goes on for a caller that resumes it. The record of its upstream may be
   * older than the process that answers, so the version counts as unknown until that is verified.
   */
  private _recordOrigin (): void {
    if (this._software.kind === 'version') return this._options.began(this._software.software)
    const upstream = this._upstream!
    const { software } = upstream.record
    const openedAt = this._exchange?.openedAt
    if (software === undefined || openedAt === undefined) {
      this._software = { kind: 'unknown' }
      return
    }
    if (upstream.incarnation.isConfirmed(openedAt)) return this._confirmOrigin(software)
    this._software = { kind: 'unknown' }
    this._verifyOrigin = async () => {
      if (await this._options.verifyIncarnation(upstream, openedAt) && this._software.kind === 'unknown') this._confirmOrigin(software)
    }
    this._verifyOrigin().catch((error: Error) => this._endAfterFault(error))
  }

  private _confirmOrigin (software: string): void {
    this._software = { kind: 'version', software }
    this._options.began(software)
  }

  private _recordData (from: string): void {
    const now = this._options.clock.now()
    if (this._dataAt === undefined) this._firstData = now - this._call.arrivedAt
    else this._recordGap(now - this._dataAt)
    this._dataAt = now
    if (this._dataFrom !== from) this._forgetData()
    this._dataFrom = from
    this._upstreamDataSince ??= now
    if (!this._hasClearedParts && provesPartHarmless(now - this._upstreamDataSince)) this._clearParts(this._upstreamDataSince)
  }

  private _recordGap (gap: Ms): void {
    this._longestGap = Math.max(this._longestGap, gap)
    this._pace.record(gap)
  }

  /** Records that the parts of its prompt did not terminate the upstream that began the answer at a time. */
  private _clearParts (since: Ms): void {
    this._hasClearedParts = true
    if (this._call.sharedParts.length > 0) this._options.partsAnswered(since)
  }

  private _write (bytes: Buffer): void {
    if (this._answer.data(bytes)) return
    const exchange = this._exchange
    this._pace.disturb()
    this._waitsForCaller = true
    exchange?.pause()
    this._answer.onDrain(() => {
      this._waitsForCaller = false
      exchange?.resume()
    })
  }

  /** Records a plain answer that its upstream has not ended within the time limit, though its caller has read all of it. */
  private _recordEndless (): void {
    if (this._isStream || this._waitsForCaller || this._upstream === undefined) return
    this._options.exchanged(this._upstream, 'lost', undefined, this._options.clock.now() - this._sentAt)
  }

  private _deliver (): void {
    if (this._head !== undefined) {
      this._answer.begin(this._head)
      if (this._pending !== undefined) this._write(this._pending)
      this._pending = undefined
      return
    }
    const whole = this._completeAnswer ?? this._keptAnswer
    if (whole !== undefined) this._answer.whole(whole)
  }

  /** Stops work at the named upstream, or at all. */
  private _abandon (upstream?: string): void {
    for (const [id, { exchange, release }] of this._exchanges) {
      if (upstream !== undefined && id !== upstream) continue
      if (upstream !== undefined) this._options.log.info('request', 'withdrawn.', { request: this._call.facts.id, upstream, lastEventId: this._lastEventId })
      exchange.abandon()
      release()
      this._exchanges.delete(id)
    }
  }

  private _end (end: RelayEnd, notRun = false): void {
    this._over = true
    this._cancelTimeout()
    // A non-idempotent request keeps running at its upstream; its answer is discarded.
    for (const { exchange, release } of this._exchanges.values()) {
      exchange.ignore()
      release()
    }
    if (end === 'delivered' && !this._answer.ended) this._answer.end()
    this._options.over({ end, sends: this._sends, firstData: this._firstData, longestGap: this._longestGap, notRun, answeredSince: this._upstreamDataSince ?? this._sentAt, unframedFrom: this._isFramed ? undefined : this._upstream })
  }
}

/**
 * Drives one request: performs what its decisions ask for.
 */
import { assertNever, type CancelTimer, type Clock, type Log, type Ms, Task } from '@hazelford/core'
import { type RequestedAdapter, type ExchangeOutcome, mayHaveCausedTermination, type RelayEffect, type RelayFailure, relayFlow, type RelayMessage, requestedAdapterKey } from '@hazelford/decisions'
import type { CallCodec, CallMetadata, Route, UpstreamNotice } from '@hazelford/ports'
import type { CallerAnswer } from './caller-answer.js'
import { type AnswerHead, Exchange, type WholeAnswer } from './exchange.js'
import type { Placed, PlaceQuery, PlaceWaits } from './placer.js'
import { requestFingerprint } from './request-fingerprint.js'
import type { Upstream } from './upstream.js'

/** A request that was read whole. */
export interface BufferedCall {
  readonly facts: CallMetadata
  readonly method: string
  readonly host: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly arrivedAt: Ms
  /** Whether keys say who may send requests. */
  readonly byKey: boolean
  /** Whose request it is; undefined when nobody's. */
  readonly organisation: string | undefined
  /** 0 is the most urgent. */
  readonly priority: number
}

/** How a request ended, for logs and metrics. */
export type RelayEnd = 'delivered' | 'broken' | 'caller-gone' | RelayFailure

/** What is told of a request at its end. */
export interface RelaySummary {
  readonly end: RelayEnd
  readonly sends: number
  /** Ms from the request's arrival to the first event of its stream. */
  readonly firstData: Ms | undefined
  /** Longest ms between two events. */
  readonly longestGap: Ms
  /** Whether no upstream can have begun to work on it. */
  readonly notRun: boolean
}

/** What a request needs of its entry. */
export interface RelayTaskOptions {
  readonly clock: Clock
  readonly log: Log
  readonly codec: CallCodec
  /** The adapter that it needs, in the version declared now. */
  readonly want: () => RequestedAdapter | undefined
  readonly place: (query: PlaceQuery) => Promise<Placed>
  readonly takeRepeat: () => boolean
  /** Whether its caller may still send it. */
  readonly isAllowed: () => boolean
  /** Whether a request is held back, since upstreams end under it. */
  readonly isQuarantined: (fingerprint: () => string) => boolean
  /** An upstream gave no answer, or no more of it, soon after it had the request; `broke`: its connection has ended. */
  readonly answerLost: (upstream: Upstream, fingerprint: string, broke: boolean) => void
  /** What an answer says of its upstream; `took`: ms from the send to the answer's head. */
  readonly noticed: (upstream: Upstream, notice: UpstreamNotice, took: Ms) => void
  readonly retryAfter: (failure: RelayFailure) => Ms
  readonly adapterBroken: (upstream: string, want: RequestedAdapter) => void
  /** `stay`: ms from the send to its end. */
  readonly exchanged: (upstream: Upstream, outcome: ExchangeOutcome, latency: Ms | undefined, stay: Ms) => void
  readonly over: (summary: RelaySummary) => void
}

/**
 * The route's timeout is answered by the upstream itself, which knows it; this much later
 * the entry answers in its place.
 */
const timeoutMargin: Ms = 40
/** Silence before the first event after which a resumable stream is sent elsewhere. */
const streamSilence: Ms = 1_500
/** Silence between events after which a resumable stream is taken up elsewhere. */
const gapSilence: Ms = 900
/** A plain answer that takes this many times the route's target is asked elsewhere, if it may be. */
const slowFactor = 3
const slowFloor: Ms = 250
/** Part of the time left that a request may wait for its adapter; the rest is for its answer. */
const loadShare = 0.5
/**
 * Callers of streams leave when nothing comes for this many latency targets, and no sooner
 * than this. Who is refused before that comes back; who is kept longer is gone.
 */
const leaveTargets = 4
const leaveFloor: Ms = 2_000
/** Left for the answer's first event before the caller leaves. */
const firstEventMargin: Ms = 600

/** One request from its arrival to its answer. */
export class RelayTask {
  private _task: Task<RelayMessage, RelayEffect> | undefined
  private readonly _deadline: Ms
  private _cancelTimeout: CancelTimer = () => {}
  private _exchange: Exchange | undefined
  private _upstream: Upstream | undefined
  private _version: number | undefined
  private _waits: PlaceWaits | undefined
  /** Gives back what the request took of its upstream's limit. */
  private _refund: () => void = () => {}
  /** Ms until a place can be expected, where that is known. */
  private _retryAfter: Ms | undefined
  private _want: RequestedAdapter | undefined
  private _whole: WholeAnswer | undefined
  private _held: WholeAnswer | undefined
  private _head: AnswerHead | undefined
  private _pending: Buffer | undefined
  private _lastEventId: number | undefined
  private _over = false
  private _fingerprint: string | undefined
  private _firstData: Ms | undefined
  private _dataAt: Ms | undefined
  /** When the upstream that has the request sent its first data. */
  private _dataHereSince: Ms | undefined
  private _longestGap: Ms = 0
  private _sends = 0
  /**
   * - `placing`: the upstream is silent, and another one is looked for.
   * - `over`: it has gone on meanwhile.
   * - `unplaced`: it is silent still, and no other one can take the request.
   */
  private _stall: 'none' | 'placing' | 'over' | 'unplaced' = 'none'

  constructor (
    private readonly _call: BufferedCall,
    private readonly _route: Route,
    private readonly _service: string,
    private readonly _answer: CallerAnswer,
    private readonly _deps: RelayTaskOptions
  ) {
    this._deadline = _call.arrivedAt + Math.min(_call.facts.patience ?? Infinity, _route.timeout)
    this._lastEventId = _call.facts.lastEventId
  }

  /** Begins to look for an upstream. */
  start (): void {
    const { clock, isQuarantined: isHeld, isAllowed, takeRepeat } = this._deps
    this._cancelTimeout = clock.after(this._deadline + timeoutMargin - clock.now(), () => this._post({ kind: 'timeout' }))
    this._task = new Task(relayFlow(this._route, { takeRepeat, isAllowed, isQuarantined: () => isHeld(() => this.fingerprint) }), effect => this._perform(effect))
  }

  /** The same for each attempt at this request. */
  get fingerprint (): string { return (this._fingerprint ??= requestFingerprint({ ...this._call, ...this._call.facts })) }

  /** It is held back from now on. */
  hold (): void { this._post({ kind: 'held' }) }

  /** The caller has closed its connection. */
  callerGone (): void { this._post({ kind: 'caller-gone' }) }

  private _post (msg: RelayMessage): void {
    if (this._over) return
    try {
      this._task?.post(msg)
    } catch (error) {
      this._fault(error as Error)
    }
  }

  /**
   * Ends this request after a fault of ours. Thrown on, it would end the process, and with it every
   * other caller's request; it shows by this line and a connection that is cut.
   */
  private _fault (error: Error): void {
    this._deps.log.warn('request', 'ended by a fault of the entry.', { request: this._call.facts.id, error: error.stack })
    // A non-idempotent request goes on at its upstream, as when its caller leaves.
    if (this._route.kind !== 'non-idempotent') this._exchange?.abandon()
    this._answer.break()
    this._end('broken')
  }

  private _perform (effect: RelayEffect): void {
    const { log } = this._deps
    switch (effect.kind) {
      case 'place': return this._place(effect.avoid, effect.retryUpstream)
      case 'send': return this._send()
      case 'abandon': return this._abandon()
      case 'wait':
        this._deps.clock.after(effect.delay, () => this._post({ kind: 'waited' }))
        return
      case 'hold':
        this._held = this._whole
        return
      case 'deliver': return this._deliver()
      case 'finish': return this._end('delivered')
      case 'fail':
        this._answer.fail({ kind: 'relay', failure: effect.failure, notRun: effect.notRun, retryAfter: this._retryAfter ?? this._deps.retryAfter(effect.failure) })
        return this._end(effect.failure, effect.notRun)
      case 'break':
        log.info('request', 'broken off.', { request: this._call.facts.id, cause: effect.failure, lastEventId: this._lastEventId })
        this._answer.break()
        return this._end('broken')
      case 'forget': return this._end('caller-gone', this._sends === 0)
      default: return assertNever(effect)
    }
  }

  private get _remaining (): Ms { return this._deadline - this._deps.clock.now() }

  /**
   * Ms that the request may still wait for a place.
   *
   * Callers leave after a silence, not after a time since their request: a stream that broke off in its
   * fourth second is waited for as long as one that has not begun. Counted from the request, it
   * could not be taken up elsewhere unless its adapter happened to be there.
   */
  private get _patience (): Ms {
    const waited = this._deps.clock.now() - (this._dataAt ?? this._call.arrivedAt)
    const stays = Math.max(leaveFloor, leaveTargets * this._route.latencyTarget) - firstEventMargin
    return Math.max(0, Math.min(this._remaining * loadShare, stays - waited))
  }

  private _place (avoid: ReadonlySet<string>, again: string | undefined): void {
    // A stream may go on elsewhere many seconds after its request. A version that was declared since is
    // in force there; by the one of its first placement it would begin anew on weights that were replaced.
    this._want = this._deps.want()
    this._retryAfter = undefined
    const query: PlaceQuery = {
      service: this._service,
      want: this._want,
      urgency: this._call.priority,
      avoid,
      patience: this._patience,
      prompt: { request: this._call.facts.id, tokens: this._call.facts.promptTokens, dueAt: this._call.arrivedAt + this._route.latencyTarget },
      cancelled: () => this._over,
      ...(again === undefined ? {} : { again })
    }
    this._deps.place(query).then(placed => {
      // On a busy host a request and the close of its connection are read one after the
      // other, in two turns of the event loop. Sent on in between, it would run for a caller
      // who left long before.
      setImmediate(() => setImmediate(() => this._placed(placed)))
    }, (error: Error) => {
      this._deps.log.warn('request', 'not placed.', { request: this._call.facts.id, error: error.message })
      this._post({ kind: 'unplaced', cause: 'no-upstream' })
    })
  }

  /**
   * Takes what came of looking for a place.
   *
   * The engine's holder counts a place that it gave until it hears otherwise. Nothing is sent for a caller who has left
   * meanwhile, or for a stream that has gone on where it was: unsaid, the place stood empty for seconds, and
   * callers were refused beside an idle engine.
   */
  private _placed (placed: Placed): void {
    const sends = this._sends
    this._takePlace(placed)
    if (placed.kind !== 'placed' || this._sends > sends) return
    placed.upstream.recordUnusedSlot()
    placed.refund()
  }

  private _takePlace (placed: Placed): void {
    if (this._remaining <= 0) return this._post({ kind: 'timeout' })
    const stall = this._stall
    this._stall = stall === 'placing' && placed.kind === 'unplaced' ? 'unplaced' : 'none'
    // It goes on where it is: moved now, it would be read anew for nothing.
    if (stall === 'over') return this._post({ kind: 'moves-again' })
    if (placed.kind === 'unplaced') {
      this._retryAfter = placed.retryAfter
      return this._post(placed)
    }
    this._refund = placed.refund
    this._upstream = placed.upstream
    this._version = placed.version
    this._waits = placed.waits
    this._post({ kind: 'placed', upstream: placed.upstream.id })
  }

  private _send (): void {
    const upstream = this._upstream!
    const { clock, codec, log } = this._deps
    const { facts, method, path, headers, body } = this._call
    const sentAt = clock.now()
    this._sends++
    this._dataHereSince = undefined
    const resumed = this._answer.begun ? this._lastEventId : undefined
    log.info('request', 'sent.', { request: facts.id, upstream: upstream.id, send: this._sends, waited: Math.round(sentAt - this._call.arrivedAt), ...this._waitFields(), outstanding: upstream.outstanding, rateLimit: upstream.notices.limit.rate, version: this._version, resumedAfter: resumed })
    const release = upstream.open(this._want?.adapter === undefined ? undefined : requestedAdapterKey(this._want))
    if (this._want !== undefined) upstream.recordPrompt(facts.promptTokens)
    const close = (outcome: ExchangeOutcome, latency?: Ms): void => {
      release()
      this._deps.exchanged(upstream, outcome, latency, clock.now() - sentAt)
    }
    this._closeExchange = release
    let firstByte: Ms | undefined
    const first = (): Ms => (firstByte ??= clock.now() - sentAt)
    const forwarded = codec.forwardHeaders(headers, {
      instance: upstream.id,
      remaining: Math.max(1, Math.floor(this._remaining)),
      priority: this._call.priority,
      byKey: this._call.byKey,
      ...(this._version === undefined ? {} : { adapterVersion: this._version }),
      ...(this._call.organisation === undefined ? {} : { organisation: this._call.organisation }),
      ...(resumed === undefined ? {} : { lastEventId: resumed })
    })
    this._exchange = new Exchange(clock, codec, upstream.pool, {
      id: facts.id,
      instance: upstream.id,
      host: upstream.record.host,
      port: upstream.record.port,
      method,
      path,
      headers: forwarded,
      body,
      repeatable: this._repeatable,
      firstByteTimeout: this._firstByteTimeout(),
      firstEventSilence: this._isStream && this._repeatable ? Math.max(streamSilence, 2 * this._route.latencyTarget) : undefined,
      gapSilence: this._repeatable ? Math.max(gapSilence, 3 * this._route.gapTarget) : undefined,
      lastEventId: this._lastEventId
    }, {
      noticed: notice => this._deps.noticed(upstream, notice, clock.now() - sentAt),
      refused: refusal => {
        close('refused')
        log.info('request', 'refused by upstream.', { request: facts.id, upstream: upstream.id, refusal })
        if (refusal === 'adapter-missing' && this._want !== undefined) this._deps.adapterBroken(upstream.id, this._want)
        this._post({ kind: 'refused', refusal })
      },
      unreachable: cause => {
        close('unreachable')
        this._refund()
        log.info('request', 'upstream unreachable.', { request: facts.id, upstream: upstream.id, cause })
        this._post({ kind: 'unreachable' })
      },
      stalled: cause => this._noteStall(upstream, cause, clock.now() - sentAt),
      lost: (cause, broke) => {
        this._stall = 'none'
        close('lost')
        log.info('request', 'answer lost.', { request: facts.id, upstream: upstream.id, cause, lastEventId: this._lastEventId, after: Math.round(clock.now() - sentAt), fingerprint: this.fingerprint })
        this._suspect(upstream, broke)
        this._post({ kind: 'lost' })
      },
      whole: answer => {
        const failed = answer.status >= 500
        close(failed ? 'error' : 'answered', first())
        this._whole = answer
        this._post({ kind: 'whole', failed })
      },
      begin: head => {
        first()
        if (!this._answer.begun) this._head = head
      },
      data: (bytes, lastEventId) => this._data(bytes, lastEventId),
      end: () => {
        close('answered', first())
        if (this._sends === 1) upstream.recordStream(this._longestGap > this._route.gapTarget && this._route.gapTarget > 0)
        if (!this._answer.begun && this._head !== undefined) this._post({ kind: 'streaming' })
        this._post({ kind: 'stream-ended' })
      }
    })
  }

  /** Parts of the wait of a stream that needed an adapter, for the log. */
  private _waitFields (): object {
    if (this._waits === undefined) return {}
    return { forAdapter: Math.round(this._waits.adapter), atDoor: Math.round(this._waits.admissionWait) }
  }

  private _closeExchange: () => void = () => {}

  private get _isStream (): boolean { return this._route.kind === 'stream' }

  private get _repeatable (): boolean {
    return this._route.kind === 'read-only' || (this._isStream && this._route.resumable)
  }

  /** Tells that this request may be what ends its upstream, if that turns out to have ended. */
  private _suspect (upstream: Upstream, broke: boolean): void {
    const answeredFor = this._dataHereSince === undefined ? 0 : this._dataAt! - this._dataHereSince
    if (mayHaveCausedTermination(answeredFor)) this._deps.answerLost(upstream, this.fingerprint, broke)
  }

  private _noteStall (upstream: Upstream, cause: string, after: Ms): void {
    if (this._over || this._stall === 'placing') return
    this._deps.log.info('request', 'stalled.', { request: this._call.facts.id, upstream: upstream.id, cause, lastEventId: this._lastEventId, after: Math.round(after) })
    if (this._stall === 'none') this._deps.exchanged(upstream, 'lost', undefined, after)
    this._stall = 'placing'
    this._suspect(upstream, false)
    this._post({ kind: 'stalled' })
  }

  /** Giving up an answer early helps only where another upstream may be asked. */
  private _firstByteTimeout (): Ms | undefined {
    if (this._isStream || !this._repeatable || this._sends >= this._route.maxAttempts) return undefined
    return Math.max(slowFloor, slowFactor * this._route.latencyTarget)
  }

  private _data (bytes: Buffer, lastEventId: number | undefined): void {
    if (this._over) return
    if (lastEventId !== undefined) this._lastEventId = lastEventId
    if (this._stall === 'placing') this._stall = 'over'
    if (this._stall === 'unplaced') this._stall = 'none'
    this._noteData()
    if (!this._answer.begun) {
      this._pending = bytes
      this._post({ kind: 'streaming' })
      return
    }
    this._write(bytes)
  }

  private _noteData (): void {
    const now = this._deps.clock.now()
    if (this._dataAt === undefined) this._firstData = now - this._call.arrivedAt
    else this._longestGap = Math.max(this._longestGap, now - this._dataAt)
    this._dataAt = now
    this._dataHereSince ??= now
  }

  private _write (bytes: Buffer): void {
    if (this._answer.data(bytes)) return
    const exchange = this._exchange
    exchange?.pause()
    this._answer.onDrain(() => exchange?.resume())
  }

  private _deliver (): void {
    if (this._head !== undefined) {
      this._answer.begin(this._head)
      if (this._pending !== undefined) this._write(this._pending)
      this._pending = undefined
      return
    }
    const whole = this._whole ?? this._held
    if (whole !== undefined) this._answer.whole(whole)
  }

  private _abandon (): void {
    this._exchange?.abandon()
    this._closeExchange()
  }

  private _end (end: RelayEnd, notRun = false): void {
    this._over = true
    this._cancelTimeout()
    // A non-idempotent request goes on at its upstream; its answer has nobody to go to.
    this._exchange?.ignore()
    this._closeExchange()
    if (end === 'delivered' && !this._answer.ended) this._answer.end()
    this._deps.over({ end, sends: this._sends, firstData: this._firstData, longestGap: this._longestGap, notRun })
  }
}

/**
 * One request to one upstream, and its answer.
 */
import { type ClientRequest, type IncomingMessage, request } from 'node:http'
import type { Socket } from 'node:net'
import { type AnswerFraming, type Clock, judgeAnswerHead, type Ms } from '@hazelford/core'
import type { UpstreamRefusal } from '@hazelford/decisions'
import type { AnswerMetadata, CallCodec, UpstreamNotice } from '@hazelford/ports'
import { afterReading } from '../after-reading.js'
import { connectionEnd, watchConnectionEnd } from '../connection-end.js'
import { limitOverhead, type Overhead } from '../overhead-limit.js'
import { type BodyMemory, BodyReservation } from './body-memory.js'
import { ByteBuffer } from './byte-buffer.js'
import type { ConnectionPool } from './connection-pool.js'
import { type DiscardLimits, discardRest } from './discard-rest.js'
import { EventFramer } from './event-framer.js'
import { endToEndHeaders } from './hop-headers.js'
import { describeUnprovedEnd, type UnprovedEnd } from './unproved-end.js'

/** Status line and headers of an answer. */
export interface AnswerHead {
  readonly status: number
  readonly message: string
  /** Header names and values in turn, without hop-by-hop headers. */
  readonly headers: string[]
  /**
   * Whether the answer declares where it ends. One that ends with its connection may have been cut short by a server
   * that crashed, if another process listens at its address.
   */
  readonly framed: boolean
}

/** A complete answer. */
export interface WholeAnswer extends AnswerHead { readonly body: Buffer }

/**
 * How an answer was lost.
 *
 * - `broke`: the connection ended, from either side.
 * - `unusable`: the answer was not the one expected.
 * - `other-software`: it may come from other software than the stream began at.
 */
export type LossKind = 'broke' | 'unusable' | 'other-software'

/**
 * What an upstream sent more of than a sound one does.
 *
 * - `head`: bytes before the head of its answer.
 * - `framing`: bytes between two parts of the body, or after the last one.
 * - `event`: one event of a stream.
 * - `not-a-stream`: an answer that is no stream, in place of one.
 * - `refusal`: the rest of a refusal.
 * - `discarded`: the rest of an answer that nobody needs; a sound one may be as large.
 */
export type ExcessForm = 'head' | 'framing' | 'event' | 'not-a-stream' | 'refusal' | 'discarded'

/** Why the connection of an exchange was closed although its upstream went on sending. */
export interface AnswerExcess {
  readonly form: ExcessForm
  /** Bytes that had been read by then. */
  readonly bytes: number
  /** Ms since the request was sent. */
  readonly after: Ms
}

/** Receives the events of an exchange. `refused`, `unreachable`, `lost`, `whole` and `end` are final. */
export interface ExchangeSink {
  /** The upstream's notice in the answer's head. */
  readonly noticed: (notice: UpstreamNotice) => void
  readonly refused: (refusal: UpstreamRefusal) => void
  readonly unreachable: (cause: string) => void
  /** `unproved`: set for an answer whose end is not believed. */
  readonly lost: (cause: string, kind: LossKind, unproved?: UnprovedEnd) => void
  /** The upstream is silent for longer than expected; the exchange goes on. */
  readonly stalled: (cause: string) => void
  readonly whole: (answer: WholeAnswer) => void
  /** The head of an answer that is passed on as it arrives. */
  readonly begin: (head: AnswerHead) => void
  readonly data: (bytes: Buffer, lastEventId: number | undefined) => void
  readonly end: () => void
  /** The connection was closed since too much arrived; also after the final event. */
  readonly exceeded: (excess: AnswerExcess) => void
}

/** What to send, and the time limits for its answer. */
export interface ExchangeRequest {
  readonly id: string
  readonly instance: string
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | undefined
  /** Ms after which the upstream stops working on it, as the request's headers tell the upstream. */
  readonly timeLimit: Ms
  /** Whether it may be retried after a reset. */
  readonly repeatable: boolean
  /** Whether a stream of events is expected. */
  readonly isStream: boolean
  /** Silence before the first event of a stream, or within a plain answer that is not passed on yet, after which it counts as stalled. */
  readonly firstDataSilence: Ms | undefined
  /** Silence between events after which a stream counts as stalled. */
  readonly gapSilence: Ms | undefined
  readonly lastEventId: number | undefined
  /** Whether it continues an answer of which its caller has a part, so that only further events can be passed on. */
  readonly continues: boolean
  /**
   * Verifies, for a stream that is resumed, that a connection leads to the software that began it; `openedAt`: when the
   * connection was opened. Undefined for other requests.
   */
  readonly verify: ((openedAt: Ms) => Promise<boolean>) | undefined
}

/** Answers up to this size are buffered until they are complete, so that a broken one can be replaced. */
const bufferLimit = 512 * 1024
/**
 * Time for which the head of an answer is still awaited after the exchange was abandoned. An upstream that refuses a
 * request answers within a few ms; its notice, such as a backoff, applies although the caller has left.
 */
const headGrace: Ms = 40
/**
 * Time beyond a request's time limit for which its connection is kept, if nobody waits for the answer. The upstream counts
 * the limit from the request's arrival there.
 */
const discardMargin: Ms = 500
/** Bytes of one event of a stream. */
const eventLimit = 2 * 1024 * 1024
/** Pieces in which one event, or an answer that is buffered, may arrive. Each of them costs far more time than a byte. */
const pieceLimit = 16 * 1024
/** Bytes of an incomplete event that are not counted against the memory for answers. */
const uncountedEventBytes = 64 * 1024
/**
 * Rest of a refusal that is read so that its connection can be used again. A new connection costs less than reading more; a
 * packet that is lost arrives within the time.
 */
const refusalRest: DiscardLimits = { bytes: 16 * 1024, time: 600 }
/** Bytes that an exchange reads in one turn of the event loop, so that one fast upstream can't keep others waiting. */
const turnShare = 64 * 1024
/** Bytes that could be read in the time that a piece takes in addition to its bytes. */
const pieceCost = 256
const badGatewayStatus = 500
const otherInstanceStatus = 421
const eventStream = 'text/event-stream'

function isFramed ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function isSuccess ({ statusCode = badGatewayStatus }: IncomingMessage): boolean { return statusCode < 300 }

/** An exchange in progress. */
export class Exchange {
  private readonly _req: ClientRequest
  private _res: IncomingMessage | undefined
  private _over = false
  private _begun = false
  /** Whether the events of a stream arrive. */
  private _readsEvents = false
  private _sent = false
  private _openedAt: Ms | undefined
  private _verified: Promise<boolean> | undefined
  private _abandoned = false
  private _discarding = false
  private _cancelTimer: (() => void) | undefined
  private readonly _startedAt: Ms
  private readonly _overhead: Overhead
  private readonly _reservation: BodyReservation
  /** Whether it was paused by {@link pause}. */
  private _isPaused = false
  /** Whether it goes on in the next turn of the event loop. */
  private _isYielding = false
  private _readInTurn = 0
  private _hasExceeded = false
  private _socket: Socket | undefined
  /** Whether all of the answer was read, and its end is yet to be proved. */
  private _isProving = false
  private _framing: AnswerFraming = 'connection'

  /** @param _isRunning - whether the process of the upstream at an address goes on running */
  constructor (
    private readonly _clock: Clock,
    private readonly _codec: CallCodec,
    private readonly _pool: ConnectionPool,
    private readonly _call: ExchangeRequest,
    private readonly _sink: ExchangeSink,
    answerMemory: BodyMemory,
    private readonly _isRunning: (host: string, port: number) => Promise<boolean>
  ) {
    this._startedAt = _clock.now()
    this._reservation = new BodyReservation(answerMemory)
    const { method, path, host, port, headers, body } = _call
    const framed = body === undefined ? headers : [...headers, 'Content-Length', String(body.length)]
    this._req = request({ agent: _pool.agent(_call.repeatable), host, port, method, path, headers: framed })
    this._overhead = limitOverhead(this._req, res => this._exceeded(res === undefined ? 'head' : 'framing', this._overhead.bytes))
    this._req.on('socket', socket => {
      this._socket = socket
      watchConnectionEnd(socket)
      const markSent = (): void => this._recordConnection(_pool.openedAt(socket) ?? _clock.now())
      if (socket.connecting) socket.once('connect', markSent)
      else markSent()
    })
    this._req.on('response', res => this._respond(res))
    this._req.on('upgrade', (_, socket) => {
      socket.destroy()
      this._endAsLost('The upstream changed the protocol, which no request asks for.')
    })
    this._req.on('error', error => this._failed(error.message))
    this._req.on('close', () => this._failed('The connection closed without an answer.'))
    this._req.end(body)
    this._watchSilence(_call.firstDataSilence, 'No answer')
  }

  /** When its connection was opened; undefined before that. */
  get openedAt (): Ms | undefined { return this._openedAt }

  private _recordConnection (openedAt: Ms): void {
    this._sent = true
    this._openedAt = openedAt
    this._verified = this._call.verify?.(openedAt)
  }

  /** Closes the connection, soon if the head of the answer may be on its way; the sink receives its notice at most. */
  abandon (): void {
    if (this._over) return
    this._finish()
    this._abandoned = true
    // On a busy host the timer may fire in the turn of the event loop in which the head is about to be read.
    if (this._res === undefined && this._sent) this._cancelTimer = this._clock.after(headGrace, () => setImmediate(() => setImmediate(() => this._closeUnanswered())))
    else this._req.destroy()
  }

  private _closeUnanswered (): void { if (!this._discarding) this._req.destroy() }

  /** Discards the answer but for its notice, and lets the upstream finish the request within its time limit. */
  ignore (): void {
    if (this._over) return
    this._finish()
    this._isPaused = false
    if (this._isProving) return
    if (this._res !== undefined) return this._discardRest(this._res, this._ignoredRest, 'discarded')
    const cancel = this._clock.after(this._discardTime, () => this._closeUnanswered())
    this._req.once('close', cancel)
  }

  /** Ms until the upstream has ended its answer if it keeps the request's time limit. */
  private get _discardTime (): Ms {
    return Math.max(0, this._startedAt + this._call.timeLimit + discardMargin - this._clock.now())
  }

  /** The rest of an answer to a request that its upstream may still run; closing its connection would end the run. */
  private get _ignoredRest (): DiscardLimits { return { bytes: bufferLimit, time: this._discardTime } }

  private _discardRest (res: IncomingMessage, limits: DiscardLimits, form: 'refusal' | 'discarded'): void {
    res.on('error', () => this._req.destroy())
    if (Number(res.headers['content-length'] ?? 0) > limits.bytes) {
      this._req.destroy()
      return
    }
    discardRest(res, this._clock, limits, () => this._overhead.bodyRead(), bytes => this._exceeded(form, bytes))
  }

  /** Closes the connection, since its upstream sends too much; without that it might never end. */
  private _exceeded (form: ExcessForm, bytes: number): void {
    if (this._hasExceeded) return
    this._hasExceeded = true
    this._sink.exceeded({ form, bytes, after: this._clock.now() - this._startedAt })
    this._endAsLost(`Too many bytes (${form}).`)
    this._req.destroy()
  }

  /** Stops reading; silence does not count until it goes on. */
  pause (): void {
    this._cancelTimer?.()
    this._isPaused = true
    this._res?.pause()
  }

  resume (): void {
    if (this._over || this._isProving) return
    if (this._readsEvents) this._watchSilence(this._call.gapSilence, 'No further event')
    this._isPaused = false
    if (!this._isYielding) this._res?.resume()
  }

  /** Records bytes that were read, and stops reading until the next turn of the event loop once its share is used. */
  private _useTurn (res: IncomingMessage, bytes: number): void {
    this._overhead.bodyRead()
    this._readInTurn += Math.max(bytes, pieceCost)
    if (this._readInTurn < turnShare || this._isYielding) return
    this._isYielding = true
    res.pause()
    setImmediate(() => {
      this._isYielding = false
      this._readInTurn = 0
      if (!this._isPaused) res.resume()
    })
  }

  private _finish (): void {
    this._over = true
    this._cancelTimer?.()
    this._reservation.release()
  }

  /** Reports silence to the sink, repeatedly for as long as it lasts. */
  private _watchSilence (limit: Ms | undefined, what: string): void {
    this._cancelTimer?.()
    if (limit === undefined) return
    this._cancelTimer = afterReading(this._clock, limit, () => {
      this._watchSilence(limit, what)
      this._sink.stalled(`${what} within ${Math.round(limit)} ms.`)
    })
  }

  /** Ends the exchange as lost, since its answer can no longer be received. */
  private _endAsLost (cause: string, kind: LossKind = 'unusable', unproved?: UnprovedEnd): void {
    if (this._over) return
    this._finish()
    this._req.destroy()
    this._sink.lost(cause, kind, unproved)
  }

  private _failed (cause: string): void {
    if (this._over) return
    // The answer is complete, and the rest of it waits to be read: its connection is not needed any more.
    if (this._res?.complete === true) return
    if (this._sent) {
      this._endAsLost(cause, 'broke')
      return
    }
    this._finish()
    this._req.destroy()
    this._sink.unreachable(cause)
  }

  private _respond (res: IncomingMessage): void {
    const head = judgeAnswerHead(this._call.method, res.statusCode ?? 0, res.rawHeaders, res.statusMessage)
    if (head.kind === 'invalid') {
      this._endAsLost(`The head is not that of an answer (${head.problem}).`)
      this._req.destroy()
      return
    }
    this._framing = head.framing
    const facts = this._codec.readAnswer(res.statusCode ?? 0, res.rawHeaders)
    if (this._over) return this._discard(res, facts)
    this._res = res
    // A late answer to an earlier request on the same connection can arrive in place of the answer to this one, and the
    // caller would get another caller's answer. The request id in the answer tells them apart.
    if (facts.requestId !== undefined && facts.requestId !== this._call.id) return this._endAsLost(`The answer is to request ${facts.requestId}.`)
    this._recordIdleTimeout(res)
    if (!this._isOtherInstance(res, facts)) this._sink.noticed(facts.notice)
    if (facts.notRun) return this._refused(res, this._isOtherInstance(res, facts))
    if (facts.requestId === undefined || !facts.sealed) return this._endAsLost('The answer lacks its request id or its seal.')
    if (isSuccess(res) && String(res.headers['content-type']).startsWith(eventStream)) this._readVerifiedEvents(res)
    else this._readBody(res)
  }

  /** Handles an answer that is not needed any more: only its notice applies. */
  private _discard (res: IncomingMessage, facts: AnswerMetadata): void {
    this._cancelTimer?.()
    this._discarding = true
    const isOwn = facts.requestId === undefined || facts.requestId === this._call.id
    if (isOwn && !this._isOtherInstance(res, facts)) this._sink.noticed(facts.notice)
    if (this._abandoned && !facts.notRun) {
      this._req.destroy()
      return
    }
    if (this._abandoned) this._discardRest(res, refusalRest, 'refusal')
    else this._discardRest(res, this._ignoredRest, 'discarded')
  }

  /** Whether another upstream instance answers at this address. */
  private _isOtherInstance (res: IncomingMessage, { instance }: AnswerMetadata): boolean {
    return res.statusCode === otherInstanceStatus && instance !== this._call.instance
  }

  private _recordIdleTimeout (res: IncomingMessage): void {
    const match = /timeout=(\d+)/.exec(String(res.headers['keep-alive']))
    if (match !== null) this._pool.setIdleTimeout(Number(match[1]))
  }

  private _refused (res: IncomingMessage, otherInstance: boolean): void {
    this._finish()
    this._discardRest(res, refusalRest, 'refusal')
    if (otherInstance) this._sink.refused('other-instance')
    else this._sink.refused(res.statusCode === otherInstanceStatus ? 'adapter-missing' : 'full')
  }

  private _head (res: IncomingMessage): AnswerHead {
    return { status: res.statusCode ?? badGatewayStatus, message: res.statusMessage ?? '', headers: endToEndHeaders(res.rawHeaders), framed: isFramed(res) }
  }

  private _readBody (res: IncomingMessage): void {
    const body = new ByteBuffer()
    let pieces = 0
    let isFlushing = false
    const flush = (): void => {
      isFlushing = false
      if (!this._over && body.size > 0) this._sink.data(body.take(), undefined)
    }
    res.on('data', (chunk: Buffer) => {
      this._useTurn(res, chunk.length)
      if (this._over) return
      body.push(chunk)
      if (!this._begun && (body.size > bufferLimit || ++pieces > pieceLimit)) this._beginLargeBody(res, body.size)
      if (!this._begun || isFlushing) return
      isFlushing = true
      // The parts of one read are passed on as one, however small they are.
      process.nextTick(flush)
    })
    res.on('end', () => {
      if (this._begun) flush()
      this._ended(res, () => {
        if (this._begun) this._sink.end()
        else this._sink.whole({ ...this._head(res), body: body.take() })
      })
    })
    this._watchBreaks(res)
  }

  /** Handles an answer that is too large to be buffered as a whole: it is passed on from now on, if it can be the expected one. */
  private _beginLargeBody (res: IncomingMessage, bytes: number): void {
    if (this._call.continues) return this._endAsLost('The answer is not the rest of the stream.')
    if (this._call.isStream && isSuccess(res)) return this._exceeded('not-a-stream', bytes)
    this._cancelTimer?.()
    this._begin(res)
  }

  /** Reads no event before it is certain that the software which began the stream sends it. */
  private _readVerifiedEvents (res: IncomingMessage): void {
    this._watchBreaks(res)
    if (this._verified === undefined) return this._readEvents(res)
    this._verified.then(isVerified => {
      if (this._over) return
      if (isVerified) this._readEvents(res)
      else this._endAsLost('The upstream may have restarted with other software.', 'other-software')
    }, (error: Error) => this._endAsLost(error.message))
  }

  private _readEvents (res: IncomingMessage): void {
    const framer = new EventFramer(this._call.lastEventId)
    res.on('data', (chunk: Buffer) => {
      this._useTurn(res, chunk.length)
      if (this._over) return
      const events = framer.push(chunk)
      if (!this._hasRoomForEvent(framer)) return this._exceeded('event', framer.restBytes)
      if (events === undefined) return
      if (!events.inOrder) return this._endAsLost('The event ids are out of order.')
      this._readsEvents = true
      this._watchSilence(this._call.gapSilence, 'No further event')
      this._begin(res)
      this._sink.data(events.bytes, events.lastId)
    })
    res.on('end', () => this._ended(res, () => {
      if (framer.restBytes > 0) return this._sink.lost('The stream ended within an event.', 'broke')
      if (!this._begun) this._sink.begin(this._head(res))
      this._sink.end()
    }))
  }

  /** Whether an incomplete event of a size is within its own limit, and within that of all answers together. */
  private _hasRoomForEvent ({ restBytes: bytes, restPieces }: EventFramer): boolean {
    if (restPieces > pieceLimit) return false
    if (bytes <= uncountedEventBytes) {
      this._reservation.release()
      return true
    }
    // The buffer of the event is up to twice as large.
    return bytes <= eventLimit && this._reservation.growTo(2 * bytes)
  }

  private _begin (res: IncomingMessage): void {
    if (this._begun) return
    this._begun = true
    this._sink.begin(this._head(res))
  }

  private _ended (res: IncomingMessage, done: () => void): void {
    if (this._over) return
    // The event `end` also follows a body that was cut short, which must not be passed on as complete.
    if (!res.complete) return this._endAsLost('The answer was cut short.', 'broke')
    if (this._framing !== 'connection') {
      this._finish()
      return done()
    }
    this._proveEnd(() => {
      this._finish()
      done()
    })
  }

  /**
   * Proves the end of an answer that only its connection marks: by how the connection ended, and by the upstream, since
   * the kernel of a process that terminates ends its connections in an orderly way.
   *
   * @param proved - is called unless the answer is lost, or the exchange ends before
   */
  private _proveEnd (proved: () => void): void {
    const end = connectionEnd(this._socket)
    if (end !== 'orderly') return this._endUnproved(end)
    this._isProving = true
    this._cancelTimer?.()
    this._isRunning(this._call.host, this._call.port).then(isRunning => {
      if (this._over) return
      if (isRunning) proved()
      else this._endUnproved('not-running')
    }, (error: Error) => this._endAsLost(error.message, 'broke', 'unknown'))
  }

  private _endUnproved (end: UnprovedEnd): void { this._endAsLost(describeUnprovedEnd(end), 'broke', end) }

  private _watchBreaks (res: IncomingMessage): void {
    res.on('aborted', () => this._endAsLost('The connection broke within the answer.', 'broke'))
    res.on('error', error => this._endAsLost(error.message, 'broke'))
  }
}

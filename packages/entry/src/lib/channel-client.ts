/**
 * The entry's end of a channel to one sidecar.
 */
import { ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js'
import { type CancelTimer, type Clock, type ConfigDocument, type EventRing, failure, type FailureCode, type HybridClock, type Log, type Ms } from '@hazelford/core'
import { fullJitter } from '@hazelford/decisions'
import { ChannelClient as GrpcClient, channelOptions, type ChunkGroup, type EntryBatch, type EntryFrame, FrameBatcher, type Request, type SidecarBatch, type SidecarFrame, type SidecarHeartbeat, toWireDocument, type Welcome } from '@hazelford/wire'
import type { AnswerReceiver, Attempt } from './answer-receiver.js'
import { creditChunks, OpenAttempt } from './open-attempt.js'

/** A request as the channel sends it; the channel adds number, credit and time left. */
export type RequestFields = Omit<Request, 'seq' | 'credit' | 'deadlineMs'>

/** What a channel tells its entry. */
export interface ChannelEvents {
  readonly up: (welcome: Welcome) => void
  readonly heartbeat: (report: SidecarHeartbeat) => void
  /** No connection, or no word for too long. */
  readonly silent: () => void
  readonly config: (doc: ConfigDocument) => void
}

/** What a channel works with. */
export interface ChannelOptions {
  readonly entry: string
  readonly incarnation: string
  readonly zone: string
  /** `host:port` of the sidecar. */
  readonly target: string
  readonly clock: Clock
  readonly hlc: HybridClock
  readonly log: Log
  readonly events: EventRing
  readonly revision: () => number
  readonly document: () => ConfigDocument | undefined
  readonly heartbeatMs?: Ms
  readonly credentials?: ChannelCredentials
}

/** How long an answer that has begun, or a call that must not run twice, waits for a reconnect. */
const resumeGraceMs: Ms = 3_000
const reconnectBackoff = { base: 50, cap: 1_000 }
const defaultHeartbeatMs: Ms = 250
const suspectBeats = 4
const deadBeats = 20
/** Chunks passed on before an acknowledgement is due. */
const ackEvery = creditChunks / 4

type Stream = ClientDuplexStream<EntryBatch, SidecarBatch>

/** One long-lived channel. */
export class ChannelClient {
  private readonly _grpc: GrpcClient
  private readonly _open = new Map<number, OpenAttempt>()
  private _stream: Stream | undefined
  private _batcher: FrameBatcher<EntryFrame> | undefined
  private _connected = false
  private _welcomes = 0
  private _peerIncarnation = ''
  private _seq = 0
  private _failures = 0
  private _lastHeard: Ms = 0
  private _closed = false
  private _grace: CancelTimer | undefined

  constructor (private readonly _options: ChannelOptions, private readonly _events: ChannelEvents) {
    this._grpc = new GrpcClient(_options.target, _options.credentials ?? ChannelCredentials.createInsecure(), channelOptions)
    this._connect()
    this._beat()
  }

  /** Whether the sidecar has welcomed this entry on the current connection. */
  get connected (): boolean { return this._connected }

  /** How often the sidecar has welcomed this entry. */
  get welcomes (): number { return this._welcomes }

  /** Attempts that wait for their end. */
  get openAttempts (): number { return this._open.size }

  /**
   * Sends a request.
   *
   * @param fields - the request
   * @param deadlineAt - on the entry's clock
   * @param receiver - hears the answer
   */
  send (fields: RequestFields, deadlineAt: Ms, receiver: AnswerReceiver): Attempt {
    const seq = ++this._seq
    const request: Request = { ...fields, seq, credit: creditChunks, deadlineMs: deadlineAt - this._options.clock.now() }
    const attempt = new OpenAttempt(request, deadlineAt, receiver)
    this._open.set(seq, attempt)
    if (this._connected) this._write({ body: { $case: 'request', value: request } })
    let confirmed = 0
    return {
      withdraw: reason => this._withdraw(seq, attempt, reason),
      confirm: received => {
        if (received - confirmed < ackEvery) return
        confirmed = received
        this._write({ body: { $case: 'ack', value: { seq, received, done: false } } })
      },
      close: () => this._finish(seq)
    }
  }

  /** Tells the sidecar of a newer configuration. */
  sendConfig (doc: ConfigDocument): void {
    if (this._connected) this._write({ body: { $case: 'config', value: toWireDocument(doc) } })
  }

  /** Cuts the connection without a word; it comes back by itself. For tests. */
  cut (): void { this._stream?.cancel() }

  /** Closes for good. Attempts still open end as lost. */
  close (): void {
    this._closed = true
    this._batcher?.close()
    this._stream?.end()
    this._failOpen('channel-lost', 'The channel was closed.')
    this._grpc.close()
  }

  private _write (frame: EntryFrame): void { this._batcher?.send(frame) }

  private _finish (seq: number): void {
    const attempt = this._open.get(seq)
    if (attempt === undefined) return
    attempt.close()
    this._open.delete(seq)
    this._write({ body: { $case: 'ack', value: { seq, received: attempt.received, done: true } } })
  }

  private _withdraw (seq: number, attempt: OpenAttempt, reason: 'deadline' | 'caller-gone'): void {
    attempt.withdrawn = true
    this._write({ body: { $case: 'withdraw', value: { seq, reason } } })
  }

  private _connect (): void {
    if (this._closed) return
    const { hlc, entry, incarnation, zone, revision } = this._options
    const stream = this._grpc.open()
    this._stream = stream
    const batcher = new FrameBatcher<EntryFrame>({ write: frames => stream.write({ hlc: hlc.tick(), frames }) })
    this._batcher = batcher
    stream.on('drain', () => batcher.drained())
    stream.on('data', (batch: SidecarBatch) => this._batch(batch))
    stream.on('error', () => this._lost(stream))
    stream.on('end', () => this._lost(stream))
    const open = [...this._open].map(([seq, attempt]) => ({ seq, received: attempt.received }))
    this._write({ body: { $case: 'hello', value: { entry, incarnation, zone, revision: revision(), open } } })
  }

  private _batch (batch: SidecarBatch): void {
    this._lastHeard = this._options.clock.now()
    if (batch.hlc !== undefined) this._options.hlc.observe(batch.hlc)
    for (const frame of batch.frames) this._frame(frame)
  }

  private _frame (frame: SidecarFrame): void {
    const { body } = frame
    switch (body?.$case) {
      case 'welcome': return this._welcome(body.value)
      case 'head': return this._open.get(body.value.seq)?.receiveHead(body.value)
      case 'chunks': return this._takeChunks(body.value)
      case 'end': return this._end(body.value.seq, attempt => attempt.receiveEnd(body.value))
      case 'heartbeat':
        if (this._connected) this._events.heartbeat(body.value)
        this._offerConfig(body.value.revision)
        return
      case 'config': return this._events.config(body.value as ConfigDocument)
      case undefined:
    }
  }

  private _takeChunks ({ seqs, indexes, data }: ChunkGroup): void {
    for (let i = 0; i < seqs.length; i++) this._open.get(seqs[i]!)?.receiveChunk(indexes[i]!, data[i]!)
  }

  private _end (seq: number, take: (attempt: OpenAttempt) => void): void {
    const attempt = this._open.get(seq)
    if (attempt === undefined) {
      // The request was given up here meanwhile; the sidecar need not keep its answer.
      this._write({ body: { $case: 'ack', value: { seq, received: 0, done: true } } })
      return
    }
    take(attempt)
  }

  private _offerConfig (revision: number): void {
    const doc = this._options.document()
    if (doc !== undefined && doc.revision > revision) this.sendConfig(doc)
  }

  private _welcome (welcome: Welcome): void {
    const { events, clock } = this._options
    this._failures = 0
    this._welcomes++
    this._connected = true
    this._lastHeard = clock.now()
    this._grace?.()
    const known = welcome.incarnation === this._peerIncarnation && welcome.resumed
    this._peerIncarnation = welcome.incarnation
    events.add('channel-open', { peer: welcome.sidecar, upstream: welcome.upstream })
    if (known) this._resume(welcome)
    else this._failOpen('sidecar-restarted', 'The sidecar restarted while it had the request.')
    this._events.up(welcome)
    this._offerConfig(welcome.revision)
  }

  /**
   * Settles open attempts after a reconnect.
   *
   * The sidecar names the highest request it took. What lies above never reached it
   * and is sent again; what it still holds goes on from the last chunk. (The idea of a
   * reconnecting party reporting its highest sequence number, so that the rest can be
   * replayed, is StarFish's: Gabber et al., USENIX 2003.)
   */
  private _resume (welcome: Welcome): void {
    const held = new Set(welcome.open)
    const { clock } = this._options
    for (const [seq, attempt] of [...this._open]) {
      if (seq > welcome.highestSeq) {
        if (attempt.withdrawn) attempt.fail(failure('not-run', 'withdrawn', 'The request was withdrawn before it was sent.'))
        else this._write({ body: { $case: 'request', value: { ...attempt.request, deadlineMs: attempt.deadlineAt - clock.now() } } })
      } else if (!held.has(seq)) {
        attempt.fail(failure('may-have-run', 'channel-lost', 'The channel broke and the sidecar no longer holds the request.'))
      } else if (attempt.withdrawn) {
        this._write({ body: { $case: 'withdraw', value: { seq, reason: 'deadline' } } })
      }
    }
  }

  private _lost (stream: Stream): void {
    if (this._stream !== stream) return
    this._stream = undefined
    this._batcher = undefined
    const { clock, events, log, target } = this._options
    if (this._connected) {
      log.warn('channel', 'channel lost.', { target, open: this._open.size })
      events.add('channel-lost', { peer: target })
      this._startGrace()
    }
    this._connected = false
    this._events.silent()
    if (this._closed) return
    this._failures++
    clock.after(fullJitter(this._failures, reconnectBackoff, Math.random), () => this._connect())
  }

  private _startGrace (): void {
    const lost = failure('may-have-run', 'channel-lost', 'The channel to the sidecar broke and did not come back in time.')
    for (const [seq, attempt] of [...this._open]) {
      // Waiting for a reconnect costs time; another upstream can answer at once when
      // running twice does no harm and the caller has seen nothing yet.
      if (!attempt.request.idempotent || attempt.begun) continue
      this._open.delete(seq)
      attempt.fail(lost)
    }
    this._grace?.()
    this._grace = this._options.clock.after(resumeGraceMs, () => {
      if (!this._connected) this._failOpen('channel-lost', lost.message)
    })
  }

  private _failOpen (code: FailureCode, message: string): void {
    for (const [seq, attempt] of [...this._open]) {
      this._open.delete(seq)
      attempt.fail(failure('may-have-run', code, message))
    }
  }

  private _beat (): void {
    if (this._closed) return
    const { clock, revision } = this._options
    const interval = this._options.heartbeatMs ?? defaultHeartbeatMs
    if (this._connected) {
      this._write({ body: { $case: 'heartbeat', value: { revision: revision() } } })
      const quiet = clock.now() - this._lastHeard
      // Silence stops new work. It says nothing of requests that are open there.
      if (quiet > interval * suspectBeats) this._events.silent()
      // A peer that vanished without closing leaves a connection that never fails by itself.
      if (quiet > interval * deadBeats) this._stream?.cancel()
    }
    clock.after(interval, () => this._beat())
  }
}

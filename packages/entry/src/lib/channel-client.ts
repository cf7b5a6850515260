/**
 * Client side of a channel: the connection of an entry to one sidecar.
 */
import { ChannelCredentials, type ClientDuplexStream } from '@grpc/grpc-js'
import { type CancelTimer, type Clock, type ConfigDocument, type EventRing, failure, type FailureCode, type HybridClock, type Log, type Ms } from '@hazelford/core'
import { fullJitter } from '@hazelford/decisions'
import { ChannelClient as GrpcClient, channelOptions, type ChunkGroup, type EntryBatch, type EntryFrame, FrameBatcher, type Request, type SidecarBatch, type SidecarFrame, type SidecarHeartbeat, toWireDocument, type Welcome } from '@hazelford/wire'
import type { AnswerReceiver, Attempt } from './answer-receiver.js'
import { creditChunks, OpenAttempt } from './open-attempt.js'

/** Fields of a request to send; the channel adds sequence number, credit and remaining time. */
export type RequestFields = Omit<Request, 'seq' | 'credit' | 'deadlineMs'>

/** Callbacks by which a channel notifies its entry. */
export interface ChannelEvents {
  readonly up: (welcome: Welcome) => void
  readonly heartbeat: (report: SidecarHeartbeat) => void
  /** The connection is lost, or no frame has arrived for four heartbeat intervals. */
  readonly silent: () => void
  readonly config: (doc: ConfigDocument) => void
}

/** Settings and dependencies of a channel. */
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

/** How long an answer that has begun, or a call that is not idempotent, waits for a reconnect. */
const resumeGraceMs: Ms = 3_000
/** How long an idempotent request without any part of its answer waits for a reconnect, unless that fails sooner. */
const repeatableGraceMs: Ms = 400
const reconnectBackoff = { base: 50, cap: 1_000 }
const defaultHeartbeatMs: Ms = 250
const suspectAfterHeartbeats = 4
const disconnectAfterHeartbeats = 20
const notRestored = 'The channel to the sidecar broke and was not restored in time.'
/** Chunks forwarded to the caller between two acknowledgements. */
const ackEvery = creditChunks / 4

type Stream = ClientDuplexStream<EntryBatch, SidecarBatch>

/** One long-lived channel, which reconnects by itself. */
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
  private _lastReceivedAt: Ms = 0
  private _closed = false
  private _grace: readonly CancelTimer[] = []

  constructor (private readonly _options: ChannelOptions, private readonly _events: ChannelEvents) {
    this._grpc = new GrpcClient(_options.target, _options.credentials ?? ChannelCredentials.createInsecure(), channelOptions)
    this._connect()
    this._heartbeat()
  }

  /** Whether the sidecar has welcomed this entry on the current connection. */
  get connected (): boolean { return this._connected }

  /** Number of times the sidecar has welcomed this entry. */
  get welcomes (): number { return this._welcomes }

  /** Number of attempts that have not ended. */
  get openAttempts (): number { return this._open.size }

  /**
   * Sends a request.
   *
   * @param fields - the request
   * @param deadlineAt - deadline on the entry's clock
   * @param receiver - receives the answer
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

  /** Sends a newer configuration to the sidecar. */
  sendConfig (doc: ConfigDocument): void {
    if (this._connected) this._write({ body: { $case: 'config', value: toWireDocument(doc) } })
  }

  /** Breaks the connection without closing it; the channel reconnects by itself. For tests. */
  cut (): void { this._stream?.cancel() }

  /** Closes the channel permanently; open attempts fail as `channel-lost`. */
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
    stream.on('data', (batch: SidecarBatch) => this._receiveBatch(batch))
    stream.on('error', () => this._connectionLost(stream))
    stream.on('end', () => this._connectionLost(stream))
    const open = [...this._open].map(([seq, attempt]) => ({ seq, received: attempt.received }))
    this._write({ body: { $case: 'hello', value: { entry, incarnation, zone, revision: revision(), open } } })
  }

  private _receiveBatch (batch: SidecarBatch): void {
    this._lastReceivedAt = this._options.clock.now()
    if (batch.hlc !== undefined) this._options.hlc.observe(batch.hlc)
    for (const frame of batch.frames) this._receiveFrame(frame)
  }

  private _receiveFrame (frame: SidecarFrame): void {
    const { body } = frame
    switch (body?.$case) {
      case 'welcome': return this._welcome(body.value)
      case 'head': return this._open.get(body.value.seq)?.receiveHead(body.value)
      case 'chunks': return this._receiveChunks(body.value)
      case 'end': return this._receiveEnd(body.value.seq, attempt => attempt.receiveEnd(body.value))
      case 'heartbeat':
        if (this._connected) this._events.heartbeat(body.value)
        this._sendConfigIfNewer(body.value.revision)
        return
      case 'config': return this._events.config(body.value as ConfigDocument)
      case undefined:
    }
  }

  private _receiveChunks ({ seqs, indexes, data }: ChunkGroup): void {
    for (let i = 0; i < seqs.length; i++) this._open.get(seqs[i]!)?.receiveChunk(indexes[i]!, data[i]!)
  }

  private _receiveEnd (seq: number, receive: (attempt: OpenAttempt) => void): void {
    const attempt = this._open.get(seq)
    if (attempt === undefined) {
      // The attempt has been closed here meanwhile; the acknowledgement lets the sidecar discard its answer.
      this._write({ body: { $case: 'ack', value: { seq, received: 0, done: true } } })
      return
    }
    receive(attempt)
  }

  private _sendConfigIfNewer (revision: number): void {
    const doc = this._options.document()
    if (doc !== undefined && doc.revision > revision) this.sendConfig(doc)
  }

  private _welcome (welcome: Welcome): void {
    const { events, clock } = this._options
    this._failures = 0
    this._welcomes++
    this._connected = true
    this._lastReceivedAt = clock.now()
    this._endGrace()
    const isResumed = welcome.incarnation === this._peerIncarnation && welcome.resumed
    this._peerIncarnation = welcome.incarnation
    events.add('channel-open', { peer: welcome.sidecar, upstream: welcome.upstream })
    if (isResumed) this._resume(welcome)
    else this._failOpen('sidecar-restarted', 'The sidecar restarted while the request was open.')
    this._events.up(welcome)
    this._sendConfigIfNewer(welcome.revision)
  }

  /**
   * Resumes or fails the open attempts after a reconnect.
   *
   * The sidecar sends the highest sequence number it has received. Requests above it never
   * arrived and are sent again; requests that the sidecar still has continue after the last
   * chunk received. (This follows StarFish, where a reconnecting party reports its highest
   * sequence number, so that the rest can be replayed: Gabber et al., USENIX 2003.)
   */
  private _resume (welcome: Welcome): void {
    const openAtSidecar = new Set(welcome.open)
    const { clock } = this._options
    for (const [seq, attempt] of [...this._open]) {
      if (seq > welcome.highestSeq) {
        if (attempt.withdrawn) attempt.fail(failure('not-run', 'withdrawn', 'The request was withdrawn before it was sent.'))
        else this._write({ body: { $case: 'request', value: { ...attempt.request, deadlineMs: attempt.deadlineAt - clock.now() } } })
      } else if (!openAtSidecar.has(seq)) {
        attempt.fail(failure('may-have-run', 'channel-lost', 'The channel broke and the sidecar no longer has the request.'))
      } else if (attempt.withdrawn) {
        this._write({ body: { $case: 'withdraw', value: { seq, reason: 'deadline' } } })
      }
    }
  }

  private _connectionLost (stream: Stream): void {
    if (this._stream !== stream) return
    this._stream = undefined
    this._batcher = undefined
    const { clock, events, log, target } = this._options
    if (this._connected) {
      log.warn('channel', 'channel lost.', { target, open: this._open.size })
      events.add('channel-lost', { peer: target })
      this._startGrace()
    } else {
      this._failRepeatable()
    }
    this._connected = false
    this._events.silent()
    if (this._closed) return
    this._failures++
    clock.after(fullJitter(this._failures, reconnectBackoff, Math.random), () => this._connect())
  }

  /** A broken channel does not end the requests at the sidecar: they have time to go on over the next connection. */
  private _startGrace (): void {
    const { clock } = this._options
    this._endGrace()
    this._grace = [
      clock.after(repeatableGraceMs, () => { if (!this._connected) this._failRepeatable() }),
      clock.after(resumeGraceMs, () => { if (!this._connected) this._failOpen('channel-lost', notRestored) })
    ]
  }

  private _endGrace (): void {
    for (const cancel of this._grace) cancel()
    this._grace = []
  }

  /** Fails idempotent requests without any part of their answers, so that the entry can send them to another upstream. */
  private _failRepeatable (): void {
    for (const [seq, attempt] of [...this._open]) {
      if (!attempt.request.idempotent || attempt.begun) continue
      this._open.delete(seq)
      attempt.fail(failure('may-have-run', 'channel-lost', notRestored))
    }
  }

  private _failOpen (code: FailureCode, message: string): void {
    for (const [seq, attempt] of [...this._open]) {
      this._open.delete(seq)
      attempt.fail(failure('may-have-run', code, message))
    }
  }

  private _heartbeat (): void {
    if (this._closed) return
    const { clock, revision } = this._options
    const interval = this._options.heartbeatMs ?? defaultHeartbeatMs
    if (this._connected) {
      this._write({ body: { $case: 'heartbeat', value: { revision: revision() } } })
      const silence = clock.now() - this._lastReceivedAt
      // A silent sidecar gets no new requests. Its open requests may still be running, so they are kept.
      if (silence > interval * suspectAfterHeartbeats) this._events.silent()
      // The connection to a peer that vanished without closing it never fails by itself.
      if (silence > interval * disconnectAfterHeartbeats) this._stream?.cancel()
    }
    clock.after(interval, () => this._heartbeat())
  }
}

/**
 * Client of a model engine.
 *
 * Protocol: vLLM's OpenAI-compatible server with dynamic loading and unloading of LoRA adapters.
 * Streams carry event ids, and `GET /v1/streams/:id` with `Last-Event-ID` resumes one.
 */
import { failure } from '@hazelford/core'
import { Sequencer } from '@hazelford/decisions'
import { ResultAsync } from 'neverthrow'
import { Pool } from 'undici'
import type { AnswerSink, CallHandle } from './answer-sink.js'
import { answerHeaders } from './headers.js'
import { type HttpHandle, startHttpCall } from './http-call.js'
import { readText } from './read-text.js'
import { SseSplitter } from './sse-splitter.js'
import { connectUpstream } from './upstream-socket.js'

/** Outcome of a load or unload order. */
export type OrderOutcome = 'done' | 'absent' | 'failed' | 'fenced' | 'no-slot' | 'unknown'

/** The adapters that the engine lists. */
export interface EngineListing {
  /** Engine-side names of loaded adapters. */
  readonly names: readonly string[]
}

/** A completion to run. */
export interface CompletionCall {
  /** Unique id of the attempt, by which its stream is resumed or cancelled. */
  readonly id: string
  readonly path: string
  /** The caller's JSON body. */
  readonly body: Uint8Array
  /** Engine-side name of the adapter that must run. */
  readonly engineName: string
  /** Adapter name for the caller, which replaces the engine-side name in the answer. */
  readonly publicName: string
  /** Scheduling priority in the engine; lower values run first. */
  readonly priority: number
}

/** Operations of a model engine that the sidecar uses. */
export interface EngineClient {
  readonly list: () => ResultAsync<EngineListing, string>
  readonly load: (engineName: string, path: string, fencingNumber: number) => Promise<OrderOutcome>
  readonly unload: (engineName: string, fencingNumber: number) => Promise<OrderOutcome>
  readonly complete: (call: CompletionCall, sink: AnswerSink) => CallHandle
  readonly close: () => Promise<void>
}

const listTimeoutMs = 2_000
const loadTimeoutMs = 120_000
const unloadTimeoutMs = 5_000
const cancelTimeoutMs = 2_000
const reorderWindow = 64
/** Times that a stream is resumed without a further event in between. */
const resumeAttempts = 3
/** Time for the end of an answer to arrive after its last event. */
const restTimeMs = 250
/** Bytes of an answer that is no stream. */
const answerLimit = 8 * 1024 * 1024
const doneLine = 'data: [DONE]'
const dataFieldLength = 'data: '.length

/** Whether an answer names the adapter that was requested. */
function namesModel (json: string, engineName: string): boolean {
  if (json.includes(`"model":"${engineName}"`)) return true
  try {
    return (JSON.parse(json) as { model?: unknown }).model === engineName
  } catch {
    return false
  }
}

/** The JSON of an event's data line, whose text holds one byte in each character (latin1). */
function eventJson (line: string): string {
  return Buffer.from(line.slice(dataFieldLength), 'latin1').toString('utf8')
}

function wrongAdapter (engineName: string): ReturnType<typeof failure> {
  return failure('may-have-run', 'wrong-adapter', `The engine answered for another adapter than ${engineName}. The answer was discarded; repeat the request.`)
}

/** Runs one completion; resumes its stream over a new connection if it breaks. */
class CompletionRun implements CallHandle {
  private readonly _events = new Sequencer<string>(line => this._checkEvent(line), reorderWindow)
  private _checkedEvents = ''
  private _http: HttpHandle
  private _status = 0
  private _streamed = false
  private readonly _modelMark: string
  private _bodyParts: Buffer[] = []
  private _bodyBytes = 0
  private _headSent = false
  private _isFinished = false
  private _paused = false
  private _resumed = false
  private _resumesLeft = resumeAttempts
  private _deliveredBefore = 0
  private _headers: Record<string, string | string[]> = {}

  constructor (private readonly _pool: Pool, private readonly _call: CompletionCall, private readonly _sink: AnswerSink) {
    this._modelMark = `"model":"${_call.engineName}"`
    const fields = JSON.parse(Buffer.from(_call.body).toString('utf8')) as object
    const body = JSON.stringify({ ...fields, model: _call.engineName, priority: _call.priority })
    const headers = { 'content-type': 'application/json', 'x-request-id': _call.id }
    this._http = this._open({ method: 'POST', path: _call.path, headers, body })
  }

  pause = (): void => {
    this._paused = true
    this._http.pause()
  }

  resume = (): void => {
    this._paused = false
    this._http.resume()
  }

  cancel = async (): Promise<void> => {
    this._isFinished = true
    this._http.abort()
    // From a closed connection alone the engine learns of the cancellation late or, when the stream
    // can be resumed, not at all. Until the engine stops the request, the adapter is in use and must stay pinned.
    await this._pool.request({ method: 'DELETE', path: `/v1/streams/${this._call.id}`, signal: AbortSignal.timeout(cancelTimeoutMs) })
      .then(res => res.body.dump(), () => {})
  }

  private _open (call: Parameters<typeof startHttpCall>[1]): HttpHandle {
    const splitter = new SseSplitter()
    const handle = startHttpCall(this._pool, call, {
      head: (status, headers) => this._head(status, headers),
      data: data => this._data(splitter, data),
      end: () => this._responseEnded(),
      fail: cause => this._connectionBroke(cause)
    })
    if (this._paused) handle.pause()
    return handle
  }

  private _head (status: number, headers: Record<string, string | string[]>): void {
    this._status = status
    this._headers = headers
    this._streamed = String(headers['content-type']).startsWith('text/event-stream')
  }

  private _data (splitter: SseSplitter, data: Buffer): void {
    if (this._isFinished) return
    if (!this._streamed) return this._keepBody(data)
    for (const event of splitter.push(data)) {
      const verdict = this._events.offer(event.id ?? this._events.delivered, event.line)
      if (this._events.delivered > this._deliveredBefore) this._resumesLeft = resumeAttempts
      this._deliveredBefore = this._events.delivered
      if (verdict === 'overflow') return this._connectionBroke(failure('may-have-run', 'stream-incomplete', 'The engine skipped part of the stream.'))
      if (this._isFinished) return
    }
    this._flush()
    if (splitter.isTooLarge) this._connectionBroke(failure('may-have-run', 'stream-incomplete', 'The engine sent an event that is too large.'))
  }

  private _keepBody (data: Buffer): void {
    this._bodyBytes += data.length
    if (this._bodyBytes <= answerLimit) {
      this._bodyParts.push(data)
      return
    }
    this._bodyParts = []
    this._http.abort()
    this._finish(() => this._sink.fail(failure('may-have-run', 'upstream-lost', 'The engine sent an answer that is too large.')))
  }

  /** Checks the next event of the stream and adds it to the output. */
  private _checkEvent (line: string): void {
    if (this._isFinished) return
    if (line === doneLine) {
      this._checkedEvents += `${doneLine}\n\n`
      this._flush()
      this._finish(() => this._sink.end())
      return
    }
    if (!line.includes(this._modelMark) && !namesModel(eventJson(line), this._call.engineName)) {
      // An engine that lost the adapter can fall back to another one. Forwarding its output
      // would answer the caller from the wrong adapter.
      this.cancel().then(() => this._sink.fail(wrongAdapter(this._call.engineName)), () => {})
      return
    }
    this._checkedEvents += `${line.replace(this._call.engineName, this._call.publicName)}\n\n`
  }

  /** Forwards the events that one read completed. */
  private _flush (): void {
    if (this._checkedEvents === '') return
    this._sendHead()
    const bytes = Buffer.from(this._checkedEvents, 'latin1')
    this._checkedEvents = ''
    this._sink.data(bytes)
  }

  private _sendHead (): void {
    if (this._headSent) return
    this._headSent = true
    this._sink.head(this._status, answerHeaders(this._headers, ['content-length', 'x-stream-id']))
  }

  private _responseEnded (): void {
    if (this._isFinished) return
    if (this._streamed) return this._connectionBroke(failure('may-have-run', 'stream-incomplete', 'The engine ended the stream before its last event.'))
    // A 404 to an attempt to resume means that the engine no longer has the stream. Treating it
    // as a missing adapter would run the request again after part of its answer was sent.
    if (this._resumed) return this._finish(() => this._sink.fail(failure('may-have-run', 'stream-incomplete', 'The engine lost the stream before its last event.')))
    const text = Buffer.concat(this._bodyParts).toString('utf8')
    if (this._status === 404) return this._finish(() => this._sink.notLoaded())
    if (this._status === 200 && !namesModel(text, this._call.engineName)) {
      return this._finish(() => this._sink.fail(wrongAdapter(this._call.engineName)))
    }
    this._sendHead()
    this._sink.data(Buffer.from(text.replaceAll(this._call.engineName, this._call.publicName), 'utf8'))
    this._finish(() => this._sink.end())
  }

  private _connectionBroke (cause: ReturnType<typeof failure>): void {
    if (this._isFinished) return
    if (this._streamed) this._http.abort()
    if (!this._streamed || this._resumesLeft === 0) return this._finish(() => this._sink.fail(cause))
    this._resumesLeft--
    this._resumed = true
    const headers = { 'last-event-id': String(this._events.delivered - 1) }
    this._http = this._open({ method: 'GET', path: `/v1/streams/${this._call.id}`, headers })
  }

  private _finish (notify: () => void): void {
    if (this._isFinished) return
    this._isFinished = true
    // Without this, an engine that goes on after the last event would be read for as long as it sends.
    setTimeout(() => this._http.abort(), restTimeMs).unref()
    notify()
  }
}

/**
 * Creates a client of a model engine.
 *
 * @param url - base URL of the engine
 */
export function createEngineClient (url: string): EngineClient {
  const pool = new Pool(url, { connect: connectUpstream, connections: null, pipelining: 1 })

  async function sendOrder (path: string, body: object, number: number, timeout: number): Promise<OrderOutcome> {
    try {
      const res = await pool.request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json', 'x-fencing-number': String(number) },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeout)
      })
      await res.body.dump()
      switch (res.statusCode) {
        case 200: return 'done'
        case 400: return 'no-slot'
        case 404: return 'absent'
        case 409: return 'fenced'
        default: return 'failed'
      }
    } catch {
      return 'unknown'
    }
  }

  async function list (): Promise<EngineListing> {
    const res = await pool.request({ method: 'GET', path: '/v1/models', signal: AbortSignal.timeout(listTimeoutMs) })
    const body = JSON.parse(await readText(res.body, answerLimit)) as { data: { id: string }[] }
    return { names: body.data.map(model => model.id) }
  }

  return {
    list: () => ResultAsync.fromPromise(list(), cause => (cause as Error).message),
    load: (name, path, number) => sendOrder('/v1/load_lora_adapter', { lora_name: name, lora_path: path }, number, loadTimeoutMs),
    unload: (name, number) => sendOrder('/v1/unload_lora_adapter', { lora_name: name }, number, unloadTimeoutMs),
    complete: (call, sink) => new CompletionRun(pool, call, sink),
    close: () => pool.destroy()
  }
}

/**
 * The events of one completion, kept so that a client can resume the stream.
 */
import type { ServerResponse } from 'node:http'

/** Faults in how a stream's events reach the client. */
export interface StreamFaults {
  /** Each event is sent twice. */
  doubled: boolean
  /** Every second pair of events is swapped. */
  swapped: boolean
  /** Each connection is cut after this many new events; 0 disables the fault. */
  cutAfter: number
}

/**
 * Writes one chunk of a chunked body straight to the socket. Node's own chunking makes
 * four writes of it, and the stand-in must not be the bottleneck of a benchmark.
 */
function writeChunk (res: ServerResponse, text: string): void {
  res.socket?.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`)
}

/** The events of one completion and the response that currently carries them. */
export class EngineStream {
  private readonly _events: string[] = []
  private _res: ServerResponse | undefined
  private _delayedEvent: string | undefined
  private _sent = 0
  private _count = 0
  private _ended = false

  constructor (readonly id: string, private readonly _faults: StreamFaults, private readonly _keepsEvents: boolean) {}

  get attached (): boolean { return this._res !== undefined }

  get ended (): boolean { return this._ended }

  /** Sends the events from index `from` on a response, and then the new ones. */
  attach (res: ServerResponse, from: number): void {
    this._res = res
    this._sent = 0
    res.writeHead(200, { 'content-type': 'text/event-stream', 'x-stream-id': this.id, 'transfer-encoding': 'chunked' })
    res.flushHeaders()
    res.on('close', () => {
      if (this._res === res) this._res = undefined
    })
    for (const event of this._events.slice(from)) writeChunk(res, event)
    if (this._ended) res.end()
  }

  push (data: string): void {
    const event = `id: ${this._count++}\ndata: ${data}\n\n`
    if (this._keepsEvents) this._events.push(event)
    this._send(event)
  }

  end (): void {
    this.push('[DONE]')
    if (this._delayedEvent !== undefined && this._res !== undefined) writeChunk(this._res, this._delayedEvent)
    this._ended = true
    this._res?.end()
  }

  cut (): void {
    this._res?.destroy()
    this._res = undefined
  }

  private _send (event: string): void {
    if (this._res === undefined) return
    this._sent++
    if (this._faults.cutAfter > 0 && this._sent === this._faults.cutAfter) return this.cut()
    if (this._faults.swapped && this._delayedEvent === undefined && this._sent % 4 === 1) {
      this._delayedEvent = event
      return
    }
    writeChunk(this._res, event)
    if (this._faults.doubled) writeChunk(this._res, event)
    if (this._delayedEvent === undefined) return
    writeChunk(this._res, this._delayedEvent)
    this._delayedEvent = undefined
  }
}

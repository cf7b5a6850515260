/**
 * The events of one completion: kept, so that a client can resume.
 */
import type { ServerResponse } from 'node:http'

/** Ways in which a stream's events may reach the client. */
export interface StreamFaults {
  /** Events are sent a second time. */
  doubled: boolean
  /** Every second pair of events is swapped. */
  swapped: boolean
  /** The connection is cut after so many events; 0 never. */
  cutAfter: number
}

/**
 * Writes one chunk of a chunked body straight to the socket. Node's own chunking makes
 * four writes of it, and this stand-in must not be what a benchmark waits for.
 */
function writeChunk (res: ServerResponse, text: string): void {
  res.socket?.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`)
}

/** One completion's events and the response that carries them now. */
export class EngineStream {
  private readonly _events: string[] = []
  private _res: ServerResponse | undefined
  private _held: string | undefined
  private _sent = 0
  private _count = 0
  private _ended = false

  constructor (readonly id: string, private readonly _faults: StreamFaults, private readonly _keeps: boolean) {}

  get attached (): boolean { return this._res !== undefined }

  get ended (): boolean { return this._ended }

  /** Carries the events after `from` on a response, and then the new ones. */
  attach (res: ServerResponse, from: number): void {
    this._res = res
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
    if (this._keeps) this._events.push(event)
    this._send(event)
  }

  end (): void {
    this.push('[DONE]')
    if (this._held !== undefined && this._res !== undefined) writeChunk(this._res, this._held)
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
    if (this._faults.swapped && this._held === undefined && this._sent % 4 === 1) {
      this._held = event
      return
    }
    writeChunk(this._res, event)
    if (this._faults.doubled) writeChunk(this._res, event)
    if (this._held === undefined) return
    writeChunk(this._res, this._held)
    this._held = undefined
  }
}

/**
 * The callers' HTTP server, and the balancer's question whether it is ready.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, type Ms } from '@hazelford/core'
import type { CallerLimits } from '@hazelford/ports'
import { CallerAnswer } from './caller-answer.js'

/** A request read whole, with the answer to write. */
export interface IncomingRequest {
  readonly method: string
  readonly host: string
  readonly target: string
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly arrivedAt: Ms
  readonly answer: CallerAnswer
  /** Whether the caller has closed its connection. */
  readonly isGone: () => boolean
  /** Hears when the caller has closed its connection before the answer was whole. */
  readonly onGone: (run: () => void) => void
}

/** What the server asks of its entry. */
export interface CallerServerOptions {
  readonly clock: Clock
  readonly maxBodyBytes: () => number
  readonly closing: () => boolean
  readonly handle: (incoming: IncomingRequest) => void
}

/** How often slow or idle connections are looked for. */
const checkEvery: Ms = 500
const defaultHeaderBytes = 16 * 1024
/** Requests that may be on their way when a connection closes, after an idle limit was announced. */
const idleSlack: Ms = 500
const backlog = 1_024

function hasBody (req: IncomingMessage): boolean {
  return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
}

/** Serves callers. */
export class CallerServer {
  readonly server: Server
  private _open = 0
  private _idle: (() => void) | undefined

  constructor (private readonly _options: CallerServerOptions) {
    this.server = createServer({
      maxHeaderSize: defaultHeaderBytes,
      connectionsCheckingInterval: checkEvery,
      noDelay: true,
      keepAliveTimeout: 20_000,
      requestTimeout: 0
    }, (req, res) => this._read(req, res))
  }

  /** Requests without their whole answer. */
  get open (): number { return this._open }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, backlog, () => resolve())
    })
  }

  /** Puts the configuration's limits in force. */
  limit (limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeout
    this.server.keepAliveTimeout = limits.idleTimeout + idleSlack
  }

  /** Waits until no request is open; new ones are still taken. */
  async drained (): Promise<void> {
    if (this._open === 0) return
    await new Promise<void>(resolve => { this._idle = resolve })
  }

  close (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  private _read (req: IncomingMessage, res: ServerResponse): void {
    const { clock, closing } = this._options
    const arrivedAt = clock.now()
    this._open++
    res.on('close', () => {
      this._open--
      if (this._open === 0) this._idle?.()
    })
    res.sendDate = false
    const answer = new CallerAnswer(res, closing)
    if (!hasBody(req)) return this._handle(req, res, undefined, arrivedAt, answer)
    const chunks: Buffer[] = []
    let size = 0
    const limit = this._options.maxBodyBytes()
    req.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (answer.ended) return
      if (size > limit) {
        // The rest of the body is not read; the connection can't be used again.
        res.setHeader('Connection', 'close')
        answer.fail({ kind: 'body-too-large' })
        return
      }
      chunks.push(chunk)
    })
    req.on('end', () => {
      if (!answer.ended) this._handle(req, res, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), arrivedAt, answer)
    })
    // The caller broke off within its body. Nothing was passed on, and the close of its
    // connection ends the count of open requests.
    req.on('error', () => {})
  }

  private _handle (req: IncomingMessage, res: ServerResponse, body: Buffer | undefined, arrivedAt: Ms, answer: CallerAnswer): void {
    this._options.handle({
      method: req.method ?? 'GET',
      host: req.headers.host ?? '',
      target: req.url ?? '/',
      headers: req.rawHeaders,
      body,
      arrivedAt,
      answer,
      isGone: () => req.socket.destroyed || req.socket.readableEnded,
      onGone: run => {
        const { socket } = req
        const gone = (): void => { if (!res.writableFinished) run() }
        // The end of the caller's side is seen a little before the connection's.
        socket.once('end', gone)
        res.once('close', () => {
          socket.removeListener('end', gone)
          gone()
        })
      }
    })
  }
}

/**
 * Answers the balancer.
 *
 * @param ready - whether new connections are wanted
 * @param path - of the question
 */
export function createReadyServer (ready: () => boolean, path: string): Server {
  return createServer((req, res) => {
    const status = req.url !== path ? 404 : ready() ? 200 : 503
    res.writeHead(status, { 'content-length': 0 })
    res.end()
  })
}

/**
 * The HTTP server for callers, and the readiness endpoint for the load balancer.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, type Ms } from '@hazelford/core'
import type { CallerLimits } from '@hazelford/ports'
import { type BodyMemory, BodyReservation } from './body-memory.js'
import { CallerAnswer, type EntryError } from './caller-answer.js'

/** A request that was read completely, with the answer to write. */
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
  /** Registers a callback for when the caller closes its connection before its answer is complete. */
  readonly onGone: (run: () => void) => void
}

/** What the server needs of its entry. */
export interface CallerServerOptions {
  readonly clock: Clock
  readonly maxBodyBytes: () => number
  readonly bodyMemory: BodyMemory
  /** Called when a request is refused because there is no memory for its body; `bytes`: as far as they are known. */
  readonly bodyRefused: (bytes: number) => void
  /** Ms within which a request to this host and target must have been read. */
  readonly bodyTimeout: (host: string, target: string) => Ms
  readonly closing: () => boolean
  readonly handle: (incoming: IncomingRequest) => void
}

/** How often slow and idle connections are checked. */
const checkEvery: Ms = 500
const defaultHeaderBytes = 16 * 1024
/** Bytes of headers that the parser accepts. It keeps its limit for a whole connection, while the configured one may change. */
const parsedHeaderBytes = 64 * 1024
/**
 * Time for which idle connections are kept beyond the configured limit, for requests that are on their way when the
 * limit is reached.
 */
const idleSlack: Ms = 500
const backlog = 1_024
/** Shortest Retry-After of a request without room for its body; jittered, so that callers refused together don't return together. */
const bodyRetryAfter: Ms = 150
const bodyRetrySpread: Ms = 250

/** Bytes of a request's target, and of its headers without separators. */
function headerBytes ({ url, rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url?.length ?? 0)
}

function hasBody (req: IncomingMessage): boolean {
  return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
}

/** Serves callers. */
export class CallerServer {
  readonly server: Server
  private _open = 0
  private _maxHeaderBytes = defaultHeaderBytes
  private _onDrained: (() => void) | undefined

  constructor (private readonly _options: CallerServerOptions) {
    this.server = createServer({
      maxHeaderSize: parsedHeaderBytes,
      connectionsCheckingInterval: checkEvery,
      noDelay: true,
      keepAliveTimeout: 20_000,
      requestTimeout: 0
    }, (req, res) => this._read(req, res))
  }

  /** Requests whose answer is not complete. */
  get open (): number { return this._open }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, backlog, () => resolve())
    })
  }

  /** Applies the configuration's limits. */
  limit (limits: CallerLimits): void {
    this._maxHeaderBytes = limits.maxHeaderBytes
    // Applies to connections that are opened from now on.
    Object.assign(this.server, { maxHeaderSize: Math.max(parsedHeaderBytes, limits.maxHeaderBytes + 1) })
    this.server.headersTimeout = limits.headerTimeout
    this.server.keepAliveTimeout = limits.idleTimeout + idleSlack
  }

  /** Waits until no request is open; new ones are still accepted. */
  async drained (): Promise<void> {
    if (this._open === 0) return
    await new Promise<void>(resolve => { this._onDrained = resolve })
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
      if (this._open === 0) this._onDrained?.()
    })
    res.sendDate = false
    const answer = new CallerAnswer(res, closing)
    const fail = (error: EntryError): void => {
      // The rest of the body is not read, so the connection can't be used again.
      res.setHeader('Connection', 'close')
      answer.fail(error)
    }
    if (headerBytes(req) > this._maxHeaderBytes) return fail({ kind: 'headers-too-large' })
    if (!hasBody(req)) return this._handle(req, res, undefined, arrivedAt, answer)
    const chunks: Buffer[] = []
    let size = 0
    let isRefused = false
    const reservation = new BodyReservation(this._options.bodyMemory)
    const limit = this._options.maxBodyBytes()
    const bodyTimeout = this._options.bodyTimeout(req.headers.host ?? '', req.url ?? '/')
    const refuse = (bytes: number): void => {
      isRefused = true
      chunks.length = 0
      reservation.release()
      this._options.bodyRefused(bytes)
      // The rest of the body is read and discarded. A close before that would reset the connection, and the caller may not
      // have read the answer by then.
      answer.fail({ kind: 'no-body-memory', retryAfter: bodyRetryAfter + Math.random() * bodyRetrySpread }, end => req.once('end', end))
      clock.after(bodyTimeout, () => { if (!req.complete) req.socket.destroy() })
    }
    const cancelTimeout = clock.after(bodyTimeout, () => { if (!answer.ended) fail({ kind: 'body-incomplete' }) })
    res.on('close', () => {
      cancelTimeout()
      reservation.release()
    })
    req.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (isRefused && size > limit) req.socket.destroy()
      if (answer.ended) return
      if (size > limit) return fail({ kind: 'body-too-large' })
      if (!reservation.growTo(size)) return refuse(size)
      chunks.push(chunk)
    })
    req.on('end', () => {
      cancelTimeout()
      if (!answer.ended) this._handle(req, res, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), arrivedAt, answer)
    })
    // The caller broke off within its body. Nothing was passed on, and the close of its connection decrements the
    // number of open requests.
    req.on('error', () => {})
    const declared = Number(req.headers['content-length'] ?? 0)
    if (declared <= limit && !reservation.growTo(declared)) refuse(declared)
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
        // When the caller closes its side, `end` is emitted a little before `close`.
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
 * Creates the server that answers the load balancer's readiness checks.
 *
 * @param ready - whether new connections are wanted
 * @param path - of the readiness check
 */
export function createReadyServer (ready: () => boolean, path: string): Server {
  return createServer((req, res) => {
    const status = req.url !== path ? 404 : ready() ? 200 : 503
    res.writeHead(status, { 'content-length': 0 })
    res.end()
  })
}

/**
 * The HTTP server for callers, and the readiness endpoint for the load balancer.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, type Ms } from '@hazelford/core'
import type { CallerLimits } from '@hazelford/ports'
import type { Socket } from 'node:net'
import { afterReading } from '../after-reading.js'
import { type BodyMemory, BodyReservation } from './body-memory.js'
import { CallerAnswer, type EntryError } from './caller-answer.js'
import { CallerConnection, type PendingRequest } from './caller-connection.js'

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

/**
 * Why a request gets no answer although its caller has not left.
 *
 * - `read-too-late`: it was read after the answer that ends its connection had begun, and is not run.
 * - `connection-closed`: its connection closed after it was read.
 */
export type DropCause = 'read-too-late' | 'connection-closed'

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
  /** Called with the headers of a request whose caller left before it was handled. */
  readonly callerLeft: (headers: readonly string[]) => void
  /** Called with the headers of a request that gets no answer although its caller has not left. */
  readonly dropped: (cause: DropCause, headers: readonly string[]) => void
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
  /** Requests whose answers are not complete. */
  private readonly _open = new Map<PendingRequest, CallerAnswer>()
  private readonly _connections = new WeakMap<Socket, CallerConnection>()
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
  get open (): number { return this._open.size }

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
    if (this._open.size === 0) return
    await new Promise<void>(resolve => { this._onDrained = resolve })
  }

  /** Stops listening, and reports the requests whose answers were not sent completely: the process ends. */
  close (): void {
    this.endAnswers()
    for (const request of [...this._open.keys()]) request.done(true)
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Prevents that an answer which is not complete looks so once the process has ended. */
  endAnswers (): void { for (const answer of [...this._open.values()]) answer.endWithProcess() }

  private _read (req: IncomingMessage, res: ServerResponse): void {
    const { clock, closing, dropped } = this._options
    const arrivedAt = clock.now()
    const connection = this._connectionOf(req.socket)
    if (connection.isEnding) {
      req.resume()
      return dropped('read-too-late', req.rawHeaders)
    }
    res.sendDate = false
    const answer = new CallerAnswer(res, () => closing() && connection.endSoon(), () => connection.end())
    const reservation = new BodyReservation(this._options.bodyMemory)
    const pending = this._track(req, res, connection, answer, reservation)
    const fail = (error: EntryError): void => {
      // The rest of the body is not read, so the connection can't be used again.
      connection.end()
      res.setHeader('Connection', 'close')
      answer.fail(error)
    }
    if (headerBytes(req) > this._maxHeaderBytes) return fail({ kind: 'headers-too-large' })
    if (!hasBody(req)) return this._handle(req, pending, undefined, arrivedAt, answer)
    const chunks: Buffer[] = []
    let size = 0
    let isRefused = false
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
    const cancelTimeout = afterReading(clock, bodyTimeout, () => { if (!answer.ended) fail({ kind: 'body-incomplete' }) })
    res.on('close', cancelTimeout)
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
      if (!answer.ended) this._handle(req, pending, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), arrivedAt, answer)
    })
    // The caller broke off within its body. Nothing was passed on, and the close of its connection decrements the
    // number of open requests.
    req.on('error', () => {})
    const declared = Number(req.headers['content-length'] ?? 0)
    if (declared <= limit && !reservation.growTo(declared)) refuse(declared)
  }

  private _connectionOf (socket: Socket): CallerConnection {
    const known = this._connections.get(socket)
    if (known !== undefined) return known
    const connection = new CallerConnection(socket)
    this._connections.set(socket, connection)
    return connection
  }

  /** Counts a request as open until it has its answer or its connection has closed. */
  private _track (req: IncomingMessage, res: ServerResponse, connection: CallerConnection, answer: CallerAnswer, reservation: BodyReservation): PendingRequest {
    const pending: PendingRequest = {
      gone: () => {},
      done: isLost => {
        if (!this._open.delete(pending)) return
        reservation.release()
        if (isLost && req.complete && !answer.isCut) this._options.dropped('connection-closed', req.rawHeaders)
        if (this._open.size === 0) this._onDrained?.()
      }
    }
    this._open.set(pending, answer)
    connection.add(pending)
    res.once('finish', () => connection.settle(pending, false))
    return pending
  }

  private _handle (req: IncomingMessage, pending: PendingRequest, body: Buffer | undefined, arrivedAt: Ms, answer: CallerAnswer): void {
    const { handle, callerLeft } = this._options
    const incoming: IncomingRequest = {
      method: req.method ?? 'GET',
      host: req.headers.host ?? '',
      target: req.url ?? '/',
      headers: req.rawHeaders,
      body,
      arrivedAt,
      answer,
      isGone: () => req.socket.destroyed || req.socket.readableEnded,
      onGone: run => { pending.gone = run }
    }
    // The close of a connection is read one turn of the event loop after its last request. Further requests in the bytes
    // that were read are known by then, too, so that the first answer of an entry that stops doesn't end their connection.
    setImmediate(() => setImmediate(() => {
      if (incoming.isGone()) callerLeft(req.rawHeaders)
      else handle(incoming)
    }))
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

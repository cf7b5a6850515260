/**
 * Pool of connections to one upstream.
 */
import { Agent, type ClientRequest } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { Clock, Ms } from '@hazelford/core'

/** Where to connect, and how many connections to open. */
export interface PoolOptions {
  readonly host: string
  readonly port: number
  /** Limit on connections, those in use and idle ones together. */
  readonly maxConnections: number
}

/** Time for a connection to open. Zones are a few ms apart; the kernel retransmits a lost packet only after a second. */
const connectTimeout: Ms = 600
/** Margin by which a connection is reused for less than the announced idle time. */
const idleMargin: Ms = 300
/** Idle time assumed for an upstream that announces none. */
const defaultIdle: Ms = 900
/**
 * Idle time after which a request that can't be retried gets a new connection.
 *
 * An upstream may close an idle connection while the request is on its way. The request is reset, it is unknown
 * whether it ran, and its caller gets no answer. A new connection costs a millisecond and can't be stale.
 */
const unrepeatableIdle: Ms = 250

interface Idle { readonly socket: Socket, readonly since: Ms, readonly stop: () => void }

/** Connections of one incarnation of an upstream. */
export class ConnectionPool {
  private _idle: Idle[] = []
  private _open = 0
  private _closed = false
  private _idleLimit = defaultIdle
  private readonly _openedAt = new WeakMap<Socket, Ms>()

  /** Connections opened since the start. */
  opened = 0

  constructor (private readonly _clock: Clock, private readonly _options: PoolOptions) {}

  /** Whether a connection is available for a request. */
  get hasRoom (): boolean { return this._idle.length > 0 || this._open < this._options.maxConnections }

  /**
   * Provides the connection for a request.
   *
   * @param repeatable - whether the request may be retried after a reset
   * @returns an agent for one request
   */
  agent (repeatable: boolean): Agent {
    return new OneRequestAgent(() => this._take(repeatable))
  }

  /** When a connection of this pool was opened; undefined while it is not open yet. */
  openedAt (socket: Socket): Ms | undefined { return this._openedAt.get(socket) }

  /** Sets how long the upstream keeps idle connections, in whole seconds. */
  setIdleTimeout (seconds: number): void {
    if (Number.isFinite(seconds) && seconds > 0) this._idleLimit = Math.max(0, seconds * 1_000 - idleMargin)
  }

  /** Closes idle connections; those in use are closed after their requests. */
  close (): void {
    this._closed = true
    for (const { socket, stop } of this._idle) {
      stop()
      socket.destroy()
    }
    this._idle = []
  }

  private _take (repeatable: boolean): Socket {
    const limit = repeatable ? this._idleLimit : Math.min(this._idleLimit, unrepeatableIdle)
    const now = this._clock.now()
    // The most recently used connection is taken first, so that the others reach their idle limit and close.
    for (let idle = this._idle.pop(); idle !== undefined; idle = this._idle.pop()) {
      idle.stop()
      if (!idle.socket.destroyed && now - idle.since < limit) return idle.socket
      idle.socket.destroy()
    }
    return this._connect()
  }

  private _connect (): Socket {
    const { host, port } = this._options
    const socket = connect({ host, port, noDelay: true })
    this._open++
    this.opened++
    socket.setTimeout(connectTimeout, () => socket.destroy(new Error(`No connection within ${connectTimeout} ms.`)))
    socket.once('connect', () => {
      socket.setTimeout(0)
      this._openedAt.set(socket, this._clock.now())
    })
    socket.once('close', () => { this._open-- })
    socket.on('free', () => this._keep(socket))
    return socket
  }

  private _keep (socket: Socket): void {
    if (socket.destroyed || !socket.writable) return
    if (this._closed) {
      socket.destroy()
      return
    }
    // Bytes after a complete answer belong to no request. If the connection were reused, they would be read as the answer
    // to the next request, which may be another caller's.
    if (socket.readableLength > 0) {
      socket.destroy()
      return
    }
    const drop = (): void => {
      stop()
      this._idle = this._idle.filter(idle => idle.socket !== socket)
      socket.destroy()
    }
    const stop = (): void => {
      clearTimeout(timer)
      for (const event of ['data', 'end', 'error', 'close']) socket.removeListener(event, drop)
    }
    const timer = setTimeout(drop, this._idleLimit)
    timer.unref()
    for (const event of ['data', 'end', 'error', 'close']) socket.on(event, drop)
    this._idle.push({ socket, since: this._clock.now(), stop })
  }
}

/** Node asks an agent for the connection of a request; this agent takes it from the pool. */
class OneRequestAgent extends Agent {
  constructor (private readonly _take: () => Socket) { super({ keepAlive: true }) }

  /** @internal */
  addRequest (req: ClientRequest): void { req.onSocket(this._take()) }
}

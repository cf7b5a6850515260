/**
 * Connections to one upstream, kept for further requests.
 */
import { Agent, type ClientRequest } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { Clock, Ms } from '@hazelford/core'

/** Where and how much to connect. */
export interface PoolOptions {
  readonly host: string
  readonly port: number
  /** Connections at most, those in use and idle ones together. */
  readonly maxConnections: number
}

/** Time for a connection to open. Zones are a few ms apart; the first repeat of a lost packet comes after a second. */
const connectTimeout: Ms = 600
/** Part of the announced idle time for which a connection is used again. */
const idleMargin: Ms = 300
/** Idle time assumed of an upstream that announces none. */
const defaultIdle: Ms = 900
/**
 * Idle time after which a request that can't be repeated takes a new connection.
 *
 * An upstream may close an idle connection while the request is on its way. The request is
 * reset, nobody can tell whether it ran, and its caller gets no answer. A new connection
 * costs a millisecond and can't be stale.
 */
const unrepeatableIdle: Ms = 250

interface Idle { readonly socket: Socket, readonly since: Ms, readonly stop: () => void }

/** Connections of one incarnation of an upstream. */
export class ConnectionPool {
  private _idle: Idle[] = []
  private _open = 0
  private _closed = false
  private _idleLimit = defaultIdle

  /** Connections opened since the start. */
  opened = 0

  constructor (private readonly _clock: Clock, private readonly _options: PoolOptions) {}

  /** Whether a request can have a connection. */
  get hasRoom (): boolean { return this._idle.length > 0 || this._open < this._options.maxConnections }

  /**
   * Gives a request's connection.
   *
   * @param repeatable - whether the request may be sent again after a reset
   * @returns an agent for one request
   */
  agent (repeatable: boolean): Agent {
    return new OneRequestAgent(() => this._take(repeatable))
  }

  /** Notes how long the upstream keeps idle connections, in whole seconds. */
  setIdleTimeout (seconds: number): void {
    if (Number.isFinite(seconds) && seconds > 0) this._idleLimit = Math.max(0, seconds * 1_000 - idleMargin)
  }

  /** Closes what is idle; connections in use end with their requests and are not taken up again. */
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
    // The newest first: the others may then grow old and close.
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
    socket.once('connect', () => socket.setTimeout(0))
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
    // Bytes behind a whole answer belong to no request. Left in the connection they would
    // be read as the answer to the next one, which is somebody else's.
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

/** Node asks an agent for the connection of a request; this one has it from the pool. */
class OneRequestAgent extends Agent {
  constructor (private readonly _take: () => Socket) { super({ keepAlive: true }) }

  /** @internal */
  addRequest (req: ClientRequest): void { req.onSocket(this._take()) }
}

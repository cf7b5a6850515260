/**
 * Tells whether the processes behind the addresses of upstreams go on running.
 */
import { connect, type Socket } from 'node:net'
import { type Clock, type Ms, sleep } from '@hazelford/core'

/** Time for a connection to open. */
const connectTimeout: Ms = 250
/**
 * Time for which the connection of a probe has to stay open. The kernel of a process that terminates may accept connections
 * for as long as it closes others, and resets them then.
 */
const holdTime: Ms = 100
/** A probe may be lost on the way, or be reset by a process that has no room for it. */
const attempts = 2

/**
 * Result of one attempt.
 *
 * - `held`: its connection stayed open.
 * - `ended`: its connection opened and was closed by the other side.
 * - `refused`: no process listens.
 * - `silent`: neither; the host is down, cut off, or has no room for a connection.
 */
type AttemptOutcome = 'held' | 'ended' | 'refused' | 'silent'

type OpeningOutcome = 'open' | 'refused' | 'silent'

function outcomeOf ({ code }: NodeJS.ErrnoException): OpeningOutcome {
  switch (code) {
    case 'ECONNREFUSED': return 'refused'
    // A connection that is reset at once was accepted before.
    case 'ECONNRESET': return 'open'
    default: return 'silent'
  }
}

/** One connection, shared by all that probe its address at a time. */
class ProbeConnection {
  /** Requests that wait for it. */
  users = 0
  readonly opened: Promise<OpeningOutcome>
  readonly ended: Promise<void>
  private _isOver = false
  private readonly _socket: Socket

  constructor (host: string, port: number) {
    this._socket = connect({ host, port })
    this.ended = new Promise(resolve => this._socket.once('close', () => {
      this._isOver = true
      resolve()
    }))
    this.opened = new Promise(resolve => {
      this._socket.setTimeout(connectTimeout, () => {
        this._socket.destroy()
        resolve('silent')
      })
      this._socket.once('connect', () => {
        this._socket.setTimeout(0)
        resolve('open')
      })
      this._socket.on('error', error => resolve(outcomeOf(error)))
    })
    // The end of a connection is emitted only when it is read.
    this._socket.resume()
  }

  /** Whether it has failed or was closed by the other side. */
  get isOver (): boolean { return this._isOver }

  close (): void { this._socket.destroy() }
}

/** Probes of the processes of upstreams; at most one connection an address is open at a time. */
export class ProcessProbes {
  private readonly _connections = new Map<string, ProbeConnection>()

  constructor (private readonly _clock: Clock) {}

  /**
   * Tells whether the process that listens at an address goes on running.
   *
   * @param host - IPv4 number
   * @param port - to connect to
   * @returns false also when that can't be found out
   */
  async isRunning (host: string, port: number): Promise<boolean> {
    let outcome: AttemptOutcome = 'silent'
    for (let attempt = 0; attempt < attempts; attempt++) {
      outcome = await this._attempt(host, port)
      if (outcome === 'held') return true
      if (outcome === 'refused') return false
    }
    // A process that is gone refuses the second connection.
    return outcome === 'ended'
  }

  private async _attempt (host: string, port: number): Promise<AttemptOutcome> {
    const address = `${host}:${port}`
    const connection = this._connectionTo(address, host, port)
    connection.users++
    try {
      const opened = await connection.opened
      if (opened !== 'open') return opened
      await Promise.race([connection.ended, sleep(this._clock, holdTime)])
      return connection.isOver ? 'ended' : 'held'
    } finally {
      if (--connection.users === 0) {
        if (this._connections.get(address) === connection) this._connections.delete(address)
        connection.close()
      }
    }
  }

  private _connectionTo (address: string, host: string, port: number): ProbeConnection {
    const known = this._connections.get(address)
    if (known !== undefined && !known.isOver) return known
    const connection = new ProbeConnection(host, port)
    this._connections.set(address, connection)
    return connection
  }
}

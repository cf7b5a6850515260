/**
 * A loopback link with a bandwidth limit.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'

const loopback = '127.0.0.1'
const sliceBytes = 4_096

/** Forwards connections to a port; the responses of all connections share one bandwidth limit. */
export class SlowLink {
  private _freeAt = performance.now()
  private readonly _server: Server = createServer(caller => this._accept(caller))

  constructor (private readonly _target: number, private readonly _bytesPerSecond: number) {}

  get port (): number { return (this._server.address() as AddressInfo).port }

  listen (): Promise<void> { return new Promise(resolve => this._server.listen(0, loopback, resolve)) }

  stop (): void { this._server.close() }

  private _accept (caller: Socket): void {
    const server = connect(this._target, loopback)
    caller.pipe(server)
    this._forward(server, caller).catch(() => caller.destroy())
    for (const socket of [caller, server]) {
      socket.on('error', () => {})
      socket.on('close', () => [caller, server].forEach(each => each.destroy()))
    }
  }

  private async _forward (from: Socket, to: Socket): Promise<void> {
    for await (const chunk of from) {
      const bytes = chunk as Buffer
      for (let at = 0; at < bytes.length; at += sliceBytes) {
        const slice = bytes.subarray(at, at + sliceBytes)
        this._freeAt = Math.max(this._freeAt, performance.now()) + slice.length / this._bytesPerSecond * 1_000
        await pause(this._freeAt - performance.now())
        to.write(slice)
      }
    }
    to.end()
  }
}

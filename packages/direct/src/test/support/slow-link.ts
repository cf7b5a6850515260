/**
 * A loopback link with a bounded rate.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'

const loopback = '127.0.0.1'
const sliceBytes = 4_096

/** Carries connections to a port; all together share the rate of what comes back. */
export class SlowLink {
  private _free = performance.now()
  private readonly _server: Server = createServer(caller => this._accept(caller))

  constructor (private readonly _target: number, private readonly _bytesPerSecond: number) {}

  get port (): number { return (this._server.address() as AddressInfo).port }

  listen (): Promise<void> { return new Promise(resolve => this._server.listen(0, loopback, resolve)) }

  stop (): void { this._server.close() }

  private _accept (caller: Socket): void {
    const server = connect(this._target, loopback)
    caller.pipe(server)
    this._carry(server, caller).catch(() => caller.destroy())
    for (const socket of [caller, server]) {
      socket.on('error', () => {})
      socket.on('close', () => [caller, server].forEach(each => each.destroy()))
    }
  }

  private async _carry (from: Socket, to: Socket): Promise<void> {
    for await (const chunk of from) {
      const bytes = chunk as Buffer
      for (let at = 0; at < bytes.length; at += sliceBytes) {
        const slice = bytes.subarray(at, at + sliceBytes)
        this._free = Math.max(this._free, performance.now()) + slice.length / this._bytesPerSecond * 1_000
        await pause(this._free - performance.now())
        to.write(slice)
      }
    }
    to.end()
  }
}

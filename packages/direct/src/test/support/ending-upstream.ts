/**
 * An upstream in a thread of its own, whose answers without a length end in several ways while the thread of the test is
 * busy.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

/**
 * - `stays open`: the connection does not end.
 * - `closes`: it ends in an orderly way.
 * - `is reset`: it is reset at once after the last byte; `is reset later`: in a later turn of the event loop.
 * - `closes, is reset later`: it ends in an orderly way, and is reset after that was read.
 */
export type ConnectionEnding = 'stays open' | 'closes' | 'is reset' | 'is reset later' | 'closes, is reset later'

/** What the upstream answers, in two parts. */
export interface EndingUpstreamData {
  readonly first: string
  readonly last: string
  readonly ending: ConnectionEnding
  /** Ms between the parts. */
  readonly gap: number
  /** Ms until a later reset. */
  readonly later: number
}

const { first, last, ending, gap, later } = workerData as EndingUpstreamData

function end (socket: Socket): void {
  switch (ending) {
    case 'stays open': return
    case 'closes':
      socket.end()
      return
    case 'is reset':
      socket.resetAndDestroy()
      return
    case 'closes, is reset later':
      socket.end()
      setTimeout(() => socket.resetAndDestroy(), later)
      return
    case 'is reset later':
      setTimeout(() => socket.resetAndDestroy(), later)
  }
}

const server = createServer({ noDelay: true }, socket => {
  socket.on('error', () => {})
  socket.once('data', () => {
    // The rest of an upload is not read.
    socket.pause()
    socket.write(first)
    setTimeout(() => socket.write(last, () => end(socket)), gap)
  })
})
server.listen(0, '127.0.0.1', () => parentPort?.postMessage((server.address() as AddressInfo).port))

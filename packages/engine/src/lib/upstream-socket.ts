/**
 * Connections to an upstream whose end counts as the end of an answer only if it was orderly.
 */
import type { Socket } from 'node:net'
import { buildConnector, errors } from 'undici'

type HeldEnd = 'none' | 'orderly' | 'reset'

function resetError (): Error { return new errors.SocketError('reset by the upstream') }

/**
 * Makes a socket report each reset as a failure, and its end only once its reader has read everything.
 *
 * The client takes the end of a socket, and `ECONNRESET`, for the end of an answer that only the close of its connection
 * ends; both fail an assertion while its parser is paused. Both are decided before a listener of the socket is called, so
 * its methods are replaced.
 */
function guardEnd (socket: Socket): Socket {
  const push = socket.push.bind(socket)
  const read = socket.read.bind(socket) as (size?: number) => unknown
  const destroy = socket._destroy.bind(socket)
  let held: HeldEnd = 'none'

  function release (end: HeldEnd): void {
    held = 'none'
    if (end === 'none') return
    if (end === 'reset') {
      // The reader parses what it has read before the error; an answer with a length may be complete by then.
      process.nextTick(() => socket.destroy(resetError()))
      return
    }
    push(null)
    read(0)
  }

  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null) return push(chunk, encoding)
    // A reset that arrived with the last data is read as an end, but leaves the socket without a peer.
    held = socket.remoteAddress === undefined ? 'reset' : 'orderly'
    socket.emit('readable')
    return false
  }
  socket.read = (size?: number) => {
    const chunk = read(size)
    // Node itself reads 0 bytes, also while the parser is paused.
    if (chunk === null && size !== 0) release(held)
    return chunk
  }
  socket._destroy = (cause, done) => destroy((cause as NodeJS.ErrnoException | null)?.code === 'ECONNRESET' ? resetError() : cause, done)
  return socket
}

const connect = buildConnector({})

/** Connects to an upstream, for a pool. */
export const connectUpstream: buildConnector.connector = (options, callback) => {
  connect(options, (...[error, socket]) => {
    if (error === null) callback(null, guardEnd(socket))
    else callback(error, null)
  })
}

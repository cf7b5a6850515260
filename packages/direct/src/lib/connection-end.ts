/**
 * Tells how the other side ended a connection.
 */
import type { Socket } from 'node:net'

/**
 * How a connection ended.
 *
 * - `orderly`: the other side ended it after its last byte.
 * - `reset`: the end of its data was read, and a reset.
 * - `unknown`: it is open, or it can't be judged, for example after a failed write.
 */
export type ConnectionEnd = 'orderly' | 'reset' | 'unknown'

const ends = new WeakMap<Socket, ConnectionEnd>()

/**
 * Records how a connection will end. Has to be called before its end is read; further calls have no effect.
 *
 * A reset that is read together with the last data is reported as the end of the data, without an error. The kernel
 * has no peer address for the connection any more, while it keeps that of one that was ended by the other side only.
 *
 * @param socket - a connection whose `remoteAddress` nobody else reads: its first value is cached
 */
export function watchConnectionEnd (socket: Socket): void {
  if (ends.has(socket)) return
  ends.set(socket, 'unknown')
  // The listeners of the parser and of the callers may close the connection.
  socket.prependListener('end', () => {
    if (!socket.destroyed) ends.set(socket, socket.remoteAddress === undefined ? 'reset' : 'orderly')
  })
}

/** Returns how a connection ended, as recorded by {@link watchConnectionEnd}. */
export function connectionEnd (socket: Socket | undefined): ConnectionEnd {
  return (socket === undefined ? undefined : ends.get(socket)) ?? 'unknown'
}

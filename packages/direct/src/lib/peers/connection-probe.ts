/**
 * Probes whether a process listens at an address.
 */
import { connect } from 'node:net'
import type { Ms } from '@hazelford/core'

/**
 * Result of a connection attempt.
 *
 * - `open`: a process listens.
 * - `refused`: the host is up, and no process listens.
 * - `silent`: neither; the host is down, frozen or cut off.
 */
export type ProbeOutcome = 'open' | 'refused' | 'silent'

/**
 * Opens a connection and closes it at once.
 *
 * @param host - IPv4 number
 * @param port - to connect to
 * @param timeout - ms until the result is `silent`
 */
export function probeConnection (host: string, port: number, timeout: Ms): Promise<ProbeOutcome> {
  return new Promise(resolve => {
    const socket = connect({ host, port })
    const end = (outcome: ProbeOutcome): void => {
      socket.destroy()
      resolve(outcome)
    }
    socket.setTimeout(timeout, () => end('silent'))
    socket.once('connect', () => end('open'))
    socket.on('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}

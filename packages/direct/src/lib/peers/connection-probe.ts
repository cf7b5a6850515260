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

function outcomeOf ({ code }: NodeJS.ErrnoException): ProbeOutcome {
  switch (code) {
    case 'ECONNREFUSED': return 'refused'
    // A process that has too many connections accepts this one and resets it.
    case 'ECONNRESET': return 'open'
    default: return 'silent'
  }
}

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
    socket.on('error', (error: NodeJS.ErrnoException) => end(outcomeOf(error)))
  })
}

/** Time for each of two probes of {@link isListening}; the first one may be lost on the way. */
const listeningProbeTimeout: Ms = 250

/**
 * Tells whether a process listens at an address.
 *
 * @param host - IPv4 number
 * @param port - to connect to
 */
export async function isListening (host: string, port: number): Promise<boolean> {
  const first = await probeConnection(host, port, listeningProbeTimeout)
  return (first === 'silent' ? await probeConnection(host, port, listeningProbeTimeout) : first) === 'open'
}

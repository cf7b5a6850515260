/**
 * Limits the bytes of an answer that are no part of its body.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'

/** A head of the size that the parser accepts, and as much for interim responses. */
const overheadLimit = 32 * 1024

/** What {@link limitOverhead} counts. */
export interface Overhead {
  /** Has to be called for each part of the body that is read. */
  readonly bodyRead: () => void
  /** Bytes since the last part of the body. */
  readonly bytes: number
}

/**
 * Limits the bytes that arrive before the head of an answer, or between two parts of its body.
 *
 * The parser accepts interim responses, empty lines and digits of a chunk's size without a limit. None of them is an
 * event of the request, so no other limit ends an exchange that gets nothing else.
 *
 * @param req - the request
 * @param exceeded - is called once more than {@link overheadLimit} bytes have arrived, with the head if there is one
 */
export function limitOverhead (req: ClientRequest, exceeded: (res: IncomingMessage | undefined) => void): Overhead {
  let bytes = 0
  let hasBody = false
  let res: IncomingMessage | undefined
  req.once('response', response => { res = response })
  req.once('socket', socket => {
    const count = (read: Buffer): void => {
      if (socket.destroyed) return
      // Nothing can be counted while the answer isn't read; then the parser buffers a part of the body and stops.
      const isBody = hasBody || (res !== undefined && (res.complete || res.readableFlowing !== true || res.readableLength > 0))
      hasBody = false
      bytes = isBody ? 0 : bytes + read.length
      if (bytes > overheadLimit) exceeded(res)
    }
    // Called for each read after the parser.
    socket.on('data', count)
    req.once('close', () => socket.removeListener('data', count))
  })
  return {
    bodyRead: () => { hasBody = true },
    get bytes () { return bytes }
  }
}

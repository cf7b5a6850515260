/**
 * Reads what is left of an answer that nobody needs, so that its connection can be used again.
 */
import type { IncomingMessage } from 'node:http'
import type { Clock, Ms } from '@hazelford/core'
import { afterReading } from '../after-reading.js'

/** How much of an answer is discarded before its connection is closed instead. */
export interface DiscardLimits {
  readonly bytes: number
  readonly time: Ms
}

/**
 * Discards the rest of an answer.
 *
 * @param res - the answer
 * @param clock - times the limit
 * @param limits - bytes and time
 * @param read - is called for each part
 * @param exceeded - is called once with the bytes so far, when the rest is larger or takes longer; has to close the connection
 */
export function discardRest (res: IncomingMessage, clock: Clock, limits: DiscardLimits, read: () => void, exceeded: (bytes: number) => void): void {
  let bytes = 0
  let isOver = false
  const stop = (): void => {
    isOver = true
    cancel()
  }
  const exceed = (): void => {
    if (isOver) return
    stop()
    exceeded(bytes)
  }
  const cancel = afterReading(clock, limits.time, exceed)
  res.once('end', stop)
  res.once('close', stop)
  res.on('data', (chunk: Buffer) => {
    read()
    bytes += chunk.length
    if (bytes > limits.bytes) exceed()
  })
  res.resume()
}

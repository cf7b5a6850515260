/**
 * Timers that judge what has arrived.
 */
import type { CancelTimer, Clock, Ms } from '@hazelford/core'

/**
 * Calls a function once after a delay, when the data that waits in the sockets of this process was read.
 *
 * After a pause of the process its timers run before its sockets are read, and what has arrived in time would count as
 * missing.
 *
 * @param clock - times the delay
 * @param delay - ms from now
 * @param run - function to call
 * @returns a function that cancels the call
 */
export function afterReading (clock: Clock, delay: Ms, run: () => void): CancelTimer {
  let isCancelled = false
  const cancel = clock.after(delay, () => {
    setImmediate(() => setImmediate(() => { if (!isCancelled) run() }))
  })
  return () => {
    isCancelled = true
    cancel()
  }
}

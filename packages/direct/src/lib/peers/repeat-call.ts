/**
 * Repeats a call to another entry that fails.
 */
import { type Clock, type Ms, sleep } from '@hazelford/core'

/** How a call is repeated. */
export interface RepeatOptions {
  readonly clock: Clock
  /** Number of times that the call is made at most. */
  readonly attempts: number
  /** Pause before the next attempt. */
  readonly pause: Ms
  /** Whether this entry is stopping, so that no further attempt is made. */
  readonly stopped: () => boolean
}

/**
 * Makes a call until it succeeds.
 *
 * @param call - may be made several times
 * @returns the call's result; rejects with the error of the last attempt
 */
export async function repeatCall<T> (call: () => Promise<T>, { clock, attempts, pause, stopped }: RepeatOptions): Promise<T> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await call()
    } catch (error) {
      if (attempt >= attempts || stopped()) throw error
    }
    await sleep(clock, pause)
  }
}

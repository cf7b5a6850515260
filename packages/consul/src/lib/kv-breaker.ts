/**
 * Circuit breaker for the key-value service.
 */
import type { Clock, Ms } from '@hazelford/core'
import { errAsync, type ResultAsync } from 'neverthrow'
import type { KvClient, KvFailure } from './kv-client.js'

const openAfterFailures = 2
const openMs: Ms = 1_000
const breakerOpen: KvFailure = { kind: 'not-applied', message: 'The key-value service did not answer the last calls.' }

/**
 * Wraps a client in a circuit breaker.
 *
 * Each call to a service that does not answer lasts until its time-out. An adapter load or a
 * call with an idempotency key makes two or three such calls, so during an outage each would
 * stall for seconds. After two consecutive failures calls fail at once, as not applied, except
 * for one probe per second.
 *
 * @param kv - client to wrap
 * @param clock - times the probes
 */
export function withBreaker (kv: KvClient, clock: Clock): KvClient {
  let failures = 0
  let probeAt: Ms = 0

  function guard<T> (call: () => ResultAsync<T, KvFailure>): ResultAsync<T, KvFailure> {
    if (failures >= openAfterFailures) {
      if (clock.now() < probeAt) return errAsync(breakerOpen)
      probeAt = clock.now() + openMs
    }
    return call()
      .map(value => {
        failures = 0
        return value
      })
      .mapErr(failure => {
        failures++
        if (failures === openAfterFailures) probeAt = clock.now() + openMs
        return failure
      })
  }

  return {
    read: key => guard(() => kv.read(key)),
    // A watch waits by design, and its callers retry with a backoff.
    watch: (key, index, wait, signal) => kv.watch(key, index, wait, signal),
    list: prefix => guard(() => kv.list(prefix)),
    cas: (key, index, value) => guard(() => kv.cas(key, index, value)),
    remove: (key, index) => guard(() => kv.remove(key, index))
  }
}

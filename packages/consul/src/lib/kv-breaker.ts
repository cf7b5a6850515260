/**
 * Spares callers the timeout of each call while the key-value service is down.
 */
import type { Clock, Ms } from '@hazelford/core'
import { errAsync, type ResultAsync } from 'neverthrow'
import type { KvClient, KvFailure } from './kv-client.js'

const openAfterFailures = 2
const openMs: Ms = 1_000
const open: KvFailure = { kind: 'not-applied', message: 'The key-value service did not answer the last calls.' }

/**
 * Wraps a client in a circuit breaker.
 *
 * A service that swallows calls costs each caller a whole timeout. Loads and keyed
 * bookings make two or three calls each, so an outage would show as seconds of stall
 * on every one. After two failures in a row calls fail at once, as not applied, except
 * for one probe a second.
 *
 * @param kv - the client
 * @param clock - for the probes
 */
export function withBreaker (kv: KvClient, clock: Clock): KvClient {
  let failures = 0
  let probeAt: Ms = 0

  function guard<T> (call: () => ResultAsync<T, KvFailure>): ResultAsync<T, KvFailure> {
    if (failures >= openAfterFailures) {
      if (clock.now() < probeAt) return errAsync(open)
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
    // A watch waits by design; its own retries have a backoff.
    watch: (key, index, wait, signal) => kv.watch(key, index, wait, signal),
    list: prefix => guard(() => kv.list(prefix)),
    cas: (key, index, value) => guard(() => kv.cas(key, index, value)),
    remove: (key, index) => guard(() => kv.remove(key, index))
  }
}

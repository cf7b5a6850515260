/**
 * One HTTP call to an upstream, with what its failure says about having run.
 */
import { failure, type Failure } from '@hazelford/core'
import type { Dispatcher, Pool } from 'undici'

/** A call to be made. */
export interface HttpCall {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string>
  readonly body?: Uint8Array | string
}

/** Raw events of a call. */
export interface HttpSink {
  readonly head: (status: number, headers: Record<string, string | string[]>) => void
  readonly data: (data: Buffer) => void
  readonly end: () => void
  readonly fail: (failure: Failure) => void
}

/** Steers the connection of a call. */
export interface HttpHandle {
  readonly pause: () => void
  readonly resume: () => void
  readonly abort: () => void
}

const retryAfterRefusedConnection = 500

function lostCall (wasSent: boolean, cause: Error): Failure {
  // Before the request is written nothing can have run, and another upstream may
  // have it. After that the upstream may have run it, whatever the error says.
  return wasSent
    ? failure('may-have-run', 'upstream-lost', `The connection to the upstream broke (${cause.message}). Repeat only what is idempotent or has an Idempotency-Key.`)
    : failure('not-run', 'cold', `The upstream takes no connection (${cause.message}). Send the request again later.`, retryAfterRefusedConnection)
}

/**
 * Makes a call.
 *
 * @param pool - connections to the upstream
 * @param call - what to send
 * @param sink - hears the answer or one failure
 */
export function startHttpCall (pool: Pool, call: HttpCall, sink: HttpSink): HttpHandle {
  let controller: Dispatcher.DispatchController | undefined
  let aborted = false
  let paused = false
  pool.dispatch({
    method: call.method as Dispatcher.HttpMethod,
    path: call.path,
    headers: call.headers,
    body: call.body === undefined ? null : Buffer.from(call.body as Uint8Array),
    headersTimeout: 0,
    bodyTimeout: 0
  }, {
    onRequestStart (started) {
      controller = started
      if (aborted) started.abort(new Error('cancelled'))
    },
    onResponseStart (started, status, headers) {
      sink.head(status, headers as Record<string, string | string[]>)
      if (paused) started.pause()
    },
    onResponseData (_, data) { if (!aborted) sink.data(data) },
    onResponseEnd () { if (!aborted) sink.end() },
    onResponseError (_, cause) { if (!aborted) sink.fail(lostCall(controller !== undefined, cause)) }
  })
  return {
    pause: () => {
      paused = true
      controller?.pause()
    },
    resume: () => {
      paused = false
      controller?.resume()
    },
    abort: () => {
      aborted = true
      controller?.abort(new Error('cancelled'))
    }
  }
}

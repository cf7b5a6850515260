/**
 * One HTTP call to an upstream; its failure states whether the call may have run.
 */
import { failure, type Failure, judgeAnswerHead } from '@hazelford/core'
import type { Dispatcher, Pool } from 'undici'

/** An HTTP call to make. */
export interface HttpCall {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string>
  readonly body?: Uint8Array | string
}

/** Receives the answer of a call, or one failure. */
export interface HttpSink {
  readonly head: (status: number, headers: Record<string, string | string[]>) => void
  readonly data: (data: Buffer) => void
  readonly end: () => void
  readonly fail: (failure: Failure) => void
}

/** Controls the connection of a call. */
export interface HttpHandle {
  readonly pause: () => void
  readonly resume: () => void
  readonly abort: () => void
}

/** Interim responses to one call. An upstream that sends more may go on without end. */
const maxInterimResponses = 64
const finalStatus = 200

const retryAfterRefusedConnection = 500

function callFailure (wasSent: boolean, cause: Error): Failure {
  // Before the request is written it can't have run, so another upstream may get it.
  // After that the upstream may have run it, whatever the error.
  return wasSent
    ? failure('may-have-run', 'upstream-lost', `The connection to the upstream broke (${cause.message}). Repeat only what is idempotent or has an Idempotency-Key.`)
    : failure('not-run', 'cold', `The upstream accepts no connection (${cause.message}). Send the request again later.`, retryAfterRefusedConnection)
}

function namesAndValues (fields: Record<string, string | string[]>): readonly string[] {
  return Object.entries(fields).flatMap(([name, value]) => [value].flat().flatMap(one => [name, one]))
}

/**
 * Starts a call.
 *
 * @param pool - connections to the upstream
 * @param call - the call to make
 * @param sink - receives the answer or one failure
 */
export function startHttpCall (pool: Pool, call: HttpCall, sink: HttpSink): HttpHandle {
  let controller: Dispatcher.DispatchController | undefined
  let aborted = false
  let paused = false
  let interimResponses = 0
  let bytesLeft = Infinity
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
    onResponseStart (started, status, headers, reason) {
      if (status < finalStatus) {
        if (++interimResponses > maxInterimResponses) started.abort(new Error('Too many interim responses.'))
        return
      }
      const fields = headers as Record<string, string | string[]>
      const verdict = judgeAnswerHead(call.method, status, namesAndValues(fields), reason)
      if (verdict.kind === 'invalid') return started.abort(new Error(`The message is no answer: invalid ${verdict.problem}.`))
      if (verdict.framing === 'length') bytesLeft = Number(fields['content-length'])
      sink.head(status, fields)
      if (paused) started.pause()
    },
    // A parser that was paused reports no bytes when it resumes; pausing it then would leave it paused at the end of its socket.
    onResponseData (_, data) {
      if (aborted || data.length === 0) return
      bytesLeft -= data.length
      sink.data(data)
    },
    onResponseEnd () { if (!aborted) sink.end() },
    onResponseError (_, cause) { if (!aborted) sink.fail(callFailure(controller !== undefined, cause)) }
  })
  return {
    pause: () => {
      // All data is here; a paused parser would lose it with the connection.
      if (bytesLeft === 0) return
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

/**
 * Client of a plain service, which forwards calls unchanged.
 */
import { Pool } from 'undici'
import type { AnswerHeader, AnswerSink, CallHandle } from './answer-sink.js'
import { answerHeaders } from './headers.js'
import { startHttpCall } from './http-call.js'
import { connectUpstream } from './upstream-socket.js'

/** A call to forward. */
export interface PlainCall {
  readonly method: string
  readonly path: string
  readonly headers: readonly AnswerHeader[]
  readonly body: Uint8Array
}

/** Operations of a plain service that the sidecar uses. */
export interface PlainClient {
  readonly call: (call: PlainCall, sink: AnswerSink) => CallHandle
  readonly close: () => Promise<void>
}

/**
 * Creates a client of a plain service.
 *
 * @param url - base URL of the service
 */
export function createPlainClient (url: string): PlainClient {
  const pool = new Pool(url, { connect: connectUpstream, connections: null, pipelining: 1 })
  return {
    call: (call, sink) => {
      const http = startHttpCall(pool, {
        method: call.method,
        path: call.path,
        headers: Object.fromEntries(call.headers.map(header => [header.name, header.value])),
        ...(call.body.length > 0 ? { body: call.body } : {})
      }, {
        head: (status, headers) => sink.head(status, answerHeaders(headers)),
        data: data => sink.data(data),
        end: () => sink.end(),
        fail: cause => sink.fail(cause)
      })
      return { pause: http.pause, resume: http.resume, cancel: async () => http.abort() }
    },
    close: () => pool.destroy()
  }
}

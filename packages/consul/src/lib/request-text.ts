/**
 * Requests whose answer is read as text, with time limits.
 */
import { AnswerDeadline, type AnswerLimits, judgeAnswerHead } from '@hazelford/core'
import type { Dispatcher, Pool } from 'undici'

/** A complete answer. */
export interface TextAnswer {
  readonly status: number
  readonly headers: Dispatcher.ResponseData['headers']
  readonly text: string
}

/** Larger answers are rejected as faulty. */
const maxAnswerBytes = 64 << 20

/**
 * Makes a request.
 *
 * @param pool - connections to use
 * @param req - what to send
 * @param limits - limits on the answer
 * @param signal - cancels the request
 * @returns rejects when no complete answer arrived in time
 */
export async function requestText (pool: Pool, req: Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'body'>, limits: AnswerLimits, signal?: AbortSignal): Promise<TextAnswer> {
  const expired = new AbortController()
  const deadline = new AnswerDeadline(limits, cause => expired.abort(new Error(cause)))
  try {
    const res = await pool.request({ ...req, signal: signal === undefined ? expired.signal : AbortSignal.any([expired.signal, signal]) })
    const fields = Object.entries(res.headers).flatMap(([name, value]) => [value ?? []].flat().flatMap(one => [name, one]))
    const verdict = judgeAnswerHead(req.method, res.statusCode, fields)
    if (verdict.kind === 'invalid') {
      res.body.on('error', () => {}).destroy()
      throw new Error(`The message is no answer: invalid ${verdict.problem}.`)
    }
    deadline.progress()
    const chunks: Buffer[] = []
    let size = 0
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxAnswerBytes) throw new Error(`The answer has more than ${maxAnswerBytes} bytes.`)
      chunks.push(chunk)
      deadline.progress()
    }
    return { status: res.statusCode, headers: res.headers, text: Buffer.concat(chunks).toString('utf8') }
  } finally {
    deadline.stop()
  }
}

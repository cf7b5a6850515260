/**
 * Calls that send and receive JSON over HTTP/1.1.
 */
import { type Agent, type IncomingMessage, request } from 'node:http'
import type { Socket } from 'node:net'
import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { AnswerDeadline, type AnswerLimits, judgeAnswerHead, type Ms } from '@hazelford/core'
import { connectionEnd, watchConnectionEnd } from '../connection-end.js'
import { limitOverhead } from '../overhead-limit.js'

/** One call. The limits on its answer are what shows a connection that has become silent. */
export interface JsonCall extends AnswerLimits {
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: object
  /** Whether the answer may be long, and is requested in compressed form. */
  readonly compressed?: boolean
  /** A larger answer is not read; {@link maxAnswerBytes} by default. */
  readonly maxBytes?: number
  /** Is called whenever a part of an answer with status 200 has arrived. */
  readonly onData?: () => void
}

/** A complete answer. */
export interface JsonAnswer {
  readonly status: number
  /** Undefined when the body is empty. */
  readonly body: unknown
  readonly headers: IncomingMessage['headers']
  /** Ms since the call was made. */
  readonly took: Ms
  /** Bytes of the body, as transferred. */
  readonly bytes: number
}

/**
 * Why a call has no complete answer: none arrived in time, or it is larger than the caller accepts.
 */
export type NoAnswerKind = 'not-received' | 'too-large'

/** A call without a complete answer. */
export class NoAnswer extends Error {
  /**
   * @param sent - whether the call may have reached the other side
   * @param bytes - bytes of the answer's body that were received
   */
  constructor (message: string, readonly sent: boolean, readonly bytes = 0, readonly kind: NoAnswerKind = 'not-received') { super(message) }
}

/** A message that is larger than its limit. */
class MessageTooLarge extends Error {
  constructor () { super('The message is too large.') }
}

/** Larger answers are rejected as faulty: the largest value of the store is a megabyte, and so is a page of it. */
const maxAnswerBytes = 8 << 20

/** Name of the supported compression, in headers. */
export const compression = 'gzip'

const decompress = promisify(gunzip)

/**
 * Reads a JSON body.
 *
 * @param source - a request or an answer
 * @param limit - bytes, also of the decompressed body
 * @returns the value; undefined for an empty body
 */
export async function readJson (source: IncomingMessage, limit: number): Promise<unknown> {
  const bytes = await readBytes(source, limit)
  const plain = source.headers['content-encoding'] === compression ? await decompress(bytes, { maxOutputLength: limit }) : bytes
  const text = plain.toString('utf8')
  try {
    return text === '' ? undefined : JSON.parse(text)
  } catch (error) {
    throw new Error(`The message is not valid JSON: ${(error as Error).message}`)
  }
}

function readBytes (source: IncomingMessage, limit: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    source.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > limit) source.destroy(new MessageTooLarge())
      else chunks.push(chunk)
    })
    source.on('end', () => resolve(Buffer.concat(chunks)))
    source.on('error', reject)
    source.on('aborted', () => reject(new Error('The message was cut short.')))
  })
}

/**
 * Makes a call.
 *
 * @param agent - connections to use
 * @param call - what to send
 * @returns rejects with {@link NoAnswer} when no complete answer arrived in time
 */
export function callJson (agent: Agent, call: JsonCall): Promise<JsonAnswer> {
  const { host, port, method, path, maxBytes = maxAnswerBytes, onData = () => {} } = call
  const body = call.body === undefined ? undefined : JSON.stringify(call.body)
  const framing = body === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }
  const accepts = call.compressed === true ? { 'Accept-Encoding': compression } : {}
  const startedAt = performance.now()
  return new Promise((resolve, reject) => {
    let sent = false
    let bytes = 0
    const req = request({ agent, host, port, method, path, headers: { ...call.headers, ...framing, ...accepts } })
    const deadline = new AnswerDeadline(call, cause => { req.destroy(new Error(cause)) })
    const overhead = limitOverhead(req, () => fail(new MessageTooLarge()))
    const fail = (error: Error): void => {
      deadline.stop()
      req.destroy()
      reject(new NoAnswer(error.message, sent, bytes, error instanceof MessageTooLarge ? 'too-large' : 'not-received'))
    }
    let connection: Socket | undefined
    req.on('socket', socket => {
      connection = socket
      watchConnectionEnd(socket)
      if (socket.connecting) socket.once('connect', () => { sent = true })
      else sent = true
    })
    req.on('error', fail)
    req.on('upgrade', (_, socket) => {
      socket.destroy()
      fail(new Error('The other side changed the protocol, which no call asks for.'))
    })
    req.on('response', res => {
      deadline.progress()
      const head = judgeAnswerHead(method, res.statusCode ?? 0, res.rawHeaders, res.statusMessage)
      if (head.kind === 'invalid') return fail(new Error(`The head is not that of an answer (${head.problem}).`))
      res.on('data', (chunk: Buffer) => {
        bytes += chunk.length
        overhead.bodyRead()
        deadline.progress()
        if (res.statusCode === 200) onData()
      })
      if (Number(res.headers['content-length'] ?? 0) > maxBytes) return fail(new MessageTooLarge())
      readJson(res, maxBytes).then(value => {
        if (head.framing === 'connection' && connectionEnd(connection) !== 'orderly') return fail(new Error('The end of the answer is not proved.'))
        deadline.stop()
        resolve({ status: res.statusCode ?? 0, body: value, headers: res.headers, took: performance.now() - startedAt, bytes })
      }, fail)
    })
    req.end(body)
  })
}

/**
 * Reads and validates a caller's request before it is routed.
 */
import type { IncomingMessage } from 'node:http'
import { type AdapterRef, classRank, failure, type Failure, parseModel, parseTrafficClass, type TrafficClass } from '@hazelford/core'
import { type Config, findAdapter, isIdempotentCall, type Service } from '@hazelford/config'
import { err, ok, type Result } from 'neverthrow'

/** A validated request of a caller. */
export interface Call {
  readonly service: Service
  readonly adapter: AdapterRef | undefined
  readonly trafficClass: TrafficClass
  readonly idempotent: boolean
  readonly idempotencyKey: string
  readonly deadlineMs: number
  readonly method: string
  /** Path and query at the upstream. */
  readonly path: string
  readonly headers: readonly { readonly name: string, readonly value: string }[]
  readonly body: Buffer
  readonly streamed: boolean
}

const maxKeyLength = 255

/** Headers of callers that are not forwarded to upstreams, besides those that the Connection header names. */
const unforwardedHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'x-fencing-number', 'x-request-id'
])

function refuse (code: 'bad-request' | 'bad-deadline' | 'unknown-model' | 'unknown-service' | 'too-large', message: string): Result<never, Failure> {
  return err(failure('not-run', code, message))
}

/**
 * Reads a request body.
 *
 * @param req - the raw request
 * @param limit - largest size in bytes
 * @returns the body, or a failure as soon as it exceeds the limit
 */
export function readBody (req: IncomingMessage, limit: number): Promise<Result<Buffer, Failure>> {
  const tooLarge = refuse('too-large', `The body exceeds ${limit} bytes. Send less, or ask the operators to raise max_body_bytes.`)
  if (Number(req.headers['content-length'] ?? 0) > limit) return Promise.resolve(tooLarge)
  return new Promise(resolve => {
    const parts: Buffer[] = []
    let size = 0
    req.on('data', (part: Buffer) => {
      size += part.length
      if (size > limit) resolve(tooLarge)
      else parts.push(part)
    })
    req.on('end', () => resolve(ok(parts.length === 1 ? parts[0]! : Buffer.concat(parts))))
    req.on('error', () => resolve(refuse('bad-request', 'The body ended early.')))
  })
}

function readDeadline (req: IncomingMessage, service: Service): Result<number, Failure> {
  const text = req.headers['x-hazelford-deadline-ms']
  if (text === undefined) return ok(service.deadlineMs)
  const ms = Number(text)
  if (!Number.isInteger(ms) || ms < 1) {
    return refuse('bad-deadline', `x-hazelford-deadline-ms must be a whole number of milliseconds from 1, not "${String(text)}".`)
  }
  return ok(Math.min(ms, service.maxDeadlineMs))
}

function readClass (req: IncomingMessage, service: Service): Result<TrafficClass, Failure> {
  const text = req.headers['x-hazelford-class']
  if (text === undefined) return ok(service.trafficClass)
  const requested = parseTrafficClass(String(text))
  if (requested === undefined) return refuse('bad-request', `x-hazelford-class must be receipt, booking, interactive or draft, not "${String(text)}".`)
  return ok(classRank(requested) < classRank(service.highestClass) ? service.highestClass : requested)
}

function readKey (req: IncomingMessage): Result<string, Failure> {
  const key = req.headers['idempotency-key'] ?? ''
  if (typeof key !== 'string' || key.length > maxKeyLength) {
    return refuse('bad-request', `Idempotency-Key must be at most ${maxKeyLength} characters.`)
  }
  return ok(key)
}

type CommonFields = Pick<Call, 'trafficClass' | 'deadlineMs' | 'idempotencyKey'>

function readCommon (req: IncomingMessage, service: Service): Result<CommonFields, Failure> {
  return readDeadline(req, service).andThen(deadlineMs =>
    readClass(req, service).andThen(trafficClass =>
      readKey(req).map(idempotencyKey => ({ deadlineMs, trafficClass, idempotencyKey }))))
}

interface ModelBody { readonly model: string, readonly stream: boolean }

function readModelBody (body: Buffer): Result<ModelBody, Failure> {
  let parsed: unknown
  try {
    parsed = JSON.parse(body.toString('utf8'))
  } catch (error) {
    return refuse('bad-request', `The body is not JSON: ${(error as Error).message}.`)
  }
  const { model, stream } = (parsed ?? {}) as { model?: unknown, stream?: unknown }
  if (typeof model !== 'string') return refuse('bad-request', 'The field "model" is missing. Name an adapter, such as "name" or "name@version".')
  if (stream !== undefined && typeof stream !== 'boolean') return refuse('bad-request', 'The field "stream" must be true or false.')
  return ok({ model, stream: stream === true })
}

/**
 * Reads a completion request.
 *
 * @param req - the raw request, for its headers
 * @param path - path at the engine
 * @param body - the JSON body
 * @param config - configuration in force
 */
export function readCompletion (req: IncomingMessage, path: string, body: Buffer, config: Config): Result<Call, Failure> {
  return readModelBody(body).andThen(({ model, stream }) => {
    const { name, version } = parseModel(model)
    const adapter = findAdapter(config, name, version)
    const service = config.services.get(config.adapters.get(name)?.service ?? '')
    if (adapter === undefined || service === undefined) {
      return refuse('unknown-model', `No adapter or version "${model}" is configured. GET /v1/models lists them.`)
    }
    return readCommon(req, service).map(common => ({
      ...common, service, adapter, idempotent: true, method: 'POST', path, headers: [], body, streamed: stream
    }))
  })
}

function forwardedHeaders (req: IncomingMessage): Call['headers'] {
  const named = String(req.headers.connection ?? '').toLowerCase().split(/\s*,\s*/)
  const passed: { name: string, value: string }[] = []
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || unforwardedHeaders.has(name) || named.includes(name) || name.startsWith('x-hazelford-')) continue
    passed.push({ name, value: Array.isArray(value) ? value.join(', ') : value })
  }
  return passed
}

/**
 * Reads a call to a plain service.
 *
 * @param req - the raw request, for its method and headers
 * @param name - name of the service
 * @param path - path and query at the service
 * @param body - body as sent
 * @param config - configuration in force
 */
export function readPlainCall (req: IncomingMessage, name: string, path: string, body: Buffer, config: Config): Result<Call, Failure> {
  const service = config.services.get(name)
  if (service === undefined || service.kind !== 'plain') {
    return refuse('unknown-service', `No plain service "${name}" is configured.`)
  }
  const method = req.method ?? 'GET'
  // A call is idempotent only if the service's configuration says so and the caller does not deny it.
  const idempotent = isIdempotentCall(service, method, path) && req.headers['x-hazelford-idempotent'] !== 'false'
  return readCommon(req, service).map(common => ({
    ...common, service, adapter: undefined, idempotent, method, path, headers: forwardedHeaders(req), body, streamed: false
  }))
}

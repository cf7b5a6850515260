/**
 * Reads a caller's request and checks it before anything is done.
 */
import type { IncomingMessage } from 'node:http'
import { type AdapterRef, classRank, failure, type Failure, parseModel, parseTrafficClass, type TrafficClass } from '@hazelford/core'
import { type Config, findAdapter, isIdempotentCall, type Service } from '@hazelford/config'
import { err, ok, type Result } from 'neverthrow'

/** A checked request. */
export interface Call {
  readonly service: Service
  readonly adapter: AdapterRef | undefined
  readonly trafficClass: TrafficClass
  readonly idempotent: boolean
  readonly idempotencyKey: string
  readonly deadlineMs: number
  readonly method: string
  /** Path at the upstream. */
  readonly path: string
  readonly headers: readonly { readonly name: string, readonly value: string }[]
  readonly body: Buffer
  readonly streamed: boolean
}

const maxKeyLength = 255

/** Headers that callers may not hand to upstreams, besides those of the connection. */
const keptBack: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'x-fencing-number', 'x-request-id'
])

function refuse (code: 'bad-request' | 'bad-deadline' | 'unknown-model' | 'unknown-service' | 'too-large', message: string): Result<never, Failure> {
  return err(failure('not-run', code, message))
}

/**
 * Reads a body.
 *
 * @param req - the raw request
 * @param limit - bytes
 * @returns the body, or a failure as soon as it is too large
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
  const asked = parseTrafficClass(String(text))
  if (asked === undefined) return refuse('bad-request', `x-hazelford-class must be receipt, booking, interactive or draft, not "${String(text)}".`)
  return ok(classRank(asked) < classRank(service.highestClass) ? service.highestClass : asked)
}

function readKey (req: IncomingMessage): Result<string, Failure> {
  const key = req.headers['idempotency-key'] ?? ''
  if (typeof key !== 'string' || key.length > maxKeyLength) {
    return refuse('bad-request', `Idempotency-Key must be at most ${maxKeyLength} characters.`)
  }
  return ok(key)
}

type Common = Pick<Call, 'trafficClass' | 'deadlineMs' | 'idempotencyKey'>

function readCommon (req: IncomingMessage, service: Service): Result<Common, Failure> {
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
 * Reads a completion.
 *
 * @param req - for its headers
 * @param path - path at the engine
 * @param body - JSON
 * @param config - in force
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

function passedHeaders (req: IncomingMessage): Call['headers'] {
  const named = String(req.headers.connection ?? '').toLowerCase().split(/\s*,\s*/)
  const passed: { name: string, value: string }[] = []
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || keptBack.has(name) || named.includes(name) || name.startsWith('x-hazelford-')) continue
    passed.push({ name, value: Array.isArray(value) ? value.join(', ') : value })
  }
  return passed
}

/**
 * Reads a call of a plain service.
 *
 * @param req - method and headers
 * @param name - the service
 * @param path - path and query at the service
 * @param body - as sent
 * @param config - in force
 */
export function readPlainCall (req: IncomingMessage, name: string, path: string, body: Buffer, config: Config): Result<Call, Failure> {
  const service = config.services.get(name)
  if (service === undefined || service.kind !== 'plain') {
    return refuse('unknown-service', `No plain service "${name}" is configured.`)
  }
  const method = req.method ?? 'GET'
  // The service's own word and the caller's: the safer of the two counts.
  const idempotent = isIdempotentCall(service, method, path) && req.headers['x-hazelford-idempotent'] !== 'false'
  return readCommon(req, service).map(common => ({
    ...common, service, adapter: undefined, idempotent, method, path, headers: passedHeaders(req), body, streamed: false
  }))
}

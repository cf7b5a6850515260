/**
 * Callers that record the answers they get.
 */
import { Pool } from 'undici'

/** The outcome of one request as its caller sees it. */
export interface CallerResult {
  readonly kind: 'completion' | 'booking'
  readonly token: string
  readonly model: string
  readonly status: number
  readonly verdict: string
  readonly code: string
  /** Whether the answer arrived completely. */
  readonly whole: boolean
  /** Text of the answer. */
  readonly text: string
  readonly firstMs: number
  readonly totalMs: number
  readonly replayed: boolean
}

const pools = new Map<string, Pool>()

function poolOf (url: string): Pool {
  const known = pools.get(url)
  if (known !== undefined) return known
  const pool = new Pool(url, { connections: null, pipelining: 1 })
  pools.set(url, pool)
  return pool
}

/** Closes the connections of all callers. */
export async function closeCallers (): Promise<void> {
  await Promise.all([...pools.values()].map(pool => pool.destroy()))
  pools.clear()
}

interface ReadBody { readonly text: string, readonly firstMs: number, readonly cut: boolean }

async function readAll (body: AsyncIterable<Buffer>, startedAt: number): Promise<ReadBody> {
  const parts: Buffer[] = []
  let firstMs = 0
  try {
    for await (const part of body) {
      if (parts.length === 0) firstMs = performance.now() - startedAt
      parts.push(part)
    }
  } catch {
    return { text: Buffer.concat(parts).toString(), firstMs, cut: true }
  }
  return { text: Buffer.concat(parts).toString(), firstMs, cut: false }
}

/** Joins the texts of a stream's events. */
export function streamText (sse: string): string {
  return sse.split('\n\n')
    .filter(event => event.startsWith('data: {'))
    .map(event => (JSON.parse(event.slice(6)) as { choices?: { text?: string }[] }).choices?.[0]?.text ?? '')
    .join('')
}

/** Text of an answer that was not streamed. */
function wholeText (kind: CallerResult['kind'], status: number, body: string): string {
  if (kind === 'booking' || status !== 200) return body
  return (JSON.parse(body) as { choices: { text: string }[] }).choices[0]!.text
}

interface CallerRequest {
  readonly kind: CallerResult['kind']
  readonly token: string
  readonly model: string
  readonly url: string
  readonly path: string
  readonly headers: Record<string, string>
  readonly body: object
}

async function send (call: CallerRequest): Promise<CallerResult> {
  const startedAt = performance.now()
  const base = { kind: call.kind, token: call.token, model: call.model }
  try {
    const res = await poolOf(call.url).request({
      method: 'POST',
      path: call.path,
      headers: { 'content-type': 'application/json', ...call.headers },
      body: JSON.stringify(call.body),
      headersTimeout: 60_000,
      bodyTimeout: 60_000
    })
    const { text, firstMs, cut } = await readAll(res.body, startedAt)
    const streamed = String(res.headers['content-type']).startsWith('text/event-stream')
    const error = streamed || res.statusCode < 400 ? undefined : (JSON.parse(text) as { error?: { code: string } }).error
    return {
      ...base,
      status: res.statusCode,
      verdict: String(res.headers['x-hazelford-verdict'] ?? ''),
      code: error?.code ?? '',
      whole: !cut && (!streamed || text.endsWith('data: [DONE]\n\n')),
      text: streamed ? streamText(text) : wholeText(call.kind, res.statusCode, text),
      firstMs,
      totalMs: performance.now() - startedAt,
      replayed: res.headers['idempotency-replayed'] === 'true'
    }
  } catch (error) {
    // The connection broke before an answer arrived, so the caller does not know the outcome.
    return { ...base, status: 0, verdict: '', code: (error as Error).message, whole: false, text: '', firstMs: 0, totalMs: performance.now() - startedAt, replayed: false }
  }
}

/** Requests a completion. */
export function complete (url: string, model: string, token: string, maxTokens: number, stream: boolean, headers: Record<string, string> = {}): Promise<CallerResult> {
  return send({ kind: 'completion', token, model, url, path: '/v1/completions', headers, body: { model, prompt: token, max_tokens: maxTokens, stream } })
}

/** Makes a booking; the same token names the same booking. */
export function book (url: string, token: string, headers: Record<string, string> = {}): Promise<CallerResult> {
  return send({ kind: 'booking', token, model: '', url, path: '/services/booking/reservations', headers, body: { token } })
}

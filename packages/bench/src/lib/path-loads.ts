/**
 * Load generators for the path benchmark: short calls and long streams.
 */
import { setMaxListeners } from 'node:events'
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'

/** The endpoint that a load calls. */
export interface Target {
  readonly url: string
  readonly path: string
}

/** Result of a closed loop. */
export interface Throughput {
  readonly perSecond: number
  readonly failed: number
}

/** Latency percentiles in ms. */
export interface Latency {
  readonly p50: number
  readonly p99: number
}

const microsPerMs = 1_000
/** Streams are opened at 500 a second, nine times one entry's share of the peak that the system is designed for. */
const opensPerStep = 10
const openStepMs = 20
const warmUpMs = 3_000

function pause (ms: number): Promise<void> { return new Promise(resolve => { setTimeout(resolve, ms) }) }

async function get (pool: Pool, path: string): Promise<boolean> {
  const res = await pool.request({ method: 'GET', path })
  await res.body.dump()
  return res.statusCode === 200
}

/**
 * Runs a closed loop: each caller sends its next call when the last one is answered.
 *
 * @param target - the endpoint to call
 * @param callers - number of concurrent calls
 * @param ms - duration in ms
 */
export async function closedLoop (target: Target, callers: number, ms: number): Promise<Throughput> {
  const pool = new Pool(target.url, { connections: callers })
  const end = performance.now() + ms
  let done = 0
  let failed = 0
  const caller = async (): Promise<void> => {
    while (performance.now() < end) {
      if (await get(pool, target.path)) done++
      else failed++
    }
  }
  const from = performance.now()
  await Promise.all(Array.from({ length: callers }, caller))
  const perSecond = done / ((performance.now() - from) / 1_000)
  await pool.destroy()
  return { perSecond, failed }
}

function latencyOf (histogram: Histogram): Latency {
  return { p50: histogram.getValueAtPercentile(50) / microsPerMs, p99: histogram.getValueAtPercentile(99) / microsPerMs }
}

/**
 * Runs an open loop: calls at a fixed rate, however long the answers take.
 *
 * @param target - the endpoint to call
 * @param perSecond - calls a second
 * @param ms - duration in ms
 */
export async function openLoop (target: Target, perSecond: number, ms: number): Promise<Latency> {
  const pool = new Pool(target.url, { connections: 128 })
  const histogram = buildHistogram()
  const pending: Promise<void>[] = []
  const gap = 1_000 / perSecond
  const from = performance.now()
  for (let i = 0; i < perSecond * ms / 1_000; i++) {
    const due = from + i * gap
    while (performance.now() < due) await new Promise(resolve => { setImmediate(resolve) })
    pending.push(get(pool, target.path).then(() => histogram.recordValue(Math.round((performance.now() - due) * microsPerMs))))
  }
  await Promise.all(pending)
  await pool.destroy()
  return latencyOf(histogram)
}

/** Events counted on open streams. */
export interface StreamLoad {
  readonly chunksPerSecond: number
  readonly failed: number
  readonly bytes: number
}

const eventMark = Buffer.from('data: {')

function countEvents (part: Buffer): number {
  let count = 0
  for (let at = part.indexOf(eventMark); at >= 0; at = part.indexOf(eventMark, at + 1)) count++
  return count
}

/**
 * Opens streams and counts their events in a window that starts after all of them have begun.
 *
 * @param target - the endpoint to call
 * @param model - the requested adapter
 * @param streams - number of streams
 * @param tokens - number of events in each stream
 * @param windowMs - length of the window
 * @param onWindowEdge - called when the window opens and when it closes
 */
export async function manyStreams (target: Target, model: string, streams: number, tokens: number, windowMs: number, onWindowEdge: () => Promise<void>): Promise<StreamLoad> {
  const pool = new Pool(target.url, { connections: null, headersTimeout: 60_000, bodyTimeout: 60_000 })
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  let begun = 0
  let failed = 0
  let counting = false
  let events = 0
  let bytes = 0
  const body = JSON.stringify({ model, prompt: 'p', max_tokens: tokens, stream: true })
  const stream = async (): Promise<void> => {
    const res = await pool.request({ method: 'POST', path: target.path, headers: { 'content-type': 'application/json' }, body, signal: abort.signal })
    if (res.statusCode !== 200) failed++
    let first = true
    for await (const part of res.body as AsyncIterable<Buffer>) {
      if (first) begun++
      first = false
      if (!counting) continue
      events += countEvents(part)
      bytes += part.length
    }
  }
  const all: Promise<void>[] = []
  for (let i = 0; i < streams; i++) {
    all.push(stream().catch(() => {}))
    if (i % opensPerStep === opensPerStep - 1) await pause(openStepMs)
  }
  const allOpen = (): boolean => begun + failed >= streams
  while (!allOpen()) await pause(openStepMs)
  // Opening a stream costs far more than carrying it, so the window starts after that cost has passed.
  await pause(warmUpMs)
  await onWindowEdge()
  counting = true
  const from = performance.now()
  await pause(windowMs)
  counting = false
  const chunksPerSecond = events / ((performance.now() - from) / 1_000)
  await onWindowEdge()
  abort.abort()
  await Promise.all(all)
  await pool.destroy()
  return { chunksPerSecond, failed, bytes }
}

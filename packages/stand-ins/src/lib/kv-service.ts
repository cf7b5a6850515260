/**
 * Stand-in for the platform's key-value service (Consul's KV over HTTP).
 */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { type Context, Hono } from 'hono'
import { type ListeningStandIn, type RawBindings, serve } from './serve.js'

/** Faults of the key-value service; each may be switched at any time. */
export interface KvFaults {
  /** Every connection is cut without a reply, and the call has no effect. */
  outage: boolean
  /** Every call hangs: it has no effect and gets no reply, and its connection stays open. */
  blackHole: boolean
  /** Added to every call, in ms. */
  delay: number
  /** This many of the next writes take effect but lose their reply. */
  lostWriteReplies: number
  /** Share of writes that take effect but lose their reply. */
  lostWriteShare: number
  /** Reads answer from the snapshot of {@link KvService.takeSnapshot}. */
  staleReads: boolean
}

/** Calls counted since the start. */
export interface KvCalls { reads: number, writes: number, watches: number }

interface Stored { readonly value: string, readonly modifyIndex: number }

/** The stand-in and its fault switches. */
export interface KvService extends ListeningStandIn {
  readonly faults: KvFaults
  readonly calls: KvCalls
  /** Value of a key, read without any fault. */
  peek: (key: string) => string | undefined
  /** Copies the whole content, for stale reads and restores. */
  takeSnapshot: () => void
  /** Replaces the whole content by the snapshot. */
  restoreSnapshot: () => void
}

const maxValueBytes = 1 << 20
const defaultWaitMs = 30_000

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms).unref() })
}

function parseWait (text: string | undefined): number {
  return text === undefined ? defaultWaitMs : Number.parseInt(text, 10)
}

/**
 * Starts the key-value service.
 *
 * @param port - 0 lets the kernel choose one
 */
export async function startKvService (port = 0): Promise<KvService> {
  let data = new Map<string, Stored>()
  let snapshot = new Map<string, Stored>()
  let index = 1
  let snapshotIndex = 0
  let waiters: (() => void)[] = []
  const faults: KvFaults = { outage: false, blackHole: false, delay: 0, lostWriteReplies: 0, lostWriteShare: 0, staleReads: false }
  const calls: KvCalls = { reads: 0, writes: 0, watches: 0 }

  function notifyWatches (): void {
    index++
    const released = waiters
    waiters = []
    for (const wake of released) wake()
  }

  function cut (c: Context<RawBindings>): Response {
    c.env.incoming.socket.destroy()
    return RESPONSE_ALREADY_SENT
  }

  function losesReply (): boolean {
    if (faults.lostWriteReplies > 0) {
      faults.lostWriteReplies--
      return true
    }
    return Math.random() < faults.lostWriteShare
  }

  function select (key: string, recurse: boolean): [string, Stored][] {
    const source = faults.staleReads ? snapshot : data
    if (recurse) return [...source].filter(([name]) => name.startsWith(key))
    const one = source.get(key)
    return one === undefined ? [] : [[key, one]]
  }

  async function untilChanged (since: number, wait: number): Promise<void> {
    const end = Date.now() + wait
    const isWaiting = (): boolean => index <= since && Date.now() < end && !faults.outage
    while (isWaiting()) {
      await new Promise<void>(resolve => {
        waiters.push(resolve)
        setTimeout(resolve, Math.max(0, end - Date.now())).unref()
      })
    }
  }

  const app = new Hono<RawBindings>()
  app.use(async (c, next) => {
    if (faults.delay > 0) await pause(faults.delay)
    if (faults.outage) return cut(c)
    if (faults.blackHole) return RESPONSE_ALREADY_SENT
    await next()
  })
  app.get('/v1/kv/:key{.+}', async c => {
    const since = Number(c.req.query('index') ?? 0)
    calls.reads++
    if (since > 0) {
      calls.watches++
      await untilChanged(since, parseWait(c.req.query('wait')))
      if (faults.outage) return cut(c)
    }
    c.header('x-consul-index', String(faults.staleReads ? snapshotIndex : index))
    const found = select(c.req.param('key'), c.req.query('recurse') !== undefined)
    if (found.length === 0) return c.body(null, 404)
    return c.json(found.map(([Key, { value, modifyIndex }]) =>
      ({ Key, Value: Buffer.from(value).toString('base64'), ModifyIndex: modifyIndex })))
  })
  app.put('/v1/kv/:key{.+}', async c => {
    calls.writes++
    const key = c.req.param('key')
    const value = await c.req.text()
    if (value.length > maxValueBytes) return c.text('Value exceeds the limit.', 413)
    const cas = c.req.query('cas')
    const current = data.get(key)?.modifyIndex ?? 0
    if (cas !== undefined && Number(cas) !== current) return c.text('false')
    data.set(key, { value, modifyIndex: index + 1 })
    notifyWatches()
    return losesReply() ? cut(c) : c.text('true')
  })
  app.delete('/v1/kv/:key{.+}', c => {
    calls.writes++
    const key = c.req.param('key')
    const cas = c.req.query('cas')
    if (cas !== undefined && Number(cas) !== (data.get(key)?.modifyIndex ?? 0)) return c.text('false')
    data.delete(key)
    notifyWatches()
    return losesReply() ? cut(c) : c.text('true')
  })

  const listening = await serve(app, port)
  return {
    ...listening,
    faults,
    calls,
    peek: key => data.get(key)?.value,
    takeSnapshot: () => {
      snapshot = new Map(data)
      snapshotIndex = index
    },
    restoreSnapshot: () => {
      data = new Map(snapshot)
      notifyWatches()
    }
  }
}

/**
 * Stand-in for a model engine.
 *
 * Protocol: the OpenAI-compatible server of vLLM with its run-time LoRA endpoints
 * (`/v1/load_lora_adapter`, `/v1/unload_lora_adapter`), its `priority` field and
 * server-sent events whose ids let a client resume by `Last-Event-ID`.
 */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { type Context, Hono } from 'hono'
import { EngineBatch, type BatchLimits } from './engine-batch.js'
import { EngineStream, type StreamFaults } from './engine-stream.js'
import { type ListeningStandIn, type RawBindings, serve } from './serve.js'

/** Size, costs and protocol options of the engine. */
export interface EngineOptions extends BatchLimits {
  readonly slots: number
  /** Whether load and unload orders with an old fencing number are refused. */
  readonly checksFencing: boolean
  /** Base URL of the weight store; if undefined, adapters load at once. */
  readonly weightStoreUrl?: string
  readonly port?: number
  /** Whether each request is recorded; off for long benchmarks. */
  readonly keepsRecord?: boolean
}

/** Faults of the engine; each may be switched at any time. */
export interface EngineFaults extends StreamFaults {
  /** This many of the next loads fail. */
  failLoads: number
  /** This many of the next unloads take effect but lose their reply. */
  lostUnloadReplies: number
  /** This many of the next completions claim to come from another adapter. */
  wrongAdapter: number
  /** This many of the next completions end without their last event. */
  truncate: number
  /** Delay in ms until the engine notices a cancel or a cut connection. */
  cancelDelay: number
}

/** One completion as the engine recorded it. */
export interface EngineRun {
  /** The prompt, by which a caller recognises its own request. */
  readonly prompt: string
  /** Adapter that ran. */
  readonly model: string
  cancelled: boolean
}

/** The stand-in, its fault switches and its records. */
export interface ModelEngine extends ListeningStandIn {
  readonly faults: EngineFaults
  readonly runs: EngineRun[]
  /** Adapters that were unloaded while a sequence used them; must stay empty. */
  readonly evictedInUse: string[]
  readonly loaded: () => readonly string[]
  readonly fill: EngineBatch['fill']
  readonly running: () => number
  loads: number
  refusedOrders: number
  /** Drops all adapters and cuts all streams, as a restarted process does. */
  restart: () => void
  /** Requests with this prompt crash the engine as they begin to run; it restarts at once, without adapters. */
  crashPrompt: string | undefined
  /** Times of such crashes, by the monotonic clock of the test. */
  readonly crashTimes: number[]
}

interface CompletionBody {
  readonly model: string
  readonly prompt?: string
  readonly messages?: readonly { readonly content: string }[]
  readonly max_tokens?: number
  readonly stream?: boolean
  readonly priority?: number
}

const defaultTokens = 16

/**
 * Starts a model engine.
 *
 * @param options - its size, costs and protocol options
 */
export async function startModelEngine (options: EngineOptions): Promise<ModelEngine> {
  const loaded = new Set<string>()
  const loading = new Set<string>()
  const streams = new Map<string, EngineStream>()
  const batch = new EngineBatch(options)
  let highestFencingNumber = 0
  let sequenceNumber = 0
  let instance = 0

  const faults: EngineFaults = { failLoads: 0, lostUnloadReplies: 0, wrongAdapter: 0, truncate: 0, cancelDelay: 0, doubled: false, swapped: false, cutAfter: 0 }

  function consumeFault (name: 'failLoads' | 'lostUnloadReplies' | 'wrongAdapter' | 'truncate'): boolean {
    if (faults[name] === 0) return false
    faults[name]--
    return true
  }

  /** Checks and records the fencing number of a load or unload order; an old number is refused. */
  function isStaleOrder (c: Context<RawBindings>): boolean {
    if (!options.checksFencing) return false
    const number = Number(c.req.header('x-fencing-number') ?? 0)
    if (number < highestFencingNumber) {
      engine.refusedOrders++
      return true
    }
    highestFencingNumber = number
    return false
  }

  async function fetchWeights (path: string): Promise<boolean> {
    if (options.weightStoreUrl === undefined) return true
    const res = await fetch(`${options.weightStoreUrl}/weights/${path}`).catch(() => undefined)
    await res?.arrayBuffer()
    return res?.ok === true
  }

  const app = new Hono<RawBindings>()
  app.get('/health', c => c.json({ instance }))
  app.get('/v1/models', c => c.json({ object: 'list', instance, data: [...loaded].map(id => ({ id, object: 'model' })) }))
  app.get('/load', c => c.json({ running: batch.running, waiting: batch.waiting }))
  app.post('/v1/load_lora_adapter', async c => {
    const { lora_name: name, lora_path: path } = await c.req.json<{ lora_name: string, lora_path: string }>()
    if (isStaleOrder(c)) return c.json({ error: 'old fencing number' }, 409)
    if (loaded.has(name)) return c.text('already loaded', 200)
    if (loaded.size + loading.size >= options.slots) return c.json({ error: 'no free slot' }, 400)
    loading.add(name)
    const instanceBefore = instance
    const fetched = await fetchWeights(path)
    loading.delete(name)
    if (instanceBefore !== instance || !fetched || consumeFault('failLoads')) return c.json({ error: 'load failed' }, 500)
    engine.loads++
    loaded.add(name)
    return c.text('loaded')
  })
  app.post('/v1/unload_lora_adapter', async c => {
    const { lora_name: name } = await c.req.json<{ lora_name: string }>()
    if (isStaleOrder(c)) return c.json({ error: 'old fencing number' }, 409)
    if (!loaded.has(name)) return c.json({ error: 'not loaded' }, 404)
    const users = batch.users(name)
    if (users.length > 0) engine.evictedInUse.push(`${name} used by ${users.join(', ')}`)
    loaded.delete(name)
    if (!consumeFault('lostUnloadReplies')) return c.text('unloaded')
    c.env.incoming.socket.destroy()
    return RESPONSE_ALREADY_SENT
  })

  /** Counts a word as a token, for the usage figures of the protocol. */
  function countTokens (prompt: string): number { return prompt.split(/\s+/).filter(part => part !== '').length }

  /** Seconds since 1970, as the protocol reports them. */
  function createdNow (): number { return Math.floor(Date.now() / 1_000) }

  function tokenEvent (chat: boolean, id: string, model: string, text: string, finish: string | null): string {
    const content = JSON.stringify(text)
    const finishReason = finish === null ? 'null' : `"${finish}"`
    return chat
      ? `{"id":"${id}","object":"chat.completion.chunk","created":${createdNow()},"model":"${model}","choices":[{"index":0,"delta":{"content":${content}},"finish_reason":${finishReason}}]}`
      : `{"id":"${id}","object":"text_completion","created":${createdNow()},"model":"${model}","choices":[{"index":0,"text":${content},"finish_reason":${finishReason}}]}`
  }

  function wholeAnswer (chat: boolean, id: string, model: string, text: string, tokens: number, prompt: string): object {
    const choice = chat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' }
    const promptTokens = countTokens(prompt)
    const usage = { prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens }
    return { id, object: chat ? 'chat.completion' : 'text_completion', created: createdNow(), model, choices: [choice], usage }
  }

  async function complete (c: Context<RawBindings>, chat: boolean): Promise<Response> {
    const body = await c.req.json<CompletionBody>()
    if (!loaded.has(body.model)) return c.json({ error: { message: `The model ${body.model} does not exist.`, code: 404 } }, 404)
    const id = c.req.header('x-request-id') ?? `cmpl-${sequenceNumber}`
    const prompt = body.prompt ?? body.messages?.at(-1)?.content ?? ''
    const run: EngineRun = { prompt, model: body.model, cancelled: false }
    if (options.keepsRecord !== false) engine.runs.push(run)
    if (prompt === engine.crashPrompt) {
      engine.crashTimes.push(performance.now())
      engine.restart()
      c.env.incoming.socket.destroy()
      return RESPONSE_ALREADY_SENT
    }
    const claimedModel = consumeFault('wrongAdapter') ? 'another@1' : body.model
    const tokens = body.max_tokens ?? defaultTokens
    const base = { id, model: body.model, priority: body.priority ?? 0, sequenceNumber: sequenceNumber++, tokensLeft: tokens, emitted: 0 }
    const { outgoing } = c.env
    const tokenText = (index: number): string => `${body.model.split('#')[0]}:${index} `

    if (body.stream !== true) {
      let text = ''
      outgoing.on('close', () => {
        if (outgoing.writableFinished) return
        run.cancelled = true
        setTimeout(() => batch.remove(id), faults.cancelDelay)
      })
      batch.add({
        ...base,
        isRead: () => true,
        emit: index => { text += tokenText(index) },
        finish: () => {
          const answer = JSON.stringify(wholeAnswer(chat, id, claimedModel, text, tokens, prompt))
          outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(answer) })
          outgoing.end(answer)
        }
      })
      return RESPONSE_ALREADY_SENT
    }

    const stream = new EngineStream(id, { ...faults }, options.keepsRecord !== false)
    streams.set(id, stream)
    stream.attach(outgoing as never, 0)
    batch.add({
      ...base,
      isRead: () => stream.attached,
      emit: index => stream.push(tokenEvent(chat, id, claimedModel, tokenText(index), null)),
      finish: () => {
        if (consumeFault('truncate')) {
          streams.delete(id)
          stream.cut()
          return
        }
        stream.push(tokenEvent(chat, id, claimedModel, '', 'stop'))
        stream.end()
        setTimeout(() => streams.delete(id), 5_000).unref()
      }
    })
    return RESPONSE_ALREADY_SENT
  }

  app.post('/v1/completions', c => complete(c, false))
  app.post('/v1/chat/completions', c => complete(c, true))
  app.get('/v1/streams/:id', c => {
    const stream = streams.get(c.req.param('id'))
    if (stream === undefined) return c.json({ error: 'no such stream' }, 404)
    const from = Number(c.req.header('last-event-id') ?? -1) + 1
    stream.attach(c.env.outgoing as never, from)
    return RESPONSE_ALREADY_SENT
  })
  app.delete('/v1/streams/:id', async c => {
    const id = c.req.param('id')
    await new Promise(resolve => { setTimeout(resolve, faults.cancelDelay) })
    batch.remove(id)
    streams.get(id)?.cut()
    streams.delete(id)
    engine.cancelled++
    return c.text('cancelled')
  })

  const listening = await serve(app, options.port)
  const engine: ModelEngine & { cancelled: number } = {
    ...listening,
    faults,
    runs: [],
    evictedInUse: [],
    loaded: () => [...loaded],
    fill: batch.fill,
    running: () => batch.running,
    loads: 0,
    cancelled: 0,
    refusedOrders: 0,
    crashPrompt: undefined,
    crashTimes: [],
    restart: () => {
      instance++
      loaded.clear()
      batch.clear()
      for (const stream of streams.values()) stream.cut()
      streams.clear()
    }
  }
  return engine
}

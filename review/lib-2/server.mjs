/**
 * A stand-in for a model server: a process of its own, so that it can be killed. It answers reports, orders and streams as
 * PROTOCOL.md describes them, and tells the process that started it what it ran and sent.
 *
 * One answer in `unframedEvery` has no length and ends with its channel; the others are chunked.
 */
import { createServer } from 'node:http'

const { id, model, events, eventMs, unframedEvery, port, slots, prefillMs = 0, preemptEvery = 0, preemptMs = 0 } = JSON.parse(process.argv[2])
/** By how much it works slower. */
let slowness = 1
const born = Date.now()
const tell = message => { if (process.connected) process.send(message) }
const adapters = new Map()
const coming = new Map()
let orders = 0
let running = 0
let answers = 0
let isDraining = false

function state () {
  return { born, stage: 'both', models: [{ name: model, version: 1, adapters: [...adapters].map(([name, version]) => `${name}@${version}`) }], seq: orders }
}

function json (res, status, value, headers = {}) {
  const text = JSON.stringify(value)
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers })
  res.end(text)
}

function refuse (res, status, request) {
  res.writeHead(status, { 'Hazelford-Not-Executed': '1', 'Hazelford-Instance-Id': id, 'Content-Length': 0, ...(request === undefined ? {} : { 'Hazelford-Request-Id': request }) })
  res.end()
}

function order (body, res) {
  const { op, adapter, version = 1, holder, fence } = body
  tell({ kind: 'order', server: id, op, adapter, holder, fence, expected: body['expect-revision'], accepted: orders, at: Date.now() })
  if (holder === undefined || fence === undefined || adapter === undefined) return json(res, holder === undefined || fence === undefined ? 400 : 200, {})
  if (op === 'load' && adapters.get(adapter) === version) return json(res, 200, {})
  if (op === 'load' && coming.get(adapter) === version) return json(res, 202, {})
  if (body['expect-revision'] !== undefined && body['expect-revision'] !== orders) return json(res, 409, {})
  orders++
  if (op === 'unload') {
    adapters.delete(adapter)
    return json(res, 200, {})
  }
  coming.set(adapter, version)
  setTimeout(() => {
    coming.delete(adapter)
    adapters.set(adapter, version)
  }, 250)
  json(res, 202, {})
}

function stream (req, res, request) {
  answers++
  const isUnframed = unframedEvery > 0 && answers % unframedEvery === 0
  const isPreempted = preemptEvery > 0 && answers % preemptEvery === 0
  running++
  if (isUnframed) {
    res.useChunkedEncodingByDefault = false
    res.shouldKeepAlive = false
  }
  let timer
  let sent = Number(req.headers['last-event-id'] ?? 0)
  const preemptAt = sent + 5
  const after = (ms, run) => { timer = setTimeout(run, ms * slowness) }
  const write = () => {
    sent++
    res.write(`id: ${sent}\ndata: piece ${sent} of ${events} of ${request}\n\n`)
    if (sent < events) {
      // It is preempted, and its prompt is read again.
      if (isPreempted && sent === preemptAt) timer = setTimeout(write, preemptMs)
      else after(eventMs, write)
      return
    }
    tell({ kind: 'sent', request, server: id })
    res.end()
  }
  after(prefillMs, () => {
    tell({ kind: 'run', request, server: id, events, isUnframed, from: sent + 1, at: Date.now() })
    res.writeHead(200, { 'Content-Type': 'text/event-stream', 'Hazelford-Request-Id': request, 'Hazelford-Response-Seal': `seal-${id}-${request}`, 'Hazelford-Weight-Versions': '1' })
    after(eventMs, write)
  })
  res.on('close', () => {
    clearTimeout(timer)
    running--
    tell({ kind: 'ended', request, server: id, at: Date.now(), sent })
  })
}

const server = createServer((req, res) => {
  const chunks = []
  req.on('data', chunk => chunks.push(chunk))
  req.on('error', () => {})
  req.on('end', () => {
    const request = req.headers['hazelford-request-id']
    const expected = req.headers['hazelford-expect-instance']
    if (expected !== undefined && expected !== id) return refuse(res, 421, request)
    if (req.url === '/api/report') return json(res, 200, { ...state(), busy: false, coming: [...coming].map(([name, version]) => `${model}/${name}@${version}`), waiting: 0, running, 'kv-used': 0, 'kv-total': 100_000, handles: 0 })
    if (req.url === '/api/order') return order(JSON.parse(Buffer.concat(chunks).toString()), res)
    if (req.url === '/health') return json(res, isDraining ? 503 : 200, {}, { 'Hazelford-Instance-Id': id })
    const adapter = String(req.headers['hazelford-model']).split('/')[1]
    if (adapter !== undefined && !adapters.has(adapter)) return refuse(res, 421, request)
    if (running >= slots) return refuse(res, 503, request)
    stream(req, res, request)
  })
})
server.keepAliveTimeout = 30_000

function beat () { tell({ kind: 'beat', id, port: server.address().port, state: isDraining ? 'draining' : 'ready', ...state(), running }) }

process.on('message', message => {
  if (message === 'drain') {
    isDraining = true
    beat()
  }
  if (message === 'exit') process.exit(0)
  if (message.slowness !== undefined) slowness = message.slowness
})
process.on('disconnect', () => process.exit(0))
server.listen(port, '127.0.0.1', () => {
  beat()
  setInterval(beat, 1_200)
})

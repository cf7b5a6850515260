/**
 * Stand-ins and helpers for the review's scripts: the platform's store, servers, callers, and entries as processes of
 * their own, all on loopback.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer, request } from 'node:http'
import { connect as connectTcp, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Root of the repository. */
export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
const startedAt = performance.now()
export const now = () => Math.round(performance.now() - startedAt)

/** Writes lines to `record.txt` in a case's folder. */
export class Record {
  constructor (folder) {
    this.file = join(folder, 'record.txt')
    writeFileSync(this.file, '')
  }

  line (...parts) { appendFileSync(this.file, `${String(now()).padStart(7)} ${parts.join(' ')}\n`) }
}

/** Asks the kernel for free ports of a loopback address. */
export async function freePorts (count, host = '127.0.0.1') {
  const servers = Array.from({ length: count }, () => createTcpServer())
  await Promise.all(servers.map(server => new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

/** The platform's store, as the page PROTOCOL describes it. */
export class Store {
  items = new Map()
  leases = new Map()
  history = []
  revision = 0
  nextLease = 1
  watchers = new Set()
  /** Called with each call; returns true when it has handled the call itself. */
  intercept = () => false

  async listen (host = '127.0.0.1') {
    this.server = createHttpServer((req, res) => this.serve(req, res).catch(() => res.destroy()))
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.port = this.server.address().port
  }

  stop () {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  put (key, value) { this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0) }

  write (key, value, lease, rev = ++this.revision) {
    const item = { key, value, rev, 'created-rev': this.items.get(key)?.['created-rev'] ?? rev, lease }
    this.items.set(key, item)
    this.changed(item)
  }

  remove (key, rev = undefined) { if (this.items.delete(key)) this.changed({ key, rev: rev ?? ++this.revision, removed: true }) }

  changed (change) {
    this.history.push(change)
    if (!this.isCommitting) this.notify()
  }

  notify () { for (const watcher of [...this.watchers]) watcher() }

  text (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString()
  }

  keys (prefix) { return [...this.items.keys()].filter(key => key.startsWith(prefix)) }

  async serve (req, res) {
    const url = new URL(req.url, 'http://store')
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())
    if (this.intercept({ method: req.method, url, body, req, res })) return
    this.answer(req.method, url, body, res)
  }

  send (res, status, value) {
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify(value))
  }

  answer (method, url, body, res) {
    const id = Number(url.pathname.split('/').at(-1))
    if (url.pathname === '/api/kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item === undefined ? this.send(res, 404, { 'current-rev': this.revision }) : this.send(res, 200, { ...item, 'current-rev': this.revision })
    }
    if (url.pathname === '/api/kv-range') return this.range(url.searchParams, res)
    if (url.pathname === '/api/kv-watch') return this.watch(url.searchParams, res)
    if (url.pathname === '/api/kv-txn') return this.transaction(body, res)
    if (url.pathname === '/api/kv-lease') {
      const lease = this.nextLease++
      this.leases.set(lease, { ttl: body['ttl-ms'] })
      this.renew(lease)
      return this.send(res, 200, { lease, 'ttl-ms': body['ttl-ms'] })
    }
    if (url.pathname.startsWith('/api/kv-keep/')) return this.renew(id) ? this.send(res, 200, { 'ttl-ms': this.leases.get(id).ttl }) : this.send(res, 404, {})
    if (method === 'DELETE' && url.pathname.startsWith('/api/kv-lease-end/')) {
      this.endLease(id)
      return this.send(res, 200, {})
    }
    this.send(res, 400, {})
  }

  range (params, res) {
    const prefix = params.get('path-prefix') ?? ''
    const after = params.get('after') ?? ''
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    this.send(res, 200, { items: items.slice(0, 500), 'has-more': items.length > 500, 'current-rev': this.revision })
  }

  watch (params, res) {
    const after = Number(params.get('after'))
    const prefix = params.get('path-prefix') ?? ''
    const found = () => this.history.filter(change => change.rev > after && change.key.startsWith(prefix))
    const reply = () => {
      clearTimeout(timer)
      this.watchers.delete(check)
      this.send(res, 200, { events: found(), 'current-rev': this.revision })
    }
    const check = () => { if (found().length > 0) reply() }
    const timer = setTimeout(reply, Number(params.get('wait-ms')))
    this.watchers.add(check)
    check()
  }

  transaction (body, res) {
    const { 'expect-revision': conditions = [], puts = [], delete: removals = [] } = body
    const current = key => this.items.get(key)?.rev ?? 0
    if (conditions.some(({ key, rev }) => current(key) !== rev)) return this.send(res, 412, { items: [] })
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return this.send(res, 404, {})
    // A transaction is one change: all its keys get one revision.
    const rev = ++this.revision
    this.isCommitting = true
    for (const { key, value, lease = 0 } of puts) this.write(key, value, lease, rev)
    for (const key of removals) this.remove(key, rev)
    this.isCommitting = false
    this.notify()
    this.send(res, 200, { rev })
  }

  renew (id) {
    const lease = this.leases.get(id)
    if (lease === undefined) return false
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => this.endLease(id), lease.ttl)
    return true
  }

  endLease (id) {
    const lease = this.leases.get(id)
    if (lease === undefined) return
    clearTimeout(lease.timer)
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
  }
}

/** A route of the configuration. */
export function routeOf (name, kind, service, overrides = {}) {
  return { name, host: 'app.example', 'path-prefix': `/${name}/`, kind, 'timeout-ms': 15_000, 'target-latency-ms': 1_000, priority: 1, service, 'max-attempts': 1, sticky: false, resumable: false, 'gap-aim-ms': 300, ...overrides }
}

/** A configuration with a plain service `app` and, if wanted, an engine service `models`. */
export function configOf (version, routes, { engine = false, adapterSlots = 8, limits = {}, tenants } = {}) {
  const models = { name: 'models', 'health-path': '/health', 'max-conns': 240, protocol: 'h1', tls: false, engine: { slots: 32, 'kv-capacity-tokens': 100_000, models: [{ name: 'base', 'weights-mb': 100, 'load-s': 0.1, adapters: 50, 'adapter-mb': 1 }], 'weights-mb': 200, 'adapter-slots': adapterSlots, 'loads-per-s': 5 } }
  return {
    version,
    routes,
    services: [{ name: 'app', 'health-path': '/health', 'max-conns': 110, protocol: 'h1', tls: false }, ...(engine ? [models] : [])],
    ...(tenants === undefined ? {} : { tenants }),
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000, ...limits }
  }
}

const children = new Set()
process.once('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => process.exit(2))

/** An entry, started with the command of the deploy file. */
export class Entry {
  log = ''

  /** @param settings - lines of the settings file beside those of the addresses */
  static async create (name, store, { host = '127.0.0.1', seeds = [], settings = {}, peerPort } = {}) {
    const entry = new Entry()
    const [callers, ready, peers, metrics, control] = await freePorts(5, host)
    Object.assign(entry, { name, host, ports: { callers, ready, peers: peerPort ?? peers, metrics, control }, dir: mkdtempSync(join(tmpdir(), 'review-')) })
    entry.file = join(entry.dir, 'settings.toml')
    entry.settings = {
      name,
      zone: 'z1',
      host,
      store: `127.0.0.1:${store.port}`,
      listen_callers: `${host}:${callers}`,
      listen_ready: `${host}:${ready}`,
      peer_port: entry.ports.peers,
      metrics_port: metrics,
      seeds,
      listen_control: `${host}:${control}`,
      grace_s: 8,
      retry_budget_ratio: 0.2,
      retry_budget_slack: 58,
      budget_window_s: 10,
      apply_within_ms: 2_000,
      link_mbps: 1_000,
      cpu_share: 0.513,
      cpu_speed: 1,
      holder_turn_ms: 3_000,
      ...settings
    }
    return entry
  }

  writeSettings () { writeFileSync(this.file, Object.entries(this.settings).map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`).join('')) }

  start () {
    this.writeSettings()
    this.child = spawn('node', ['--max-old-space-size=200', 'target/hazelford-entry.cjs'], { cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, HAZELFORD_NODE_FILE: this.file } })
    children.add(this.child)
    this.exit = undefined
    for (const output of [this.child.stdout, this.child.stderr]) output.on('data', part => { this.log = (this.log + part).slice(-8_000_000) })
    this.child.once('exit', (code, signal) => {
      children.delete(this.child)
      this.exit = { code, signal, at: now() }
    })
    return this
  }

  get running () { return this.child !== undefined && this.exit === undefined }

  signal (name) { if (this.running) this.child.kill(name) }

  async ended () { while (this.running) await sleep(10) }

  isReady () {
    return new Promise(resolve => {
      const req = request({ host: this.host, port: this.ports.ready, path: '/api/readiness', timeout: 500, agent: false }, res => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('timeout', () => req.destroy())
      req.on('error', () => resolve(false))
      req.end()
    })
  }

  async untilReady (limit = 15_000) {
    const until = now() + limit
    while (!await this.isReady()) {
      if (now() > until) throw new Error(`${this.name} is not ready.`)
      await sleep(50)
    }
  }

  async dispose () {
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await this.ended()
    rmSync(this.dir, { recursive: true, force: true })
  }
}

/** Waits until a condition holds. */
export async function until (what, holds, limit = 15_000) {
  const end = now() + limit
  while (!await holds()) {
    if (now() > end) throw new Error(`Not reached: ${what}.`)
    await sleep(20)
  }
}

/** Runs a case: exits with its result, or with 2 if it could not run. */
export async function run (play) {
  const limit = setTimeout(() => {
    console.error('The case took too long.')
    process.exit(2)
  }, 115_000)
  limit.unref()
  try {
    const isBroken = await play({ trouble: process.env.TROUBLE !== '0' })
    console.log(isBroken ? 'The rule was broken.' : 'The rule held.')
    process.exit(isBroken ? 1 : 0)
  } catch (error) {
    console.error(error)
    process.exit(2)
  }
}

/** A model server: loads and unloads adapters as ordered, and runs streams on them. */
export class Engine {
  adapters = new Map()
  loading = new Set()
  uses = new Map()
  seq = 0
  runs = []

  /** @param options - adapter slots, ms of a load, and the events of a stream with their interval in ms */
  constructor (id, record, { slots = 4, loadMs = 250, events = 58, eventMs = 250 } = {}) { Object.assign(this, { id, record, slots, loadMs, events, eventMs }) }

  async listen () {
    this.server = createHttpServer((req, res) => this.serve(req, res).catch(() => res.destroy()))
    this.server.keepAliveTimeout = 10_000
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
    return this
  }

  get models () { return [{ name: 'base', version: 1, adapters: [...this.adapters].map(([name, version]) => `${name}@${version}`) }] }

  /** Writes its record into the store, as it does about every second. */
  publish (store) { store.put(`servers/${this.id}`, { service: 'models', address: this.address, zone: 'z1', version: 'v1', slots: 32, state: 'ready', 'cold-left-ms': 0, stage: 'both', models: this.models, seq: this.seq }) }

  json (res, status, value) {
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify(value))
  }

  async serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const expected = req.headers['hazelford-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.refuse(res, 421)
    if (req.url === '/api/report') return this.json(res, 200, { stage: 'both', models: this.models, coming: [...this.loading].map(name => `base/${name}@${this.newest(name)}`), busy: false, seq: this.seq, waiting: 0, running: this.running, 'kv-used': 0, 'kv-total': 100_000, handles: 0 })
    if (req.url === '/api/order') return this.json(res, this.order(JSON.parse(Buffer.concat(chunks).toString())), {})
    this.stream(req, res)
  }

  refuse (res, status) {
    res.writeHead(status, { 'Hazelford-Not-Executed': '1', 'Hazelford-Instance-Id': this.id, 'Content-Length': 0 })
    res.end()
  }

  get running () { return [...this.uses.values()].reduce((sum, uses) => sum + uses, 0) }

  order ({ op, adapter, version, holder, fence, 'expect-revision': expected }) {
    this.record.line('order', this.id, op, adapter ?? 'the model', ...(version === undefined ? [] : ['version', version]), 'from', holder, 'fence', fence)
    if (expected !== undefined && expected !== this.seq) return 409
    if (adapter === undefined) return 200
    if (op === 'load') {
      const wanted = version ?? this.newest(adapter)
      if (this.adapters.get(adapter) === wanted) return 200
      if (this.loading.has(adapter)) return 202
      if (!this.adapters.has(adapter) && this.adapters.size + this.loading.size >= this.slots) throw new Error('More adapters than slots.')
      this.loading.add(adapter)
      setTimeout(() => {
        this.loading.delete(adapter)
        this.adapters.set(adapter, wanted)
      }, this.loadMs)
    } else {
      if (!this.adapters.has(adapter)) return 200
      this.unload(adapter)
    }
    this.seq++
    return 202
  }

  /** Newest version of an adapter in the weight store. */
  newest = () => 1

  /** An event holds eight tokens; a request names the most tokens that it wants. */
  eventsOf (req) {
    const tokens = Number(req.headers['hazelford-token-usage']?.split(',')[1])
    return Number.isInteger(tokens) ? Math.ceil(tokens / 8) : this.events
  }

  /** Waits for the adapter's runs to end. */
  unload (adapter) {
    if ((this.uses.get(adapter) ?? 0) === 0) this.adapters.delete(adapter)
    else setTimeout(() => this.unload(adapter), 20)
  }

  stream (req, res) {
    const id = req.headers['hazelford-request-id']
    const adapter = req.headers['hazelford-model']?.split('/')[1]
    const version = this.adapters.get(adapter)
    const expected = req.headers['hazelford-expect-version']
    if (version === undefined || (expected !== undefined && Number(expected) !== version)) return this.refuse(res, 421)
    const events = this.eventsOf(req)
    this.runs.push({ id, adapter, version, at: now() })
    this.record.line('run', id, 'of', adapter, 'version', version, 'at', this.id, 'begins')
    this.uses.set(adapter, (this.uses.get(adapter) ?? 0) + 1)
    res.writeHead(200, { 'Content-Type': 'text/event-stream', 'Hazelford-Request-Id': id, 'Hazelford-Response-Seal': `seal-${this.id}` })
    let next = 1
    const timer = setInterval(() => {
      res.write(`id: ${next}\ndata: part ${next} of ${id}\n\n`)
      if (next++ === events) res.end()
    }, this.eventMs)
    res.on('close', () => {
      clearInterval(timer)
      this.uses.set(adapter, this.uses.get(adapter) - 1)
      this.record.line('run', id, 'ends after', next - 1, 'events')
    })
  }
}

/** Sends one request on a channel of its own; resolves with what the caller has seen when the channel has ended. */
export function call (entry, { id, method = 'POST', path, headers = {}, body = 'x', deadline = 15_000, leaveAfter = deadline, channel }) {
  return new Promise(resolve => {
    const sentAt = now()
    const result = { id, sentAt, status: 0, whole: false, bytes: 0, body: '' }
    const req = request({
      host: entry.host,
      port: entry.ports.callers,
      method,
      path,
      agent: channel ?? false,
      headers: { Host: 'app.example', 'Hazelford-Request-Id': id, 'Hazelford-Deadline-Ms': String(deadline), ...headers }
    }, res => {
      result.status = res.statusCode
      result.headers = res.headers
      res.on('data', part => {
        result.bytes += part.length
        if (result.body.length < 2_000) result.body += part
      })
      res.on('end', () => end(res.complete))
      res.on('error', () => end(false))
      res.on('aborted', () => end(false))
    })
    const end = whole => {
      clearTimeout(timer)
      resolve({ ...result, whole, endedAt: now(), took: now() - sentAt })
    }
    const timer = setTimeout(() => {
      result.left = true
      req.destroy()
    }, leaveAfter)
    req.on('error', error => {
      result.error = error.code
      end(false)
    })
    req.end(body)
  })
}

/** A channel of a caller to an entry, kept for several requests; it may read slowly. */
export class Channel {
  constructor (entry) {
    this.socket = connectTcp({ host: entry.host, port: entry.ports.callers })
    this.bytes = Buffer.alloc(0)
    this.received = 0
    this.closed = false
    this.socket.on('data', part => {
      this.received += part.length
      if (this.bytes.length < 65_536) this.bytes = Buffer.concat([this.bytes, part])
      this.tail = part.subarray(-64).toString('latin1')
      if (this.pauseMs === undefined) return
      this.socket.pause()
      setTimeout(() => this.socket.resume(), this.pauseMs)
    })
    this.socket.on('error', error => { this.error = error.code })
    this.socket.on('end', () => { this.ended = true })
    this.socket.on('close', () => { this.closed = true })
  }

  /** Sends a request; `pauseMs`: pause after each part that is read. */
  send (method, path, headers, body, pauseMs) {
    this.pauseMs = pauseMs
    this.bytes = Buffer.alloc(0)
    this.received = 0
    const lines = [`${method} ${path} HTTP/1.1`, 'Host: app.example', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), `Content-Length: ${body.length}`]
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`)
  }

  /** Head of the answer, and the number of bytes that it takes. */
  get head () {
    const end = this.bytes.indexOf('\r\n\r\n')
    return end < 0 ? undefined : { text: this.bytes.subarray(0, end).toString('latin1'), length: end + 4 }
  }
}

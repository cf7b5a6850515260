/**
 * A small deployment on loopback: a stand-in store, entries started as the deploy file says, stand-in servers and callers.
 */
import { spawn, fork } from 'node:child_process'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Link } from './proxy.mjs'
import { Store } from './store.mjs'

const here = dirname(fileURLToPath(import.meta.url))
const root = join(here, '..', '..')
export const host = 'ficu95.example'
export const model = 'daka510000'
const key = 'asnmgkcuyj8pjbvk9m68'
const pingMs = 1_200
/** Longest time that a case may take. */
const longestMs = 118_000

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Below the ports that the kernel gives to channels, so that none of these takes one meanwhile. */
const firstPort = 18_000
const portRange = 12_000

function isFree (port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** Ports that are free now. */
async function freePorts (count) {
  const ports = []
  const from = Math.floor(Math.random() * portRange)
  for (let n = 0; ports.length < count && n < portRange; n++) {
    const port = firstPort + (from + n) % portRange
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

export class Deployment {
  store = new Store()
  lines = []
  servers = []
  entries = []
  runs = new Map()
  orders = []
  children = new Set()
  startedAt = performance.now()
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  requests = 0

  /** Ends all processes when this one is ended, or takes too long. */
  constructor () {
    const abort = () => {
      for (const child of this.children) child.kill('SIGKILL')
      process.exit(2)
    }
    process.once('SIGTERM', abort)
    process.once('SIGINT', abort)
    setTimeout(abort, longestMs).unref()
  }

  note (text) { this.lines.push(`${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`) }

  async start ({ entries, engines, server, routes }) {
    await this.store.listen()
    this.store.put('op/config', {
      version: 7,
      routes,
      services: [
        { name: 'bulletin-llm', 'health-path': '/health', 'max-conns': 370, protocol: 'h1', tls: false, engine: { slots: 32, 'kv-capacity-tokens': 124_451, models: [{ name: model, 'weights-mb': 42_700, 'load-s': 1.7, adapters: 10_000, 'adapter-mb': 66 }], 'weights-mb': 45_000, 'adapter-slots': 19, 'loads-per-s': 18 } }
      ],
      limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 },
      tenants: [{ name: 'hule930', 'api-keys': [key], priority: 1 }]
    })
    for (let n = 0; n < engines; n++) await this.addServer(server(n))
    const ports = await freePorts(entries * 6)
    const seeds = Array.from({ length: entries }, (_, n) => `"127.0.0.1:${ports[n * 6 + 2]}"`).slice(0, 3)
    const all = Array.from({ length: entries }, (_, n) => ({ name: `front-vltava-a-${n + 1}`, peers: ports[n * 6 + 3] }))
    for (let n = 0; n < entries; n++) this.addEntry(all[n].name, ports.slice(n * 6, n * 6 + 6), seeds, await this.connect(all[n].name, all))
    for (let tries = 0; tries < 150; tries++) {
      const ready = await Promise.all(this.entries.map(entry => this.isReady(entry)))
      const held = this.servers.every(({ id }) => this.store.items.has(`hazelford/holders/${id}`))
      if (ready.every(Boolean) && held) return
      await sleep(100)
    }
    throw new Error('The deployment did not start.')
  }

  /** Port at which an entry reaches the store. */
  async connect () { return this.store.port }

  addEntry (name, [callers, ready, control, peers, metrics], seeds, storePort) {
    const file = join(this.folder, `${name}.toml`)
    writeFileSync(file, `name = "${name}"
zone = "vltava-a"
host = "127.0.0.1"
store = "127.0.0.1:${storePort}"
listen_callers = "127.0.0.1:${callers}"
listen_ready = "127.0.0.1:${ready}"
peer_port = ${peers}
metrics_port = ${metrics}
seeds = [${seeds.join(', ')}]
listen_control = "127.0.0.1:${control}"
grace_s = 8
retry_budget_ratio = 0.2
retry_budget_slack = 98
budget_window_s = 10
apply_within_ms = 3000
link_mbps = 140
cpu_share = 0.675
cpu_speed = 2
memory_mb = 602
holder_turn_ms = 3000
withdraw_within_ms = 5000
usage_window_s = 8
usage_overage = 0.1
usage_slack = 17000
`)
    const log = openSync(join(this.folder, `${name}.log`), 'w')
    const child = spawn('node', ['--max-old-space-size=200', 'target/hazelford-entry.cjs'], { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, HAZELFORD_NODE_FILE: file }, stdio: ['ignore', log, log] })
    this.track(child)
    child.on('exit', (code, signal) => this.note(`entry ${name} ended: ${code ?? signal}`))
    this.entries.push({ name, callers, ready, child, log: join(this.folder, `${name}.log`) })
  }

  isReady ({ ready }) {
    return new Promise(resolve => {
      request({ host: '127.0.0.1', port: ready, path: '/api/readiness' }, res => {
        res.resume()
        resolve(res.statusCode === 200)
      }).on('error', () => resolve(false)).end()
    })
  }

  track (child) {
    this.children.add(child)
    child.on('exit', () => this.children.delete(child))
  }

  /** Adds a server behind a link of its own; its entry in the store names the link. */
  async addServer (options) {
    const server = { id: '', link: undefined, child: undefined, port: 0, options, lives: 0, seenAt: 0 }
    await this.startServer(server)
    if (options.isDirect !== true) {
      server.link = new Link(server.port)
      await server.link.listen()
    }
    this.servers.push(server)
    this.writeRecord(server)
  }

  /** Starts a server; one that starts again has a new id and its old address. */
  async startServer (server) {
    const id = server.id = `i-${Math.random().toString(16).slice(2, 10)}`
    server.lives++
    const options = { slots: 32, ...server.options, id, model, port: server.port }
    const child = server.child = fork(join(here, 'server.mjs'), [JSON.stringify(options)])
    this.track(child)
    await new Promise(resolve => {
      child.on('message', message => {
        if (message.kind === 'run') {
          const known = this.runs.get(message.request) ?? []
          this.runs.set(message.request, [...known, message])
          this.note(`run ${message.request} at ${message.server}, ${message.events} pieces${message.isUnframed ? ', without a length' : ''}`)
        }
        if (message.kind === 'ended') {
          const run = this.runs.get(message.request)?.findLast(({ server }) => server === message.server)
          if (run !== undefined) run.endedAt = message.at
        }
        if (message.kind === 'order') {
          this.orders.push(message)
          this.note(`order ${message.op} ${message.adapter} at ${message.server} by ${message.holder}, fence ${message.fence}, expects ${message.expected}, had accepted ${message.accepted}`)
        }
        if (message.kind === 'sent') this.note(`sent all of ${message.request} at ${message.server}`)
        if (message.kind !== 'beat') return
        server.port = message.port
        server.beat = message
        if (server.child === child && this.servers.includes(server) && server.link?.isCut !== true) this.writeRecord(server)
        resolve()
      })
    })
  }

  /** Writes a server's entry, as the server does at each of its pings. */
  writeRecord (server) {
    const { id, beat: { state, models, seq, born } } = server
    server.seenAt = performance.now()
    this.store.put(`servers/${id}`, { service: 'bulletin-llm', address: `127.0.0.1:${(server.link ?? server).port}`, zone: 'vltava-a', version: 'v1', slots: 32, state, 'cold-left-ms': 0, born, stage: 'both', models, seq })
    clearTimeout(server.expiry)
    server.expiry = setTimeout(() => this.store.remove(`servers/${id}`), 3 * pingMs)
  }

  /** Sends a stream's request on a new channel; resolves with what its caller has at the end. */
  stream ({ path, entry, deadlineMs, leaveAfterMs, headers = {} }) {
    const id = (++this.requests).toString(16).padStart(16, '0')
    const result = { id, status: 0, isComplete: false, text: '', pieces: [] }
    return new Promise(resolve => {
      let isOver = false
      const end = how => {
        clearTimeout(idle)
        if (isOver) return
        isOver = true
        const pieces = [...result.text.matchAll(/^id: (\d+)\n.*\n\n/gm)].map(match => Number(match[1]))
        this.note(`caller of ${id}: ${result.status}, ${how}, ${pieces.length} pieces`)
        resolve({ ...result, how, pieces })
      }
      this.note(`request ${id} sent to ${entry.name}`)
      const req = request({ host: '127.0.0.1', port: entry.callers, method: 'POST', path, agent: false, headers: { Host: host, 'Hazelford-Request-Id': id, 'Hazelford-Model': model, 'Hazelford-Token-Usage': '628,290', 'Hazelford-Prompt-Prefix': `aa01:119,${id}:509`, 'Hazelford-Deadline-Ms': String(deadlineMs), Authorization: `Bearer ${key}`, ...headers } })
      let idle
      const wait = () => {
        clearTimeout(idle)
        idle = setTimeout(() => {
          req.destroy()
          end('left')
        }, leaveAfterMs)
      }
      wait()
      const limit = setTimeout(() => {
        req.destroy()
        end('time limit')
      }, deadlineMs)
      req.on('close', () => clearTimeout(limit))
      req.on('error', error => end(`error ${error.code}`))
      req.on('response', res => {
        result.status = res.statusCode
        res.setEncoding('utf8')
        res.on('data', text => {
          wait()
          result.text += text
        })
        res.on('error', () => end('broken off'))
        res.on('end', () => {
          result.isComplete = res.complete
          end(res.complete ? 'complete' : 'broken off')
        })
      })
      req.end('prompt')
    })
  }

  async stop () {
    for (const { link, expiry } of this.servers) {
      clearTimeout(expiry)
      link?.close()
    }
    const left = [...this.children]
    const ended = Promise.all(left.map(child => new Promise(resolve => child.once('exit', resolve))))
    for (const child of left) child.kill('SIGKILL')
    await ended
    this.store.close()
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.error(this.folder)
  }

  writeRecordFile (file) { writeFileSync(file, `${this.lines.join('\n')}\n`) }
}

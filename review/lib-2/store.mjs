/**
 * A stand-in for the platform's metadata store: keys with revisions, leases, watches and transactions, as PROTOCOL.md
 * describes them.
 */
import { createServer } from 'node:http'

const pageItems = 500
const historyLength = 20_000

export class Store {
  revision = 100
  items = new Map()
  leases = new Map()
  history = []
  droppedUpTo = 100
  nextLease = 70_000
  watchers = new Set()

  async listen () {
    this.server = createServer((req, res) => { this.serve(req, res).catch(() => res.destroy()) })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.port = this.server.address().port
  }

  close () {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a value, as the operator and the servers do. */
  put (key, value, lease = 0) { this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease) }

  get (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  write (key, value, lease) {
    const rev = ++this.revision
    const item = { key, value, rev, 'created-rev': this.items.get(key)?.['created-rev'] ?? rev, lease }
    this.items.set(key, item)
    this.changed(item)
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.changed({ key, rev: ++this.revision, removed: true })
  }

  changed (event) {
    this.history.push(event)
    if (this.history.length > historyLength) this.droppedUpTo = this.history.shift().rev
    for (const watcher of [...this.watchers]) watcher()
  }

  endLease (id) {
    const lease = this.leases.get(id)
    if (lease === undefined) return false
    clearTimeout(lease.timer)
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
    return true
  }

  armLease (id, ttl) {
    clearTimeout(this.leases.get(id)?.timer)
    this.leases.set(id, { ttl, timer: setTimeout(() => this.endLease(id), ttl) })
  }

  async serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())
    const url = new URL(req.url, 'http://store')
    const send = (status, value = {}) => {
      if (res.destroyed) return
      const text = JSON.stringify(value)
      res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      res.end(text)
    }
    const id = Number(url.pathname.split('/').at(-1))
    if (url.pathname === '/api/kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item === undefined ? send(404, { 'current-rev': this.revision }) : send(200, { ...item, 'current-rev': this.revision })
    }
    if (url.pathname === '/api/kv-range') return this.range(url.searchParams, send)
    if (url.pathname === '/api/kv-watch') return this.watch(url.searchParams, send, res)
    if (url.pathname === '/api/kv-txn') return this.commit(body, send)
    if (url.pathname === '/api/kv-lease') {
      const lease = this.nextLease++
      this.armLease(lease, body['ttl-ms'])
      return send(200, { lease, 'ttl-ms': body['ttl-ms'] })
    }
    if (url.pathname.startsWith('/api/kv-keep/')) {
      const lease = this.leases.get(id)
      if (lease === undefined) return send(404)
      this.armLease(id, lease.ttl)
      return send(200, { 'ttl-ms': lease.ttl })
    }
    if (url.pathname.startsWith('/api/kv-lease-end/')) return send(this.endLease(id) ? 200 : 404)
    send(404)
  }

  range (params, send) {
    const prefix = params.get('path-prefix') ?? ''
    const after = params.get('after') ?? ''
    const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    send(200, { items: found.slice(0, pageItems), 'has-more': found.length > pageItems, 'current-rev': this.revision })
  }

  watch (params, send, res) {
    const prefix = params.get('path-prefix') ?? ''
    const after = Number(params.get('after'))
    if (after < this.droppedUpTo) return send(410)
    const events = () => this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix))
    const finish = () => {
      clearTimeout(timer)
      this.watchers.delete(check)
      if (after < this.droppedUpTo) send(410)
      else send(200, { events: events(), 'current-rev': this.revision })
    }
    const check = () => { if (after < this.droppedUpTo || events().length > 0) finish() }
    const timer = setTimeout(finish, Number(params.get('wait-ms')))
    res.on('close', () => {
      clearTimeout(timer)
      this.watchers.delete(check)
    })
    this.watchers.add(check)
    check()
  }

  commit (body, send) {
    const conditions = body['expect-revision'] ?? []
    const failed = conditions.filter(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)
    if (failed.length > 0) return send(412, { items: conditions.flatMap(({ key }) => this.items.has(key) ? [this.items.get(key)] : []) })
    const puts = body.puts ?? []
    if (puts.some(({ lease }) => lease !== 0 && lease !== undefined && !this.leases.has(lease))) return send(404)
    for (const { key, value, lease = 0 } of puts) this.write(key, value, lease)
    for (const key of body.delete ?? []) this.remove(key)
    send(200, { rev: this.revision })
  }
}

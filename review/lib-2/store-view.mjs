/**
 * The store as one machine sees it: addresses in it are those of the machine's own links.
 */
import { createServer, request, Agent } from 'node:http'

export class StoreView {
  agent = new Agent({ keepAlive: true })

  /** @param rewrite - changes a decoded value, by its key */
  constructor (storePort, rewrite) {
    this.storePort = storePort
    this.rewrite = rewrite
  }

  async listen () {
    this.server = createServer((req, res) => this.forward(req, res))
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.port = this.server.address().port
    return this
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
    this.agent.destroy()
  }

  forward (req, res) {
    const { host, ...headers } = req.headers
    const call = request({ agent: this.agent, host: '127.0.0.1', port: this.storePort, method: req.method, path: req.url, headers }, answer => {
      const chunks = []
      answer.on('data', chunk => chunks.push(chunk))
      answer.on('end', () => {
        const text = JSON.stringify(this.translate(JSON.parse(Buffer.concat(chunks).toString())))
        res.writeHead(answer.statusCode, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
        res.end(text)
      })
      answer.on('error', () => res.destroy())
    })
    call.on('error', () => res.destroy())
    req.on('error', () => call.destroy())
    // A call that has arrived is carried out, whether its caller still waits or not.
    req.pipe(call)
  }

  translate (body) {
    const item = each => each.value === undefined ? each : { ...each, value: this.value(each) }
    return {
      ...(body.key === undefined ? body : item(body)),
      ...(body.items === undefined ? {} : { items: body.items.map(item) }),
      ...(body.events === undefined ? {} : { events: body.events.map(item) })
    }
  }

  value ({ key, value }) {
    const decoded = JSON.parse(Buffer.from(value, 'base64').toString())
    return Buffer.from(JSON.stringify(this.rewrite(key, decoded))).toString('base64')
  }
}

/**
 * A deployment whose entries reach the store, the servers and one another over links of their own, so that one machine can
 * be cut off from all others.
 */
import { Deployment } from './deployment.mjs'
import { StoreView } from './store-view.mjs'
import { TcpLink } from './tcp-link.mjs'

export class Network extends Deployment {
  links = new Map()
  views = []
  peerPorts = new Map()

  /** The link from an entry to another machine. */
  link (entry, to) { return this.links.get(`${entry} ${to}`) }

  async addLink (entry, to, target) { this.links.set(`${entry} ${to}`, await new TcpLink(target).listen()) }

  portFor (entry, node, port) { return this.link(entry, node)?.port ?? port }

  rewrite (entry, key, value) {
    if (key.startsWith('servers/')) return { ...value, address: `127.0.0.1:${this.link(entry, value.address).port}` }
    const isAddress = key.startsWith('hazelford/entries/') || key.startsWith('hazelford/holders/') || key.startsWith('hazelford/last-holders/')
    if (!isAddress || value.node === undefined) return value
    const moved = ({ node, ...rest }) => ({ node, ...rest, port: this.portFor(entry, node, rest.port) })
    return { ...moved(value), ...(value.formers === undefined ? {} : { formers: value.formers.map(moved) }) }
  }

  /** Makes the links of an entry; `entries`: names and ports of all entries. */
  async connect (entry, entries) {
    for (const { name, peers } of entries) if (name !== entry) await this.addLink(entry, name, () => peers)
    for (const server of this.servers) await this.addLink(entry, `127.0.0.1:${server.link.port}`, () => server.port)
    const view = await new StoreView(this.store.port, (key, value) => this.rewrite(entry, key, value)).listen()
    this.views.push(view)
    await this.addLink(entry, 'store', () => view.port)
    return this.link(entry, 'store').port
  }

  /** All links of one machine, in both directions. */
  linksOf (entry) { return [...this.links].filter(([ends]) => ends.split(' ').includes(entry)).map(([, link]) => link) }

  async stop () {
    await super.stop()
    for (const link of this.links.values()) link.close()
    for (const view of this.views) view.close()
  }
}

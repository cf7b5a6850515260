/**
 * A whole system in one process, with real entries, sidecars and sockets, so that a test
 * can reach every fault switch.
 */
import { EventRing, HybridClock, silentLog, systemClock } from '@hazelford/core'
import { configKey, nextDocument } from '@hazelford/config'
import { createEngineClient, createPlainClient } from '@hazelford/engine'
import { type CallerServer, Entry, serveCallers } from '@hazelford/entry'
import { createHostListClient, createKvClient, withBreaker } from '@hazelford/consul'
import { Sidecar, silentMeter } from '@hazelford/sidecar'
import { type EngineOptions, type HostListService, type KvService, type ModelEngine, type PlainService, startHostListService, startKvService, startModelEngine, startPlainService } from '@hazelford/stand-ins'

/** Size and options of a system. */
export interface SystemSize {
  readonly models?: number
  readonly plains?: number
  readonly entries?: number
  readonly slots?: number
  /** Batch slots of an upstream. */
  readonly places?: number
  readonly stepMs?: number
  readonly maxBodyBytes?: number
  readonly fencing?: 'checked' | 'ignored'
  /** Additional lines of the configuration. */
  readonly services?: string
}

/** An entry, its server and its base URL. */
export interface LocalEntry {
  readonly entry: Entry
  readonly server: CallerServer
  readonly url: string
}

const pollMs = 5
const defaultTimeoutMs = 8_000

/** Polls until a condition holds; fails with its description after the timeout. */
export async function waitUntil (what: string, condition: () => boolean | Promise<boolean>, timeoutMs = defaultTimeoutMs): Promise<void> {
  const end = Date.now() + timeoutMs
  while (!await condition()) {
    if (Date.now() > end) throw new Error(`timed out waiting until ${what}`)
    await new Promise(resolve => { setTimeout(resolve, pollMs) })
  }
}

/** A running system. */
export class LocalSystem {
  readonly engines: ModelEngine[] = []
  readonly plains: PlainService[] = []
  readonly sidecars = new Map<string, Sidecar>()
  readonly entries: LocalEntry[] = []
  /** Version in force of the adapter `a`. */
  version = '2'
  drained: readonly string[] = []
  private readonly _ports = new Map<string, number>()
  private readonly _upstreamUrls = new Map<string, string>()
  private _revision = 0

  private constructor (readonly size: SystemSize, readonly kv: KvService, readonly hostList: HostListService) {}

  static async start (size: SystemSize): Promise<LocalSystem> {
    const system = new LocalSystem(size, await startKvService(), await startHostListService())
    await system._startUpstreams()
    await system.applyConfig()
    for (const name of system._upstreamUrls.keys()) await system.startSidecar(name)
    for (let i = 0; i < (size.entries ?? 1); i++) await system.startEntry()
    await system.ready()
    return system
  }

  get url (): string { return this.entries[0]!.url }
  get revision (): number { return this._revision }

  configText (): string {
    const { models = 1, plains = 1, slots = 2, places = 4, fencing = 'checked', services = '' } = this.size
    const upstreams = [
      ...Array.from({ length: models }, (_, i) => `[upstreams.m${i}]\nservice = "chat"\nslots = ${slots}\nplaces = ${places}\nfencing = "${fencing}"\n`),
      ...Array.from({ length: plains }, (_, i) => `[upstreams.b${i}]\nservice = "booking"\nplaces = ${places}\n`)
    ]
    return `drained = [${this.drained.map(name => `"${name}"`).join(', ')}]
[policy]
loads_per_second = 100
loads_at_once = 4
[services.chat]
kind = "model"
[services.booking]
kind = "plain"
class = "booking"
${services}
${upstreams.join('\n')}
[adapters]
a = { version = "${this.version}", versions = ["1", "2", "3"] }
b = "1"
c = "1"
d = "1"
`
  }

  /** Writes the next revision of the configuration to the key-value service. */
  async applyConfig (): Promise<number> {
    const kv = createKvClient(this.kv.url)
    const read = await kv.read(configKey)
    const index = read.isOk() ? read.value.entry?.modifyIndex ?? 0 : 0
    const doc = nextDocument(this._revision, this.configText(), 'test', Date.now())
    const written = await kv.cas(configKey, index, JSON.stringify(doc))
    if (written.isErr() || written.value !== 'stored') throw new Error('The configuration was not stored.')
    this._revision = doc.revision
    return doc.revision
  }

  async startSidecar (upstream: string): Promise<Sidecar> {
    const url = this._upstreamUrls.get(upstream)!
    const isModel = upstream.startsWith('m')
    const hlc = new HybridClock(systemClock)
    const sidecar = new Sidecar({
      name: `sidecar-${upstream}`,
      zone: 'z1',
      upstream,
      client: isModel ? { kind: 'model', engine: createEngineClient(url) } : { kind: 'plain', plain: createPlainClient(url) },
      kv: withBreaker(createKvClient(this.kv.url, 500), systemClock),
      clock: systemClock,
      log: silentLog,
      hlc,
      events: new EventRing(hlc),
      meter: silentMeter,
      leaseMs: 1_000,
      heartbeatMs: 50
    })
    const port = await sidecar.listen('127.0.0.1', 0)
    this.sidecars.set(upstream, sidecar)
    this._ports.set(upstream, port)
    this.hostList.put({ name: `sidecar-${upstream}`, role: 'sidecar', zone: 'z1', port, operatorPort: 0 })
    return sidecar
  }

  /** Port that the sidecar of an upstream listens on. */
  sidecarPort (upstream: string): number { return this._ports.get(upstream)! }

  async startEntry (): Promise<LocalEntry> {
    const hlc = new HybridClock(systemClock)
    const entry = new Entry({
      name: `entry-${this.entries.length}`,
      zone: 'z1',
      kv: withBreaker(createKvClient(this.kv.url, 500), systemClock),
      hostList: createHostListClient(this.hostList.url),
      clock: systemClock,
      log: silentLog,
      hlc,
      events: new EventRing(hlc),
      meter: silentMeter,
      maxBodyBytes: this.size.maxBodyBytes ?? 1 << 20,
      maxOpenRequests: 1_000,
      balancerNoticeMs: 20,
      heartbeatMs: 50
    })
    entry.start()
    const server = await serveCallers(entry, '127.0.0.1', 0)
    const local = { entry, server, url: `http://127.0.0.1:${server.port}` }
    this.entries.push(local)
    return local
  }

  /** Waits until every entry sees every undrained upstream serving. */
  async ready (): Promise<void> {
    const wanted = [...this.sidecars.keys()].filter(name => !this.drained.includes(name))
    for (const { entry } of this.entries) {
      await waitUntil('every upstream serves', () => wanted.every(name => entry.directory.view(name)?.accepts(performance.now()) === true))
    }
  }

  /** Waits until every process has a revision in force. */
  async inForce (revision: number): Promise<void> {
    const all = [...this.entries.map(({ entry }) => entry.config), ...[...this.sidecars.values()].map(sidecar => sidecar.config)]
    await waitUntil(`revision ${revision} is in force`, () => all.every(config => config.revision >= revision))
  }

  async stop (): Promise<void> {
    for (const { entry, server } of this.entries) {
      entry.stop()
      await server.close()
    }
    for (const sidecar of this.sidecars.values()) sidecar.stop()
    for (const part of [this.kv, this.hostList, ...this.engines, ...this.plains]) await part.close()
  }

  private async _startUpstreams (): Promise<void> {
    const { models = 1, plains = 1, slots = 2, places = 4, stepMs = 2, fencing = 'checked' } = this.size
    const options: EngineOptions = { slots, places, stepMs, stepMsPerSequence: 0, checksFencing: fencing === 'checked' }
    for (let i = 0; i < models; i++) {
      const engine = await startModelEngine(options)
      this.engines.push(engine)
      this._upstreamUrls.set(`m${i}`, engine.url)
    }
    for (let i = 0; i < plains; i++) {
      const plain = await startPlainService()
      this.plains.push(plain)
      this._upstreamUrls.set(`b${i}`, plain.url)
    }
  }
}

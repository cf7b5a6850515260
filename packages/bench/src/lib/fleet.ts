/**
 * A small deployment: stand-ins run in this process, daemons as child processes.
 */
import { type HostListService, type KvService, type ModelEngine, type PlainService, startHostListService, startKvService, startModelEngine, startPlainService, startWeightStore, type WeightStore } from '@hazelford/stand-ins'
import { configKey, nextDocument } from '@hazelford/config'
import { createKvClient, type KvClient } from '@hazelford/consul'
import { adapterName, configText, type FleetConfig } from './config-text.js'
import { type DaemonProcess, launcherToken, startDaemonProcess } from './daemon-process.js'
import { entrySettings, type FleetAddresses, sidecarSettings, type UpstreamAddress } from './settings-text.js'

/** Size of a fleet and speed of its stand-ins. */
export interface FleetSize {
  readonly models: number
  readonly plains: number
  readonly entries: number
  readonly zones: number
  readonly adapters: number
  readonly slots: number
  /** Batch slots of an engine. */
  readonly places: number
  readonly stepMs: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  readonly loadMs: number
}

/** Stand-ins and daemons of one run. */
export class Fleet {
  readonly entries: DaemonProcess[] = []
  readonly sidecars = new Map<string, DaemonProcess>()
  /** Indexes of entries that a load balancer would not send callers to. */
  readonly outOfService = new Set<number>()
  private readonly _upstreams = new Map<string, { readonly address: UpstreamAddress, readonly zone: string }>()
  private _revision = 0

  private constructor (
    readonly size: FleetSize,
    readonly kv: KvService,
    readonly hostList: HostListService,
    readonly weights: WeightStore,
    readonly engines: readonly ModelEngine[],
    readonly plains: readonly PlainService[],
    private readonly _kvClient: KvClient
  ) {}

  /**
   * Starts a fleet and waits until it serves.
   *
   * @param size - number of each kind of process, and their limits
   * @param progress - called with a description of each completed step
   */
  static async start (size: FleetSize, progress: (step: string) => void = () => {}): Promise<Fleet> {
    const { loadMs } = size
    const kv = await startKvService()
    const hostList = await startHostListService()
    const weights = await startWeightStore({ perSecond: size.loadsPerSecond, fullSpeed: size.loadsAtOnce, loadMs })
    const engines: ModelEngine[] = []
    for (let i = 0; i < size.models; i++) {
      engines.push(await startModelEngine({ slots: size.slots, places: size.places, stepMs: size.stepMs, stepMsPerSequence: 0.2, checksFencing: i % 2 === 0, weightStoreUrl: weights.url }))
    }
    const plains: PlainService[] = []
    for (let i = 0; i < size.plains; i++) plains.push(await startPlainService())
    const fleet = new Fleet(size, kv, hostList, weights, engines, plains, createKvClient(kv.url))
    progress(`stand-ins: key-value service, host list, weight store, ${engines.length} model engines, ${plains.length} booking services`)
    await fleet.applyConfig([])
    await fleet._startSidecars()
    progress(`${fleet.sidecars.size} sidecars`)
    for (let i = 0; i < size.entries; i++) await fleet.startEntry(i)
    progress(`${fleet.entries.length} entries`)
    await fleet.ready()
    return fleet
  }

  get addresses (): FleetAddresses { return { kvUrl: this.kv.url, hostListUrl: this.hostList.url } }

  /** Base URL of an entry. */
  entryUrl (index: number): string { return `http://127.0.0.1:${this.entries[index % this.entries.length]!.port}` }

  /** Base URL of an entry in service, as a load balancer would choose it. */
  liveEntryUrl (index: number): string {
    const inService = this.entries.flatMap((_, i) => this.outOfService.has(i) ? [] : [i])
    return this.entryUrl(inService[index % inService.length]!)
  }

  zone (index: number): string { return `zone-${index % this.size.zones}` }

  /** Applies a configuration, as an operator would. */
  async applyConfig (drained: readonly string[]): Promise<number> {
    const config: FleetConfig = {
      models: this.engines.map((_, i) => ({ name: `m${i}`, fencing: i % 2 === 0 ? 'checked' : 'ignored' })),
      plains: this.plains.map((_, i) => `b${i}`),
      slots: this.size.slots,
      places: this.size.places,
      adapters: this.size.adapters,
      loadsPerSecond: this.size.loadsPerSecond,
      loadsAtOnce: this.size.loadsAtOnce,
      drained
    }
    const doc = nextDocument(this._revision, configText(config), 'launcher', Date.now())
    for (;;) {
      const read = await this._kvClient.read(configKey)
      if (read.isErr()) continue
      const written = await this._kvClient.cas(configKey, read.value.entry?.modifyIndex ?? 0, JSON.stringify(doc))
      if (written.isOk() && written.value === 'stored') break
      const back = await this._kvClient.read(configKey)
      if (back.isOk() && back.value.entry !== undefined && back.value.entry.value.includes(doc.writeId)) break
    }
    this._revision = doc.revision
    return doc.revision
  }

  /** Starts the sidecar of an upstream and registers it in the host list. */
  async startSidecar (upstream: string): Promise<DaemonProcess> {
    const { address, zone } = this._upstreams.get(upstream)!
    const name = `sidecar-${upstream}`
    const daemon = await startDaemonProcess(name, sidecarSettings(name, zone, this.addresses, address))
    this.sidecars.set(upstream, daemon)
    this.hostList.put({ name, role: 'sidecar', zone, port: daemon.port, operatorPort: daemon.operatorPort })
    return daemon
  }

  /** Starts the entry with an index, replacing an earlier one. */
  async startEntry (index: number): Promise<DaemonProcess> {
    const name = `entry-${index}`
    const zone = this.zone(index)
    const daemon = await startDaemonProcess(name, entrySettings(name, zone, this.addresses))
    this.entries[index] = daemon
    this.hostList.put({ name, role: 'entry', zone, port: daemon.port, operatorPort: daemon.operatorPort })
    return daemon
  }

  /** Waits until every entry sees every upstream serving. */
  async ready (): Promise<void> {
    const end = Date.now() + 20_000
    for (const entry of this.entries) {
      while (!await this._seesAll(entry)) {
        if (Date.now() > end) throw new Error(`${entry.name} does not see all upstreams.\n${entry.output()}`)
        await new Promise(resolve => { setTimeout(resolve, 20) })
      }
    }
  }

  /** Stops every process and stand-in. */
  async stop (): Promise<void> {
    const daemons = [...this.entries, ...this.sidecars.values()]
    for (const daemon of this.entries) daemon.signal('SIGTERM')
    await Promise.all(this.entries.map(daemon => daemon.exited))
    for (const daemon of daemons) daemon.signal('SIGTERM')
    await Promise.all(daemons.map(daemon => daemon.exited))
    for (const part of [this.kv, this.hostList, this.weights, ...this.engines, ...this.plains]) await part.close()
  }

  private async _startSidecars (): Promise<void> {
    for (const [i, engine] of this.engines.entries()) {
      this._upstreams.set(`m${i}`, { address: { name: `m${i}`, kind: 'model', url: engine.url }, zone: this.zone(i) })
    }
    for (const [i, plain] of this.plains.entries()) {
      this._upstreams.set(`b${i}`, { address: { name: `b${i}`, kind: 'plain', url: plain.url }, zone: this.zone(i) })
    }
    await Promise.all([...this._upstreams.keys()].map(name => this.startSidecar(name)))
  }

  private async _seesAll (entry: DaemonProcess): Promise<boolean> {
    const status = await readStatus(entry)
    const serving = status.upstreams.filter(upstream => upstream.state === 'serving')
    return serving.length === this._upstreams.size
  }
}

interface StatusReply { readonly revision: number, readonly upstreams: readonly { readonly name: string, readonly state: string }[] }

/** Requests the status of a daemon. */
export async function readStatus (daemon: DaemonProcess): Promise<StatusReply> {
  const res = await fetch(`http://127.0.0.1:${daemon.operatorPort}/status`, { headers: { authorization: `Bearer ${launcherToken}` } })
  return await res.json() as StatusReply
}

export { adapterName }

/**
 * The upstreams that an entry can reach: channels to the sidecars of the host list, and views of their upstreams.
 */
import { type ConfigDocument, type Ms, sleep } from '@hazelford/core'
import type { Config, ConfigState } from '@hazelford/config'
import { fullJitter, type PlanReport, UpstreamView } from '@hazelford/decisions'
import type { Host } from '@hazelford/consul'
import type { SidecarHeartbeat, Welcome } from '@hazelford/wire'
import { ChannelClient } from './channel-client.js'
import type { EntryOptions } from './entry-options.js'

interface Peer {
  readonly host: Host
  readonly channel: ChannelClient
  upstream: string
}

const watchTimeout: Ms = 10_000
const backoff = { base: 100, cap: 3_000 }
const closeCheckMs: Ms = 1_000

function toReport (beat: SidecarHeartbeat): PlanReport {
  const { running, queued, places, slots, loadMs, loadsWaiting, serviceMs } = beat
  const adapters = beat.adapters.map(({ adapter, state, pins }) =>
    ({ adapter, state: state === 'loaded' ? 'loaded' as const : 'loading' as const, pins }))
  return { running, queued, places, slots, adapters, loadMs, loadsWaiting, serviceMs }
}

function toState (text: string): 'serving' | 'leaving' | 'cold' {
  return text === 'serving' || text === 'cold' ? text : 'leaving'
}

/** Notified that an upstream terminated while running a request. */
export type TerminationListener = (request: string, upstream: string, age: Ms) => void

/** Channels and upstream views of one entry. */
export class UpstreamDirectory {
  private readonly _peers = new Map<string, Peer>()
  private readonly _views = new Map<string, UpstreamView>()
  private readonly _byService = new Map<string, readonly UpstreamView[]>()
  private readonly _abort = new AbortController()

  constructor (private readonly _options: EntryOptions, private readonly _incarnation: string, private readonly _config: ConfigState, private readonly _onTermination: TerminationListener) {
    _config.onChange((config, doc) => this._configChanged(config, doc))
  }

  /** Watches the host list until {@link UpstreamDirectory.close} is called. */
  async run (): Promise<void> {
    const { hostList, clock } = this._options
    let index = 0
    let failures = 0
    while (!this._abort.signal.aborted) {
      const list = await hostList.watch(index, watchTimeout, this._abort.signal)
      if (list.isErr()) {
        // The known hosts are kept: an outage of the host list does not mean that hosts are gone.
        index = 0
        await sleep(clock, fullJitter(++failures, backoff, Math.random))
        continue
      }
      failures = 0
      index = list.value.index
      this._applyHosts(list.value.hosts.filter(host => host.role === 'sidecar'))
    }
  }

  /** Views of the upstreams of a service. */
  views (service: string): readonly UpstreamView[] { return this._byService.get(service) ?? [] }

  view (upstream: string): UpstreamView | undefined { return this._views.get(upstream) }

  channel (upstream: string): ChannelClient | undefined {
    for (const peer of this._peers.values()) {
      if (peer.upstream === upstream && peer.channel.connected) return peer.channel
    }
    return undefined
  }

  /** All views, for the status of the entry. */
  all (): readonly UpstreamView[] { return [...this._views.values()] }

  /** Breaks all channels; they reconnect. For tests. */
  cutChannels (): void {
    for (const peer of this._peers.values()) peer.channel.cut()
  }

  close (): void {
    this._abort.abort()
    for (const peer of this._peers.values()) peer.channel.close()
  }

  private _applyHosts (hosts: readonly Host[]): void {
    const listed = new Map(hosts.map(host => [host.name, host]))
    for (const [name, peer] of this._peers) {
      const host = listed.get(name)
      const moved = host !== undefined && (host.address !== peer.host.address || host.port !== peer.host.port)
      if (host === undefined || moved) this._retire(name, peer)
    }
    for (const host of hosts) this._applyHost(host)
  }

  private _applyHost (host: Host): void {
    const peer = this._peers.get(host.name)
    if (peer === undefined) this._dial(host)
    const view = this._views.get(this._peers.get(host.name)!.upstream)
    if (view !== undefined) this._updateBarred(view, host.state === 'leaving')
  }

  private _updateBarred (view: UpstreamView, leaving: boolean): void {
    const drained = this._config.config?.upstreams.get(view.name)?.drained === true
    view.excluded = leaving || drained
  }

  private _dial (host: Host): void {
    const { name, zone, clock, hlc, log, events, heartbeatMs } = this._options
    const channel = new ChannelClient({
      entry: name,
      incarnation: this._incarnation,
      zone,
      target: `${host.address}:${host.port}`,
      clock,
      hlc,
      log,
      events,
      revision: () => this._config.revision,
      document: () => this._config.document,
      ...(heartbeatMs === undefined ? {} : { heartbeatMs })
    }, {
      up: welcome => this._handleWelcome(peer, welcome),
      heartbeat: beat => this._applyHeartbeat(peer, beat),
      silent: () => this._markSuspect(peer),
      config: doc => { this._config.offer(doc, host.name) }
    })
    const peer: Peer = { host, channel, upstream: '' }
    this._peers.set(host.name, peer)
  }

  /** Stops sending requests to a host that left the list; its channel closes when its open attempts have ended. */
  private _retire (name: string, peer: Peer): void {
    this._peers.delete(name)
    const stillServed = [...this._peers.values()].some(other => other.upstream === peer.upstream)
    if (!stillServed) this._views.get(peer.upstream)?.suspect(this._options.clock.now())
    const closeWhenIdle = (): void => {
      if (peer.channel.openAttempts === 0) peer.channel.close()
      else this._options.clock.after(closeCheckMs, closeWhenIdle)
    }
    closeWhenIdle()
  }

  private _handleWelcome (peer: Peer, welcome: Welcome): void {
    peer.upstream = welcome.upstream
    if (!this._views.has(welcome.upstream)) this._addView(peer)
    if (welcome.report !== undefined) this._applyHeartbeat(peer, welcome.report)
    const doc = this._config.document
    if (doc !== undefined && welcome.revision < doc.revision) peer.channel.sendConfig(doc)
  }

  private _addView (peer: Peer): void {
    const service = this._config.config?.upstreams.get(peer.upstream)?.service ?? ''
    const view = new UpstreamView(peer.upstream, service, peer.host.zone)
    this._views.set(peer.upstream, view)
    this._updateBarred(view, peer.host.state === 'leaving')
    this._groupByService()
  }

  private _applyHeartbeat (peer: Peer, beat: SidecarHeartbeat): void {
    if (this._peers.get(peer.host.name) !== peer) return
    for (const { request, ageMs } of beat.endedUnder) this._onTermination(request, peer.upstream, ageMs)
    this._views.get(peer.upstream)?.update(toState(beat.state), toReport(beat), this._options.clock.now(), beat.sameAdapters)
  }

  private _markSuspect (peer: Peer): void {
    const view = this._views.get(peer.upstream)
    if (view !== undefined && this._peers.get(peer.host.name) === peer) view.suspect(this._options.clock.now())
  }

  private _configChanged (config: Config, doc: ConfigDocument): void {
    for (const [name, view] of [...this._views]) {
      const service = config.upstreams.get(name)?.service ?? ''
      if (service === view.service) {
        this._updateBarred(view, false)
        continue
      }
      const replacement = new UpstreamView(name, service, view.zone)
      replacement.update(view.state === 'suspect' ? 'cold' : view.state, view.report, this._options.clock.now())
      this._views.set(name, replacement)
    }
    this._groupByService()
    for (const peer of this._peers.values()) peer.channel.sendConfig(doc)
  }

  private _groupByService (): void {
    this._byService.clear()
    for (const view of this._views.values()) {
      this._byService.set(view.service, [...this.views(view.service), view])
    }
  }
}

/**
 * An entry that sends requests to upstreams directly.
 */
import { randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type Clock, type Log, type Ms, type OperatorView, sleep } from '@hazelford/core'
import { type QuarantineLimits, RelativePaces, type RouteTable, type SharedBudgetLimits, type Suspect, type UsageBounds } from '@hazelford/decisions'
import type { EngineControl } from '@hazelford/ports'
import { AdapterDirectory } from './engines/adapter-directory.js'
import { CallerServer, createReadyServer, type DropCause } from './relay/caller-server.js'
import type { CurrentConfig } from './store/current-config.js'
import { ConfigVerifier } from './store/config-verifier.js'
import { probeConnection } from './peers/connection-probe.js'
import { EngineCoordinator } from './engines/engine-coordinator.js'
import { EraStore } from './store/era-store.js'
import type { LoadRequestOutcome } from './engines/engine-holder.js'
import { EventLoopPauses } from './event-loop-pauses.js'
import { addressSettings, type DirectSettings, pickAddresses, splitAddress } from './entry-settings.js'
import { LeaseRenewer } from './engines/lease-renewer.js'
import type { Membership } from './placing/membership.js'
import type { EntryMetrics } from './metrics.js'
import { NoticeCoordinator } from './placing/notice-coordinator.js'
import { operatorView } from './operators/operator-view.js'
import { OrganisationActivity } from './usage/organisation-activity.js'
import { grantInFull, usageLimits, usageOf } from './usage/organisation-usage.js'
import { OriginCoordinator } from './relay/origin-coordinator.js'
import { OriginRecords } from './relay/origin-records.js'
import { PeerClient } from './peers/peer-client.js'
import type { LoadRequestMessage, PeerLoadRequestOutcome, TakeoverMessage } from './peers/peer-messages.js'
import { entryKey, type PeerAddress, type PeerTable } from './peers/peer-table.js'
import { Placer } from './placing/placer.js'
import type { PlatformPort } from './platform-port.js'
import { QuarantineCoordinator } from './quarantine/quarantine-coordinator.js'
import { BodyMemory, bodyMemoryLimit } from './relay/body-memory.js'
import { ProcessProbes } from './relay/process-probes.js'
import { RelayRunner } from './relay/relay-runner.js'
import { refuseStopping, RequestIntake } from './relay/request-intake.js'
import { type PeerService, servePeers } from './peers/serve-peers.js'
import { StoreView } from './store/store-view.js'
import { readStreamReport } from './engines/stream-report.js'
import type { TakeoverAnswer } from './engines/takeover.js'
import type { Upstream } from './placing/upstream.js'
import { UsageCoordinator } from './usage/usage-coordinator.js'
import { WaitingRequests } from './relay/waiting-requests.js'

/** What an entry is built from. */
export interface DirectEntryOptions {
  readonly settings: DirectSettings
  readonly platform: PlatformPort
  readonly clock: Clock
  readonly log: Log
  readonly metrics: EntryMetrics
  /** Ms after the start before it claims engines. */
  readonly settleTime?: Ms
}

/**
 * Share of an upstream's connections that the listed entries use together; the rest is for entries that are not listed
 * yet.
 */
const connectionShare = 0.9
const defaultConnections = 100
/**
 * Delay between the end of a request and the report to the engine's holder, unless a load request carries that report
 * before. Requests that end together are reported together. An adapter whose last request has ended occupies its adapter
 * slot for that much longer.
 */
const reportUseDelay: Ms = 20
/** The load balancer checks readiness once a second and removes an entry after two failed checks. */
const balancerNotice: Ms = 2_600
/** Time for the last answers to be sent when the process ends. */
const lastAnswersTime: Ms = 100
/** Open requests that are named in the log when the process ends. */
const mostNamed = 50
/** Part of the grace period that is left for the process itself to exit: this time, or a share of a short period. */
const graceMargin: Ms = 700
const graceMarginShare = 1 / 8
const defaultMaxBody = 4 << 20
/** Time for a request without a known route to be read. */
const defaultBodyTimeout: Ms = 10_000
/** Time for a connection to open to an upstream that may have terminated; one on a far link or a slow host takes some tens of ms. */
const probeTimeout: Ms = 600

/** Characters that tell the keys of one process of an entry from those of another one. */
const incarnationLength = 8

function budgetLimits (settings: DirectSettings): SharedBudgetLimits {
  return { ratio: settings.retry_budget_ratio, slack: settings.retry_budget_slack, window: settings.budget_window_s * 1_000 }
}

function quarantineLimits (settings: DirectSettings): QuarantineLimits {
  return { after: settings.quarantine_after, holdTime: settings.quarantine_s * 1_000 }
}

function usageBounds (settings: DirectSettings): UsageBounds {
  return { window: settings.usage_window_s * 1_000, overage: settings.usage_overage, slack: settings.usage_slack }
}

function portOf (server: Server): number { return (server.address() as AddressInfo).port }

function listen (server: Server, host: string, port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}

/** One entry. */
export class DirectEntry {
  readonly engineCoordinator: EngineCoordinator
  private readonly _store: EraStore
  private readonly _view: StoreView
  private readonly _directory: AdapterDirectory
  private readonly _placer: Placer
  private readonly _lease: LeaseRenewer
  private readonly _client = new PeerClient()
  private readonly _waiting: WaitingRequests
  private readonly _runner: RelayRunner
  private readonly _intake: RequestIntake
  private readonly _callers: CallerServer
  private readonly _quarantine: QuarantineCoordinator
  private readonly _usage: UsageCoordinator
  private readonly _notices: NoticeCoordinator
  private readonly _origins: OriginCoordinator
  private readonly _processProbes: ProcessProbes
  private readonly _originRecords: OriginRecords
  private readonly _relativePaces = new RelativePaces()
  private readonly _activity: OrganisationActivity
  private readonly _pauses: EventLoopPauses
  private readonly _servers: Server[] = []
  private readonly _self: { readonly node: string, readonly host: string, readonly zone: string, readonly linkMbps: number, readonly cores: number, port: number }
  private _settings: DirectSettings
  private _peerPort = 0
  private _closing = false
  private _closesConnections = false
  private _refusing = false
  private _stopped = false

  constructor (private readonly _options: DirectEntryOptions) {
    const { settings, platform, clock, log } = _options
    this._settings = settings
    this._self = { node: settings.name, host: settings.host, port: settings.peer_port, zone: settings.zone, linkMbps: settings.link_mbps, cores: settings.cpu_share * settings.cpu_speed }
    this._store = new EraStore(platform.store, log, ({ isFirst }) => this._storeReturned(isFirst))
    this._quarantine = new QuarantineCoordinator({
      node: settings.name,
      clock,
      log,
      limits: quarantineLimits(settings),
      store: this._store,
      client: this._client,
      entries: () => this.peers.entries,
      probe: ({ record }) => probeConnection(record.host, record.port, probeTimeout),
      quarantined: suspect => this._endQuarantined(suspect)
    })
    this._activity = new OrganisationActivity(clock)
    this._pauses = new EventLoopPauses(clock)
    this._usage = this._createUsageCoordinator()
    this._notices = new NoticeCoordinator({
      node: settings.name,
      clock,
      log,
      metrics: _options.metrics,
      client: this._client,
      entries: () => this.peers.entries,
      entryCount: () => this.peers.entryCount,
      leavingAnnounced: upstream => this._upstreamLeaves(upstream),
      backoffRequested: ({ id }) => this.engineCoordinator.holder(id)?.startBackoff(),
      upstreams: { all: () => this.members.all(), get: id => this.members.get(id) }
    })
    this._processProbes = new ProcessProbes(clock)
    this._originRecords = this._createOriginRecords()
    this._origins = new OriginCoordinator({ node: settings.name, clock, log, client: this._client, entries: () => this.peers.entries, records: this._originRecords })
    this._view = new StoreView({
      node: settings.name,
      platform,
      store: this._store,
      clock,
      log,
      client: this._client,
      applyWithin: () => this._settings.apply_within_ms,
      heldRequests: () => this._quarantine.quarantinedRequests
    }, {
      configured: table => this._configured(table),
      declared: version => this.engineCoordinator.prefetch(version),
      connections: service => this._connections(service),
      requestEnded: upstream => this._requestEnded(upstream),
      gone: upstream => this._upstreamGone(upstream),
      quarantinedInStore: key => this._quarantine.receiveStoredKey(key),
      originsInStore: (key, value) => this._originRecords.receive(key, value),
      quarantinedByPeer: requests => this._quarantine.receiveQuarantined({ requests }),
      restarted: upstream => this.engineCoordinator.handleRestart(upstream),
      changed: () => {
        this.engineCoordinator.scheduleReconcile()
        this._originRecords.upstreamsChanged()
      }
    })
    _options.metrics.currentViewAge = () => this._view.viewAge
    this.engineCoordinator = new EngineCoordinator({
      self: this._self,
      store: this._store,
      clock,
      log,
      peers: this.peers,
      upstreams: () => this.members.all(),
      engineSpec: service => this.config.table?.service(service)?.engine,
      control: upstream => this._control(upstream),
      notifyTakeover: (former, msg) => this._notifyTakeover(former, msg),
      loaded: took => _options.metrics.loadStall.observe(took),
      serviceTime: service => this._placer.serviceTime(service),
      holderTurn: settings.holder_turn_ms,
      era: () => this._store.era,
      ...(_options.settleTime === undefined ? {} : { settleTime: _options.settleTime })
    }, () => this._lease)
    _options.metrics.currentEngineSpeeds = () => this.engineCoordinator.speeds
    this._lease = new LeaseRenewer(this._store, clock, log, {
      granted: lease => { this._register(lease).catch((error: Error) => log.warn('peers', 'entry not registered.', { error: error.message })) },
      ended: () => this.engineCoordinator.releaseAll()
    })
    this._directory = new AdapterDirectory(settings.name, clock, log, this.peers, this._client, this.engineCoordinator, this.members)
    this._placer = new Placer({
      clock,
      log,
      zone: settings.zone,
      members: this.members,
      directory: this._directory,
      entries: () => this.peers.entryCount,
      adapterSlots: service => this.config.table?.service(service)?.engine?.adapterSlots ?? 1,
      admit: upstream => this._notices.admit(upstream)
    })
    this._waiting = new WaitingRequests(({ incoming, id, cause }) => {
      log.info('request', 'refused, since the entry stops.', { request: id, waitsFor: cause })
      refuseStopping(incoming, _options.metrics)
    })
    this._runner = this._createRunner()
    this._intake = this._createIntake()
    this._callers = new CallerServer({
      clock,
      maxBodyBytes: () => this.config.table?.config.limits.maxBodyBytes ?? defaultMaxBody,
      bodyMemory: new BodyMemory(bodyMemoryLimit(settings.memory_mb)),
      bodyRefused: bytes => {
        log.info('request', 'no memory for its body, refused.', { bytes })
        _options.metrics.requests.inc({ kind: 'none', end: 'no-body-memory' })
      },
      bodyTimeout: (host, target) => this.config.table?.match(host, target)?.timeout ?? defaultBodyTimeout,
      closing: () => this._closesConnections,
      handle: incoming => this._intake.handle(incoming),
      callerLeft: headers => this._callerLeft(headers),
      dropped: (cause, headers) => this._requestDropped(cause, headers)
    })
  }

  /** Logs and counts a request whose caller left before it was handled. */
  private _callerLeft (headers: readonly string[]): void {
    const { log, metrics, platform } = this._options
    const facts = platform.codec.readCall(headers)
    log.info('request', 'not handled, since its caller has left.', { request: facts.isOk() ? facts.value.id : undefined })
    metrics.requests.inc({ kind: 'none', end: 'caller-gone' })
  }

  /** Logs and counts a request that gets no answer although its caller has not left. */
  private _requestDropped (cause: DropCause, headers: readonly string[]): void {
    const { log, metrics, platform } = this._options
    const facts = platform.codec.readCall(headers)
    log.warn('request', 'answer cut.', { request: facts.isOk() ? facts.value.id : undefined, cause })
    metrics.answersCut.inc({ cause })
  }

  /** Handles that an answer has shown a later era of the store. */
  private _storeReturned (isFirst: boolean): void {
    this.engineCoordinator.storeReturned(this._lease.valid)
    this._lease.storeReturned()
    this._view.storeReturned(isFirst)
    this._originRecords.storeReturned()
    this._quarantine.storeReturned()
  }

  /** Controls an engine; its reports also verify its incarnation. */
  private _control (upstream: Upstream): EngineControl {
    const { platform, clock } = this._options
    const control = platform.control(upstream.record, (notice, took) => this._notices.applyNotice(upstream, notice, took))
    return {
      ...control,
      report: () => {
        const requestedAt = clock.now()
        return control.report().map(report => {
          upstream.incarnation.recordReport(report.startedAt, requestedAt)
          return report
        })
      }
    }
  }

  /** Whether a connection to an upstream, opened at a time, leads to the incarnation in its record. Plain services give no reports. */
  private async _verifyIncarnation (upstream: Upstream, openedAt: Ms): Promise<boolean> {
    if (this.config.table?.service(upstream.record.service)?.engine === undefined) return true
    return upstream.incarnation.confirm(openedAt, async () => (await this._control(upstream).report()).unwrapOr(undefined))
  }

  /**
   * Whether the process of the upstream at an address goes on running. One that leaves may close its port before it has ended
   * its last answers; one that is to be removed at a set time may be terminated within them.
   */
  private async _isRunning (host: string, port: number): Promise<boolean> {
    if (await this._processProbes.isRunning(host, port)) return true
    return [...this.members.all()].some(({ record }) => record.host === host && record.port === port && record.state === 'draining' && record.leavesIn === undefined)
  }

  /** The one software version that can have served a service since a time, as the store confirms now. */
  private async _onlySoftware (service: string, since: Ms): Promise<string | undefined> {
    const known = this.members.software.onlyVersion(service, since)
    if (known === undefined) return undefined
    const listed = await this._view.listUpstreams()
    const isOnly = listed?.every(record => record.service !== service || record.software === known) ?? false
    return isOnly ? this.members.software.onlyVersion(service, since) : undefined
  }

  private _createOriginRecords (): OriginRecords {
    const { settings, clock, log, metrics } = this._options
    return new OriginRecords({
      node: settings.name,
      incarnation: randomUUID().slice(0, incarnationLength),
      clock,
      log,
      store: this._store,
      entryCount: () => this.peers.entryCount,
      hasSeveralVersions: (service, within) => this.members.software.hasSeveral(service, clock.now() - within),
      counted: (outcome, streams) => metrics.storedOrigins.inc({ outcome }, streams)
    })
  }

  private _createUsageCoordinator (): UsageCoordinator {
    const { clock, log, settings } = this._options
    return new UsageCoordinator({
      node: settings.name,
      kind: 'usage',
      clock,
      log,
      recorded: (organisation, event, units) => { if (event === 'admitted' || event === 'refused') this._activity.recordUnits(organisation, event, units) },
      bounds: () => usageBounds(this._settings),
      waitsForCredit: true,
      entries: () => this.peers.entries,
      entryCount: () => this.peers.entryCount,
      isConfigured: () => this.config.table !== undefined,
      limits: () => usageLimits(this.config.table?.organisations ?? []),
      defaultGrant: grantInFull,
      report: (peer, msg) => this._client.reportUsage(peer, msg),
      ping: peer => this._client.ping(peer)
    })
  }

  private _createRunner (): RelayRunner {
    const { clock, log, metrics, platform } = this._options
    return new RelayRunner({
      clock,
      log,
      metrics,
      codec: platform.codec,
      config: this.config,
      placer: this._placer,
      directory: this._directory,
      quarantine: this._quarantine,
      notices: this._notices,
      origins: this._origins,
      waiting: this._waiting,
      relativePaces: this._relativePaces,
      answerMemory: new BodyMemory(bodyMemoryLimit(this._settings.memory_mb)),
      onlySoftware: (service, since) => this._onlySoftware(service, since),
      verifyIncarnation: (upstream, openedAt) => this._verifyIncarnation(upstream, openedAt),
      isRunning: (host, port) => this._isRunning(host, port),
      upstreams: service => this.members.serving(service).length,
      entries: () => this.peers.entryCount,
      budgetLimits: () => budgetLimits(this._settings),
      longestPause: since => this._pauses.longestSince(since),
      organisationEnded: (organisation, end) => this._organisationEnded(organisation, end)
    })
  }

  private _createIntake (): RequestIntake {
    const { clock, log, metrics, platform } = this._options
    const viewAge = (): Ms => this._view.viewAge
    return new RequestIntake({
      clock,
      log,
      metrics,
      codec: platform.codec,
      table: () => this._view.known ? this.config.table : undefined,
      refusing: () => this._refusing,
      verifier: new ConfigVerifier({ clock, log, withdrawWithin: () => this._settings.withdraw_within_ms, viewAge, query: () => this._view.queryConfig() }),
      waiting: this._waiting,
      viewAge,
      applyWithin: () => this._settings.apply_within_ms,
      admit: ({ name, limit }, tokens, patience, urgency) => limit === undefined ? { kind: 'admitted', refund: () => {} } : this._usage.admit(name, usageOf(limit, tokens), patience, urgency),
      organisationEnded: (organisation, end) => this._organisationEnded(organisation, end),
      relay: admitted => this._runner.run(admitted)
    })
  }

  private _organisationEnded (organisation: string, end: string): void {
    this._options.metrics.countOrganisation(organisation, end)
    this._activity.recordEnd(organisation, end)
  }

  get name (): string { return this._self.node }
  get config (): CurrentConfig { return this._view.config }
  get members (): Membership { return this._view.members }
  get peers (): PeerTable { return this._view.peers }

  /** Whether new connections are wanted. */
  get ready (): boolean { return !this._closing && this._view.known }

  private _connections (service: string): number {
    const spec = this.config.table?.service(service)
    return Math.max(2, Math.floor((spec?.maxConnections ?? defaultConnections) * connectionShare / this.peers.entryCount))
  }

  private _configured (table: RouteTable): void {
    this._options.metrics.configVersion.set(table.version)
    this._runner.configured(table)
    this._usage.limitsChanged()
    this._callers.limit(table.config.limits)
    this.engineCoordinator.scheduleReconcile()
  }

  private async _register (lease: number): Promise<void> {
    const { log } = this._options
    const put = { key: entryKey(this._self.node), value: JSON.stringify(this._self), lease }
    for (let attempt = 1; attempt <= 5 && this._lease.lease === lease; attempt++) {
      const outcome = await this._store.commit({ conditions: [], puts: [put], removals: [] })
      if (outcome.isOk()) return
      log.info('peers', 'registration unanswered.', { attempt, cause: outcome.error.message })
      await sleep(this._options.clock, 200)
    }
  }

  /**
   * Applies changed settings: bounds at once, addresses at the next start.
   *
   * @returns names of changed settings that take effect at the next start
   */
  reconfigure (settings: DirectSettings): readonly string[] {
    const before = this._settings
    this._settings = { ...settings, ...pickAddresses(before) }
    this._runner.updateRetryLimits(budgetLimits(settings))
    this._quarantine.limit(quarantineLimits(settings))
    return addressSettings.filter(name => settings[name] !== before[name])
  }

  /** Starts the entry; resolves once it listens on all its ports. */
  async start (): Promise<void> {
    const { settings, platform, metrics } = this._options
    const callers = splitAddress(settings.listen_callers)
    await this._callers.listen(callers.host, callers.port)
    const ready = splitAddress(settings.listen_ready)
    this._servers.push(await listen(createReadyServer(() => this.ready, platform.readinessPath), ready.host, ready.port))
    const peers = await servePeers(this._peerService(), settings.host, settings.peer_port)
    this._peerPort = portOf(peers)
    this._self.port = settings.advertised_peer_port === 0 ? this._peerPort : settings.advertised_peer_port
    this._servers.push(peers)
    await this._serveSeeds()
    this._servers.push(await listen(metrics.createServer('/metrics'), settings.host, settings.metrics_port))
    this._lease.start()
    this._view.start(settings.seeds.filter(seed => seed !== settings.listen_control).map(splitAddress))
  }

  /** Requests whose answer is not complete. */
  get openRequests (): number { return this._callers.open }

  /** Ms for which the configuration may have changed without this entry knowing. */
  get viewAge (): Ms { return this._view.viewAge }

  /** Whether the store has stopped answering. */
  get storeLost (): boolean { return this._view.storeLost }

  /** Ports on which the entry listens; the kernel has chosen those whose setting is 0. */
  get ports (): { readonly callers: number, readonly ready: number, readonly peers: number } {
    return { callers: portOf(this._callers.server), ready: portOf(this._servers[0]!), peers: this._peerPort }
  }

  /** Serves peers at a fixed address as well, where entries that start during an outage of the store find this one. */
  private async _serveSeeds (): Promise<void> {
    const { listen_control: address } = this._options.settings
    if (address === '') return
    const { host, port } = splitAddress(address)
    this._servers.push(await servePeers(this._peerService(), host, port))
  }

  private _peerService (): PeerService {
    return {
      requestLoad: msg => this._handlePeerLoadRequest(msg),
      recordUse: ({ upstream, entry, uses, outstanding, ...ended }) => this.engineCoordinator.holder(upstream)?.recordUse(entry, uses, outstanding, readStreamReport(ended)),
      receiveTakeover: msg => this.engineCoordinator.receiveTakeover(msg),
      receiveTerminations: msg => this._quarantine.receiveTerminations(msg),
      receiveQuarantined: msg => this._quarantine.receiveQuarantined(msg),
      answered: query => this._quarantine.recentlyAnswered(query),
      now: () => this._options.clock.now(),
      operatorView: () => this._operatorView(),
      changes: (after, wait) => this._view.changes(after, wait),
      state: () => this._view.state,
      configAge: () => this._view.configAge,
      reportUsage: msg => this._usage.report(msg),
      reportLimits: msg => this._notices.report(msg),
      receiveNotices: msg => this._notices.applyNotices(msg),
      receiveOrigins: msg => this._origins.receive(msg),
      findOrigin: query => this._origins.answer(query)
    }
  }

  private _operatorView (): OperatorView {
    return operatorView({
      node: this.name,
      clock: this._options.clock,
      viewAge: this._view.viewAge,
      peers: this.peers,
      upstreams: this.members.all(),
      heldLoads: this.engineCoordinator.loads,
      table: this.config.table,
      activity: this._activity
    })
  }

  /** Reports to the holder of an engine, after a short delay, that a request of this entry there has ended. */
  private _requestEnded (upstream: Upstream): void {
    this._options.clock.after(reportUseDelay, () => {
      if (this._stopped || !upstream.hasUnreportedUse) return
      this._directory.reportUse(upstream).catch((error: Error) => {
        this._options.log.info('loads', 'use not reported.', { upstream: upstream.id, cause: error.message })
      })
    })
  }

  private _upstreamGone (upstream: Upstream): void {
    this._directory.forget(upstream.id)
    this._notices.forget()
    this._quarantine.recordGone(upstream)
  }

  private _upstreamLeaves (upstream: Upstream): void {
    this.members.markLeaving(upstream)
    this.engineCoordinator.scheduleReconcile()
  }

  /** Ends this entry's open requests to which a quarantine applies that has just begun. */
  private _endQuarantined (suspect: Suspect): void {
    const { metrics } = this._options
    if (suspect.kind === 'part') metrics.quarantinedParts.inc()
    else metrics.heldRequests.inc()
    this._runner.endQuarantined(suspect)
  }

  private async _handlePeerLoadRequest ({ upstream, loads, ...request }: LoadRequestMessage): Promise<PeerLoadRequestOutcome> {
    this._directory.applyLoadDigests(loads)
    const outcome: LoadRequestOutcome = await this.engineCoordinator.requestLoad(upstream, { ...request, ...readStreamReport(request) }) ?? { kind: 'unavailable', cause: 'not held here' }
    return { ...outcome, loads: this._directory.loadDigestRows() }
  }

  private async _notifyTakeover (former: PeerAddress, msg: TakeoverMessage): Promise<TakeoverAnswer> {
    try {
      await this._client.notifyTakeover(former, msg)
      return 'stopped'
    } catch (error) {
      // An entry listens for its peers from before its first claim until its process ends.
      if (await probeConnection(former.host, former.port, probeTimeout) === 'refused') return 'terminated'
      throw error
    }
  }

  /** Shuts the entry down without cutting off a request. */
  async shutdown (): Promise<void> {
    const { clock, log } = this._options
    this._closing = true
    const grace: Ms = this._settings.grace_s * 1_000
    const until = clock.now() + grace - Math.min(graceMargin, grace * graceMarginShare)
    const refusesFrom = Math.min(clock.now() + balancerNotice, until)
    this._runner.limitWaits(refusesFrom)
    // The load balancer sends connections until it notices that the entry is not ready. Their requests are served, and
    // each answer closes its connection.
    this._closesConnections = true
    const leaseReturned = this._lease.stop().catch((error: Error) => log.warn('lease', 'not returned, it will expire.', { cause: error.message }))
    await sleep(clock, refusesFrom - clock.now())
    // Requests that arrive from here on, or wait, might not end within the grace period.
    this._refusing = true
    this._waiting.refuseAll()
    this._runner.stop()
    await Promise.race([Promise.all([this._callers.drained(), leaseReturned]), sleep(clock, until - clock.now())])
    log.info('entry', 'drained.', { open: this._callers.open })
    for (const open of this._runner.openRequests(mostNamed)) log.warn('request', 'open at the end of the process.', open)
    this._runner.endWithProcess()
    await Promise.race([this._callers.drained(), sleep(clock, lastAnswersTime)])
    this._callers.close()
    this._stop()
  }

  /** Stops at once, as a crash does: the lease is not returned and callers are cut off. */
  kill (): void {
    this._lease.abandon()
    this._callers.server.closeAllConnections()
    this._callers.close()
    this._stop()
  }

  /** Prevents that a part of an answer looks complete to its caller. To be called when the process exits, whatever the reason. */
  processExits (): void { this._callers.endAnswers() }

  /** Stops all activity of this entry. */
  private _stop (): void {
    this._stopped = true
    this._pauses.stop()
    this._quarantine.stop()
    this._usage.stop()
    this._notices.stop()
    this._origins.stop()
    this._originRecords.stop()
    this._directory.stop()
    this._view.stop()
    this.engineCoordinator.stop()
    for (const server of this._servers) {
      server.close()
      server.closeAllConnections()
    }
    this._client.close()
  }
}

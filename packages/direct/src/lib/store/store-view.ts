/**
 * One entry's view of the store, from the store itself or from peers.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms } from '@hazelford/core'
import { type RouteTable, storeRole, type StoreRole, ViewAge } from '@hazelford/decisions'
import type { AdapterVersion, Store, StoreEvent, StoreItem, UpstreamRecord } from '@hazelford/ports'
import { type FeedAnswer, longestAge } from './change-feed.js'
import { CurrentConfig } from './current-config.js'
import { Membership, type MembershipListener } from '../placing/membership.js'
import type { PeerClient } from '../peers/peer-client.js'
import { PeerFollower } from '../peers/peer-follower.js'
import { type ConfigAge, fetchStateFromPeers, type PeerState } from '../peers/peer-state.js'
import { systemKeyPrefix, type PeerAddress, PeerTable } from '../peers/peer-table.js'
import type { PlatformPort } from '../platform-port.js'
import { quarantinePrefix } from '../quarantine/quarantine-coordinator.js'
import { originsPrefix } from '../relay/origin-values.js'
import { StoreFollower } from './store-follower.js'
import { StoreMirror } from './store-mirror.js'

/** What a view needs of its entry. */
export interface StoreViewOptions {
  /** Name of the entry. */
  readonly node: string
  readonly platform: PlatformPort
  readonly store: Store
  readonly clock: Clock
  readonly log: Log
  readonly client: PeerClient
  /** Time within which an accepted change must be in force. */
  readonly applyWithin: () => Ms
  /** Fingerprints of quarantined requests, for peers that request them. */
  readonly heldRequests: () => readonly string[]
}

/** Called when the view changes. */
export interface StoreViewListener extends MembershipListener {
  readonly configured: (table: RouteTable) => void
  readonly declared: (version: AdapterVersion) => void
  /** A request's quarantine was found in the store, under this key. */
  readonly quarantinedInStore: (key: string) => void
  /** Origins of streams were found in the store. */
  readonly originsInStore: (key: string, value: string) => void
  /** A peer has quarantined requests. */
  readonly quarantinedByPeer: (requests: readonly string[]) => void
  /** Upstreams, entries or holders have changed. */
  readonly changed: () => void
}

/**
 * Age of a view up to which no upstream can have come and gone unseen: one that crashes stays listed for some three
 * heartbeats, and one that leaves keeps serving for some seconds.
 */
const unseenChangeAge: Ms = 2_000
/** Peers queried at once about the configuration: one of them may be gone. */
const peersQueried = 2
/** Time after the store's return within which records in its copy of upstreams that are gone are removed. */
const copySettles: Ms = 5_000
/** Peers asked after the store's return from a copy: what one of them knows is in force everywhere. */
const peersAskedAfterReturn = 3

/** Configuration, upstreams, entries and holders. */
export class StoreView {
  readonly config: CurrentConfig
  readonly members: Membership
  readonly peers: PeerTable
  private readonly _viewAge = new ViewAge()
  private readonly _mirror: StoreMirror
  private readonly _follower: PeerFollower
  private _configRead: Promise<void> | undefined
  /** Whether the store has come back from a copy, or was in a later era from the start, and has not been listed since. */
  private _isReturnOpen = false
  /** Position of the first listing in the present era of the store: what lies below may be from the copy. */
  private _copyUpTo = 0
  /** Whether this process has started since the store's return, so that its peers may know more. */
  private _isNew = false
  /** Whether peers are being asked for what the copy may lack. */
  private _isAskingPeers = false
  private _peerRead: Promise<void> | undefined
  /** A listing of upstreams that is under way, and one that begins after it. */
  private _upstreamsRead: Promise<readonly UpstreamRecord[] | undefined> | undefined
  private _upstreamsNext: Promise<readonly UpstreamRecord[] | undefined> | undefined

  constructor (private readonly _options: StoreViewOptions, private readonly _listener: StoreViewListener) {
    const { platform, clock, log, client, node } = _options
    this.config = new CurrentConfig(platform, log, _listener)
    this.members = new Membership(clock, log, _listener)
    this.peers = new PeerTable(clock, () => _listener.changed())
    this._mirror = this._createMirror()
    this._follower = new PeerFollower({
      clock,
      log,
      client,
      peers: () => this.peers.entries.filter(entry => entry.node !== node),
      age: () => this._age,
      maxAnswerInterval: () => this._mirror.maxAnswerInterval,
      apply: (state, asked) => this._follow(state, asked)
    })
  }

  /** Whether the view is complete, from the store or from a peer. */
  get known (): boolean { return this.config.table !== undefined && this.members.known && !(this._isAskingPeers && this._isNew) }

  /** Whether the store has stopped answering. */
  get storeLost (): boolean { return this._mirror.lost }

  /** Ms for which the configuration may have changed without this entry knowing; infinite when it was never verified. */
  get viewAge (): Ms { return this._viewAge.at(this._instant) }

  /** Whether the store may hold an older configuration than this entry or a peer knows. */
  private get _isBehind (): boolean { return this.config.isStoreBehind || this._isReturnOpen || this._isAskingPeers }

  /**
   * Handles that the store came back from a copy: the whole store is listed, whatever revision it is at, and peers are asked
   * for a newer configuration than the copy has.
   *
   * @param isNew - whether this process has just started, and knows nothing from before the return
   */
  storeReturned (isNew: boolean): void {
    this._isReturnOpen = true
    this._isNew = isNew
    this._mirror.scheduleRelist()
  }

  /** Handles the first listing after the store's return. */
  private _returned (items: readonly StoreItem[]): void {
    this._isReturnOpen = false
    this._copyUpTo = Math.max(0, ...items.map(({ revision }) => revision))
    this.members.storeReturned()
  }

  /** Takes the records that the copy had for what they say: those of upstreams that are gone are not in the store any more. */
  private _acceptCopy (): void {
    this._copyUpTo = 0
    this._mirror.scheduleRelist()
  }

  /** Asks some peers for what the copy of the store lacks. */
  private _askPeers (): void {
    this._isAskingPeers = true
    const asked = instantOf(this._options.clock)
    const others = this._someOthers(peersAskedAfterReturn)
    Promise.all(others.map(peer => this._askPeer(peer, asked).catch((error: Error) => {
      this._options.log.info('peers', 'no state after the return of the store.', { peer: peer.node, cause: error.message })
    }))).then(() => {
      this._isAskingPeers = false
      this._listener.changed()
    }, (error: Error) => this._options.log.warn('peers', 'peers not asked.', { error: error.message }))
  }

  private async _askPeer (peer: PeerAddress, asked: Instant): Promise<void> {
    const { client } = this._options
    const answer = await client.configAge(peer)
    if (!this._isNew && (answer === undefined || answer.version <= (this.config.table?.version ?? 0))) return
    const state = await client.state(peer)
    this._applyConfig({ ...state, viewAge: Infinity }, asked)
    if (this._isNew) this.members.applyDepartures(state.departures ?? [], state.upstreams.filter(({ state }) => state === 'draining'))
  }

  /** Other entries, chosen at random. */
  private _someOthers (count: number): readonly PeerAddress[] {
    const others = this.peers.entries.filter(({ node }) => node !== this._options.node)
    const from = Math.floor(Math.random() * others.length)
    return Array.from({ length: Math.min(count, others.length) }, (_, n) => others[(from + n) % others.length]!)
  }

  /** Age of the configuration, for peers that query it; undefined while there is no configuration. */
  get configAge (): ConfigAge | undefined {
    const { table } = this.config
    return table === undefined ? undefined : { version: table.version, viewAge: Math.min(longestAge, this.viewAge) }
  }

  /**
   * Queries the store and some peers to verify that this entry's configuration is still the latest.
   *
   * @returns one promise per query, which resolves when the answer has been applied or none has come
   */
  queryConfig (): readonly Promise<void>[] {
    return [this._queryStore(), ...this._someOthers(peersQueried).map(peer => this._queryPeer(peer))]
  }

  /**
   * Reads the configuration, once for all queries that overlap: it may be large for the link, and reads at the same time
   * would delay each other, and the mirror's listing, without end.
   */
  private _queryStore (): Promise<void> {
    if (this._mirror.listing !== undefined) return this._mirror.listing
    this._configRead ??= this._readConfig().finally(() => { this._configRead = undefined })
    return this._configRead
  }

  private async _readConfig (): Promise<void> {
    const { store, platform } = this._options
    const asked = this._instant
    const listing = await store.list(platform.layout.config)
    if (listing.isErr()) return
    this.config.reset(listing.value.items)
    if (!this._isBehind) this._viewAge.recordAnswer(asked, 0, this._instant)
  }

  private async _queryPeer (peer: PeerAddress): Promise<void> {
    const { client } = this._options
    const asked = this._instant
    const answer = await client.configAge(peer)
    if (answer === undefined) return
    // The peer's complete state has hundreds of routes, so it is requested only when the version is newer, and once for
    // all queries that overlap.
    if (answer.version === this.config.table?.version) this._viewAge.recordAnswer(asked, answer.viewAge, this._instant)
    else if (answer.version > (this.config.table?.version ?? 0)) await (this._peerRead ??= this._readPeer(peer, asked).finally(() => { this._peerRead = undefined }))
  }

  private async _readPeer (peer: PeerAddress, asked: Instant): Promise<void> { this._applyConfig(await this._options.client.state(peer), asked) }

  private get _instant (): Instant { return instantOf(this._options.clock) }

  private get _age (): Ms { return this._mirror.age(this._options.clock.now()) }

  private get _role (): StoreRole { return storeRole(this._options.node, this.peers.entries) }

  /** @param seeds - addresses of peers from which to fetch the state during an outage of the store */
  start (seeds: readonly { readonly host: string, readonly port: number }[]): void {
    const { client, clock, log } = this._options
    this._mirror.start()
    this._follower.start()
    fetchStateFromPeers(seeds, client, clock, log, () => this._mirror.known, (state, asked) => this._applyState(state, asked))
      .catch((error: Error) => log.warn('peers', 'state not fetched.', { error: error.message }))
  }

  stop (): void {
    this._mirror.stop()
    this._follower.stop()
  }

  /** Changes after a revision, for an entry that follows this one. */
  changes (after: number, wait: Ms): Promise<FeedAnswer> { return this._mirror.feed.since(after, wait) }

  /** All state that a peer needs to serve; undefined while this entry does not have it. */
  get state (): PeerState | undefined {
    const { table } = this.config
    if (table === undefined || !this.members.known) return undefined
    return {
      age: Math.min(longestAge, this._age),
      viewAge: Math.min(longestAge, this.viewAge),
      config: table.config,
      versions: this.config.versions,
      upstreams: [...this.members.all()].map(({ record }) => record),
      departures: this.members.departures,
      entries: this.peers.entries,
      holders: this.peers.holders,
      heldRequests: this._options.heldRequests()
    }
  }

  private _createMirror (): StoreMirror {
    const { store, clock, log, client, applyWithin } = this._options
    const follower = new StoreFollower({
      clock,
      log,
      role: () => this._role,
      peer: node => this.peers.entry(node),
      poll: (peer, after, wait) => client.changes(peer, after, wait),
      bound: () => this._mirror.maxServedInterval
    })
    return new StoreMirror({
      store,
      clock,
      log,
      role: () => this._role,
      follow: after => follower.changes(after),
      applyWithin,
      viewAge: this._viewAge,
      isBehind: () => this._isBehind
    }, {
      reset: items => this._reset(items),
      changed: event => this._changed(event),
      lost: () => this.members.storeLost(),
      regained: () => this.members.storeRegained()
    })
  }

  /**
   * Lists the upstreams, by a call that is sent after this one: whatever served a caller before the call is listed, or was
   * known here.
   *
   * @returns undefined when the store does not answer
   */
  listUpstreams (): Promise<readonly UpstreamRecord[] | undefined> {
    if (this._upstreamsRead === undefined) {
      this._upstreamsRead = this._readUpstreams().finally(() => { this._upstreamsRead = undefined })
      return this._upstreamsRead
    }
    this._upstreamsNext ??= this._upstreamsRead.then(() => {
      this._upstreamsNext = undefined
      return this.listUpstreams()
    })
    return this._upstreamsNext
  }

  private async _readUpstreams (): Promise<readonly UpstreamRecord[] | undefined> {
    const { store, platform } = this._options
    const listing = await store.list(platform.layout.upstreams)
    return listing.isErr() ? undefined : listing.value.items.flatMap(item => this._decodeUpstream(item))
  }

  private _reset (items: readonly StoreItem[]): void {
    const { operators, upstreams } = this._options.platform.layout
    const positions = new Map(items.map(({ key, revision }) => [key, revision]))
    const under = (prefix: string): readonly StoreItem[] => items.filter(({ key }) => key.startsWith(prefix))
    const isReturn = this._isReturnOpen
    if (isReturn) this._returned(items)
    this.config.reset(under(operators))
    const leftOut = this.members.reset(under(upstreams).flatMap(item => this._decodeUpstream(item)), {
      isContinuous: !isReturn && this.viewAge < unseenChangeAge,
      isFromCopy: id => (positions.get(`${upstreams}${id}`) ?? Infinity) <= this._copyUpTo
    })
    for (const { key } of under(quarantinePrefix)) this._listener.quarantinedInStore(key)
    for (const { key, value } of under(originsPrefix)) this._listener.originsInStore(key, value)
    this.peers.reset(under(systemKeyPrefix).filter(({ key }) => !key.startsWith(quarantinePrefix) && !key.startsWith(originsPrefix)))
    if (isReturn) this._askPeers()
    if (isReturn && leftOut > 0) this._options.clock.after(copySettles, () => this._acceptCopy())
  }

  private _changed (event: StoreEvent): void {
    const { operators, upstreams } = this._options.platform.layout
    const key = event.kind === 'put' ? event.item.key : event.key
    if (key.startsWith(operators)) this.config.apply(event)
    else if (key.startsWith(upstreams)) this._applyUpstreamChange(event)
    else if (key.startsWith(quarantinePrefix)) this._applyQuarantineChange(event)
    else if (key.startsWith(originsPrefix)) this._applyOriginsChange(event)
    else if (key.startsWith(systemKeyPrefix)) this.peers.apply(event)
  }

  /**
   * Handles a change of a quarantine key. Its removal does not release the request, since leases can end early during
   * an outage of the store. Each entry ends the quarantine by its own clock.
   */
  private _applyQuarantineChange (event: StoreEvent): void {
    if (event.kind === 'put') this._listener.quarantinedInStore(event.item.key)
  }

  /** Handles a change of origins. An entry removes a key when no caller needs it any more, and keys end with their leases. */
  private _applyOriginsChange (event: StoreEvent): void {
    if (event.kind === 'put') this._listener.originsInStore(event.item.key, event.item.value)
  }

  private _applyUpstreamChange (event: StoreEvent): void {
    if (event.kind === 'put') {
      for (const record of this._decodeUpstream(event.item)) this.members.put(record)
    } else {
      this.members.remove(event.key.slice(this._options.platform.layout.upstreams.length))
    }
    this._listener.changed()
  }

  private _decodeUpstream ({ key, value, revision }: StoreItem): readonly UpstreamRecord[] {
    const { decodeUpstream, layout } = this._options.platform
    const decoded = decodeUpstream(key, value)
    if (decoded.isOk()) return [decoded.value]
    this.members.unreadable(key.slice(layout.upstreams.length), revision, decoded.error.message)
    return []
  }

  /** Applies a peer's state when this entry has none yet. */
  private _applyState (state: PeerState, asked: Instant): void {
    this._applyConfig(state, asked)
    this.members.reset(state.upstreams, { isContinuous: false })
    this.peers.follow(state.entries, state.holders)
  }

  /** Applies the state of a peer that the store answers, while it does not answer this entry. */
  private _follow (state: PeerState, asked: Instant): void {
    this._applyConfig(state, asked)
    this.members.follow(state.upstreams)
    this.peers.follow(state.entries, state.holders)
    this._mirror.scheduleRelist()
  }

  private _applyConfig ({ config, versions, heldRequests, viewAge }: PeerState, asked: Instant): void {
    this._listener.quarantinedByPeer(heldRequests ?? [])
    // A configuration from an entry of a version without support for keys does not define who may send requests. If it
    // were applied, anyone would be admitted.
    if (config.access !== undefined) {
      this.config.applyIfNewer(config)
      this._viewAge.recordAnswer(asked, viewAge ?? Infinity, this._instant)
    }
    for (const version of versions) this.config.declare(version)
  }
}

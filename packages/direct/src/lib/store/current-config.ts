/**
 * The configuration in force and the declared versions of adapters.
 */
import type { Log } from '@hazelford/core'
import { RouteTable } from '@hazelford/decisions'
import type { AdapterVersion, RouteConfig, StoreEvent, StoreItem } from '@hazelford/ports'
import type { PlatformPort } from '../platform-port.js'

/** Receives configurations and adapter versions as they come into force. */
export interface ConfigListener {
  readonly configured: (table: RouteTable) => void
  readonly declared: (version: AdapterVersion) => void
}

function versionKey (model: string, adapter: string): string { return `${model}/${adapter}` }

/** Applies what operators write to the store; never goes back to an older version. */
export class CurrentConfig {
  private _table: RouteTable | undefined
  /** Version of the configuration that the store held last. */
  private _storeVersion = 0
  private readonly _declared = new Map<string, AdapterVersion>()

  constructor (private readonly _platform: PlatformPort, private readonly _log: Log, private readonly _listener: ConfigListener) {}

  /** The configuration in force, if any is known. */
  get table (): RouteTable | undefined { return this._table }

  /** Declared versions, for a peer that starts during an outage of the store. */
  get versions (): readonly AdapterVersion[] { return [...this._declared.values()] }

  /** Declared version of an adapter. */
  versionOf (model: string, adapter: string): number | undefined { return this._declared.get(versionKey(model, adapter))?.version }

  /** Whether the store holds an older configuration than the one in force, as after its return from a copy. */
  get isStoreBehind (): boolean { return this._storeVersion < (this._table?.version ?? 0) }

  reset (items: readonly StoreItem[]): void {
    this._storeVersion = 0
    for (const item of items) this._apply(item)
  }

  apply (event: StoreEvent): void {
    // The removal of a key from the store revokes nothing: the configuration or version in force stays.
    if (event.kind === 'put') this._apply(event.item)
  }

  private _apply ({ key, value, revision }: StoreItem): void {
    if (this._platform.isConfigKey(key)) this._applyConfig(value, revision)
    else if (this._platform.isVersionKey(key)) this._applyVersion(key, value)
  }

  private _applyConfig (value: string, revision: number): void {
    const decoded = this._platform.decodeConfig(value)
    if (decoded.isErr()) {
      // Its version is not known; the last one stays in force, as current as the store's answer.
      this._storeVersion = this._table?.version ?? 0
      this._log.warn('config', 'configuration can not be read, the last one stays in force.', { revision, problem: decoded.error.message, inForce: this._table?.version })
      return
    }
    this._storeVersion = decoded.value.version
    this.applyIfNewer(decoded.value)
  }

  /**
   * Puts a configuration in force unless a newer one is.
   *
   * A read that is answered late, or a peer that lags, may bring an older version after a newer one. Requests would
   * then be routed by rules that operators have replaced.
   */
  applyIfNewer (config: RouteConfig): void {
    if (this._table !== undefined && config.version <= this._table.version) return
    const before = this._table?.version
    this._table = new RouteTable(config)
    this._log.info('config', 'in force.', { version: config.version, before, routes: config.routes.length, services: config.services.length })
    this._listener.configured(this._table)
  }

  private _applyVersion (key: string, value: string): void {
    const decoded = this._platform.decodeVersion(value)
    if (decoded.isErr()) {
      this._log.warn('config', 'adapter version can not be read.', { key, problem: decoded.error.message })
      return
    }
    this.declare(decoded.value)
  }

  /** Applies a declared version unless a newer one is known. */
  declare (declared: AdapterVersion): void {
    const { model, adapter, version } = declared
    const key = versionKey(model, adapter)
    if (version <= (this._declared.get(key)?.version ?? 0)) return
    this._declared.set(key, declared)
    this._log.info('config', 'adapter version declared.', { model, adapter, version })
    this._listener.declared(declared)
  }
}

/**
 * What the adapter of a platform gives to an entry.
 */
import type { Ms } from '@hazelford/core'
import type { AdapterVersion, CallCodec, EngineControl, RouteConfig, Store, UpstreamNotice, UpstreamRecord } from '@hazelford/ports'
import type { Result } from 'neverthrow'

/** Where the platform keeps what in the store. */
export interface StoreLayout {
  /** Prefix of what operators write. */
  readonly operators: string
  /** Key of the configuration. */
  readonly config: string
  /** Prefix of the upstreams' records. */
  readonly upstreams: string
}

/** A value of the store that can't be read, and why. */
export interface DecodeProblem { readonly message: string }

/** Translates between a platform and the product. Holds no state and no decision. */
export interface PlatformPort {
  readonly store: Store
  readonly codec: CallCodec
  readonly layout: StoreLayout
  readonly readinessPath: string
  readonly isConfigKey: (key: string) => boolean
  readonly isVersionKey: (key: string) => boolean
  readonly decodeConfig: (value: string) => Result<RouteConfig, DecodeProblem>
  readonly decodeVersion: (value: string) => Result<AdapterVersion, DecodeProblem>
  readonly decodeUpstream: (key: string, value: string) => Result<UpstreamRecord, DecodeProblem>
  /** `noticed` hears what answers to orders say of the upstream, and how many ms they took. */
  readonly control: (upstream: UpstreamRecord, noticed: (notice: UpstreamNotice, took: Ms) => void) => EngineControl
}

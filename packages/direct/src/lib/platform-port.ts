/**
 * The port through which a platform's adapter connects it to an entry.
 */
import type { Ms } from '@hazelford/core'
import type { AdapterVersion, CallCodec, EngineControl, RouteConfig, Store, UpstreamNotice, UpstreamRecord } from '@hazelford/ports'
import type { Result } from 'neverthrow'

/** Keys and prefixes of the platform in the store. */
export interface StoreLayout {
  /** Prefix of the keys that operators write. */
  readonly operators: string
  /** Key of the configuration. */
  readonly config: string
  /** Prefix of the upstreams' records. */
  readonly upstreams: string
}

/** A value of the store that can't be read, and why. */
export interface DecodeProblem { readonly message: string }

/** Translates between a platform and hazelford. Holds no state and takes no decisions. */
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
  /** `noticed` is called with the upstream's notices in answers to orders, and with the ms that each answer took. */
  readonly control: (upstream: UpstreamRecord, noticed: (notice: UpstreamNotice, took: Ms) => void) => EngineControl
}

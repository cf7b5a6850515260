/**
 * Which software versions can have served a service lately.
 */
import type { Ms } from '@hazelford/core'

/** Versions of one service: the upstreams that are listed with each, and since when there is none. */
type ServiceVersions = Map<string, { readonly upstreams: Set<string>, goneAt: Ms }>

/** Stands for the version of an upstream whose record names none. */
const unnamed = ''

/** Software versions of upstreams as one entry has seen them listed. */
export class SoftwareHistory {
  private readonly _services = new Map<string, ServiceVersions>()
  private _knownSince: Ms = Infinity

  /** Records that the list is complete; `isContinuous`: whether nothing can have been listed and removed again unseen since the last one. */
  recordList (now: Ms, isContinuous: boolean): void { if (!isContinuous || this._knownSince === Infinity) this._knownSince = now }

  /** Records an upstream that is listed. */
  recordListed (service: string, upstream: string, software: string | undefined): void {
    const versions = this._services.get(service) ?? new Map()
    this._services.set(service, versions)
    const version = versions.get(software ?? unnamed) ?? { upstreams: new Set(), goneAt: Infinity }
    versions.set(software ?? unnamed, version)
    version.upstreams.add(upstream)
  }

  /** Records an upstream that is listed no more. */
  recordRemoved (service: string, upstream: string, software: string | undefined, now: Ms): void {
    const version = this._services.get(service)?.get(software ?? unnamed)
    if (version === undefined) return
    version.upstreams.delete(upstream)
    if (version.upstreams.size === 0) version.goneAt = now
  }

  /**
   * The one version that can have served a service since a time.
   *
   * @returns undefined when there may have been several, or the list was not known for all that time
   */
  onlyVersion (service: string, since: Ms): string | undefined {
    if (this._knownSince > since) return undefined
    const versions = this._versions(service, since)
    const only = versions.length === 1 ? versions[0] : undefined
    return only === unnamed ? undefined : only
  }

  /** Whether several versions are known to have served a service since a time. */
  hasSeveral (service: string, since: Ms): boolean { return this._versions(service, since).length > 1 }

  private _versions (service: string, since: Ms): readonly string[] {
    return [...this._services.get(service) ?? []].filter(([, { upstreams, goneAt }]) => upstreams.size > 0 || goneAt >= since).map(([version]) => version)
  }
}

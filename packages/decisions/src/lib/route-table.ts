/**
 * Finds the route of a request.
 */
import type { KeyDigest } from '@hazelford/core'
import type { Organisation, Route, RouteConfig, ServiceSpec } from '@hazelford/ports'
import { rendezvousWeight } from './rendezvous.js'

/** The host without its port, in lower case. */
function plainHost (host: string): string {
  const colon = host.lastIndexOf(':')
  return (colon > 0 && /^\d+$/.test(host.slice(colon + 1)) ? host.slice(0, colon) : host).toLowerCase()
}

const hashRange = 2 ** 32

/** One configuration, prepared for look-ups. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>()
  private readonly _services = new Map<string, ServiceSpec>()
  private readonly _byKey = new Map<KeyDigest, Organisation>()

  constructor (readonly config: RouteConfig) {
    for (const route of config.routes) {
      const host = route.host.toLowerCase()
      const routes = this._byHost.get(host)
      if (routes === undefined) this._byHost.set(host, [route])
      else routes.push(route)
    }
    // The longest prefix takes precedence, so the first match in this sequence is the route.
    for (const routes of this._byHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const service of config.services) this._services.set(service.name, service)
    for (const organisation of this.organisations) for (const key of organisation.keys) this._byKey.set(key, organisation)
  }

  get version (): number { return this.config.version }

  /**
   * Finds a route.
   *
   * @param host - as the caller sent it
   * @param target - path, with its query if it has one
   */
  match (host: string, target: string): Route | undefined {
    const query = target.indexOf('?')
    const path = query < 0 ? target : target.slice(0, query)
    return this._byHost.get(plainHost(host))?.find(route => path.startsWith(route.pathPrefix))
  }

  service (name: string): ServiceSpec | undefined { return this._services.get(name) }

  /** Organisations whose keys give access; empty when any caller may send requests. */
  get organisations (): readonly Organisation[] {
    const { access } = this.config
    return access.kind === 'by-key' ? access.organisations : []
  }

  /** The organisation to which a key belongs. */
  organisationOf (key: KeyDigest): Organisation | undefined { return this._byKey.get(key) }
}

/**
 * Chooses the service of a route that splits its traffic.
 *
 * @param route - route with its weights
 * @param requestId - requests of the same id go to the same service
 */
export function pickService (route: Route, requestId: string): string | undefined {
  if (route.targets.length <= 1) return route.targets[0]?.service
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let point = rendezvousWeight(requestId, route.name) / hashRange * total
  for (const target of route.targets) {
    point -= target.weight
    if (point < 0) return target.service
  }
  return route.targets.at(-1)?.service
}

/**
 * Since when each route leads to its service.
 */
import type { Ms } from '@hazelford/core'
import type { Route, RouteConfig } from '@hazelford/ports'

function keyOf ({ host, pathPrefix }: Route): string { return `${host} ${pathPrefix}` }

/** Services of the routes over the configurations that this process has had in force. */
export class RouteTargets {
  private _routes = new Map<string, { readonly services: string, readonly since: Ms }>()

  /** Applies a configuration that comes into force. */
  update ({ routes }: RouteConfig, now: Ms): void {
    const before = this._routes
    this._routes = new Map(routes.map(route => {
      const services = route.targets.map(({ service }) => service).join()
      const known = before.get(keyOf(route))
      return [keyOf(route), known?.services === services ? known : { services, since: now }]
    }))
  }

  /** The one service to which a route has led since a time; undefined when there may have been several. */
  onlyService (route: Route, since: Ms): string | undefined {
    const known = this._routes.get(keyOf(route))
    return known !== undefined && known.since <= since && route.targets.length === 1 ? route.targets[0]!.service : undefined
  }
}

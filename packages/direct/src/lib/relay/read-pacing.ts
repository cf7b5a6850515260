/**
 * Measures how long plain requests take, so that a read that is overdue can be sent to a second upstream.
 */
import type { Ms } from '@hazelford/core'
import { evictOldest, isLinkSuspect, type OverdueTime, overdueTime, ServiceTimes } from '@hazelford/decisions'

/** Routes and services whose service times are kept. */
const maxMeasured = 500

/** A route's read that may be overdue. */
export interface ReadQuery {
  readonly route: string
  readonly service: string
  /** Latency target of the route in ms. */
  readonly target: Ms
  /** Ms from its arrival to its send. */
  readonly waited: Ms
}

/** Service times of plain requests, and the upstreams at which reads of this entry are overdue now. */
export class ReadPacing {
  private readonly _times = new Map<string, ServiceTimes>()
  /** Overdue reads by service and upstream. */
  private readonly _overdue = new Map<string, Map<string, number>>()

  /** @param _upstreams - number of upstreams that serve a service */
  constructor (private readonly _upstreams: (service: string) => number) {}

  /** Records a request that its upstream has answered after `serviceTime` ms. */
  record (route: string, service: string, serviceTime: Ms): void {
    for (const key of [`route ${route}`, `service ${service}`]) {
      const times = this._times.get(key) ?? new ServiceTimes()
      times.add(serviceTime)
      this._times.delete(key)
      this._times.set(key, times)
    }
    evictOldest(this._times, maxMeasured)
  }

  /** When a read is overdue; those of a route with few measurements are judged by all plain requests of the service. */
  overdueTime ({ route, service, target, waited }: ReadQuery): OverdueTime | undefined {
    const ofRoute = this._times.get(`route ${route}`)
    const times = ofRoute?.isKnown === true ? ofRoute : this._times.get(`service ${service}`)
    return times && overdueTime(target, waited, times)
  }

  /**
   * Records that a read is overdue at an upstream.
   *
   * @returns a function that records its end there
   */
  recordOverdue (service: string, upstream: string): () => void {
    const counts = this._overdue.get(service) ?? new Map<string, number>()
    this._overdue.set(service, counts)
    counts.set(upstream, (counts.get(upstream) ?? 0) + 1)
    return () => {
      const left = counts.get(upstream)! - 1
      if (left > 0) counts.set(upstream, left)
      else counts.delete(upstream)
    }
  }

  /** Upstreams at which reads are overdue. */
  silentUpstreams (service: string): ReadonlySet<string> { return new Set(this._overdue.get(service)?.keys()) }

  /** Whether so many upstreams are silent that this entry's link is the probable cause. */
  isLinkSuspect (service: string): boolean { return isLinkSuspect(this._overdue.get(service)?.size ?? 0, this._upstreams(service)) }
}

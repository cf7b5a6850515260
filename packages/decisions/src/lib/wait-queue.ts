/**
 * Requests that wait for a batch slot or for an adapter.
 */
import { type AdapterKey, classRank, type Ms, type TrafficClass } from '@hazelford/core'

/** A request as the plan sees it. */
export interface PlanRequest {
  readonly id: string
  /** Undefined for a plain service. */
  readonly adapter?: AdapterKey
  readonly trafficClass: TrafficClass
  readonly arrivedAt: Ms
  /** Latest start that is still of use to the caller. */
  readonly deadlineAt: Ms
}

/**
 * Compares two waiting requests by traffic class, then by age.
 *
 * @returns negative when `a` goes first
 */
export function compareUrgency (a: PlanRequest, b: PlanRequest): number {
  return classRank(a.trafficClass) - classRank(b.trafficClass) || compareAge(a, b)
}

/**
 * Compares two waiting requests by age alone.
 *
 * @returns negative when `a` arrived first
 */
export function compareAge (a: PlanRequest, b: PlanRequest): number {
  return a.arrivedAt - b.arrivedAt
}

/** Key of the group of requests without an adapter. */
const noAdapter = ''

/** Waiting requests, grouped by adapter in order of arrival. */
export class WaitQueue {
  private readonly _groups = new Map<AdapterKey, PlanRequest[]>()
  private readonly _byId = new Map<string, PlanRequest>()

  get size (): number { return this._byId.size }

  add (request: PlanRequest): void {
    const key = request.adapter ?? noAdapter
    const group = this._groups.get(key)
    if (group === undefined) this._groups.set(key, [request])
    else group.push(request)
    this._byId.set(request.id, request)
  }

  remove (id: string): PlanRequest | undefined {
    const request = this._byId.get(id)
    if (request === undefined) return undefined
    this._byId.delete(id)
    const key = request.adapter ?? noAdapter
    const remaining = this._groups.get(key)!.filter(other => other.id !== id)
    if (remaining.length === 0) this._groups.delete(key)
    else this._groups.set(key, remaining)
    return request
  }

  all (): readonly PlanRequest[] { return [...this._byId.values()] }

  of (adapter: AdapterKey): readonly PlanRequest[] { return this._groups.get(adapter) ?? [] }

  adapters (): readonly AdapterKey[] {
    return [...this._groups.keys()].filter(key => key !== noAdapter)
  }

  /**
   * First request, in a given order, whose adapter passes a test.
   *
   * @param compare - negative when its first argument goes first
   * @param passes - called once per group: whether its adapter can run
   */
  first (compare: (a: PlanRequest, b: PlanRequest) => number, passes: (adapter: AdapterKey | undefined) => boolean): PlanRequest | undefined {
    let best: PlanRequest | undefined
    for (const [key, group] of this._groups) {
      if (!passes(key === noAdapter ? undefined : key)) continue
      for (const request of group) {
        if (best === undefined || compare(request, best) < 0) best = request
      }
    }
    return best
  }

  /** The least urgent and youngest request, which is refused first under overload. */
  last (): PlanRequest | undefined {
    let worst: PlanRequest | undefined
    for (const request of this._byId.values()) {
      if (worst === undefined || compareUrgency(request, worst) > 0) worst = request
    }
    return worst
  }
}

/**
 * Decides when a read that has no answer yet is sent to a second upstream.
 */
import type { Ms } from '@hazelford/core'

/** Service times that are kept; about a minute of one route's reads at one of thirty entries. */
const kept = 64
/** Service times from which quantiles are used. */
const minSamples = 20
/** An upstream that has taken longer than this share of all requests is unusually slow; so at most a tenth is sent twice. */
const usualShare = 0.9
/** Share of the requests that a second upstream answers within the time left for it. */
const typicalShare = 0.75
/** Share of the requests that have to be answered in the time left, or the second upstream would only be burdened. */
const leastShare = 0.25

/** Ms that a route's or a service's last requests spent at their upstreams. */
export class ServiceTimes {
  private readonly _samples: Ms[] = []
  private _next = 0

  /** Records a request that its upstream has answered. */
  add (sample: Ms): void {
    this._samples[this._next] = sample
    this._next = (this._next + 1) % kept
  }

  get isKnown (): boolean { return this._samples.length >= minSamples }

  /** Time within which a share (0 to 1) of the requests was answered, for each of some shares. */
  quantiles (shares: readonly number[]): readonly Ms[] {
    const sorted = [...this._samples].sort((a, b) => a - b)
    return shares.map(share => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0)
  }
}

/** When a read is overdue at its upstream. */
export interface OverdueTime {
  /** Ms after its send. */
  readonly after: Ms
  /** Ms within which a second upstream probably answers. */
  readonly typical: Ms
}

/**
 * Decides when a read that was sent to an upstream is overdue there.
 *
 * Serves plain services whose servers are slow for moments, or have queues that no entry can see. The read stays at its
 * first upstream, and the first answer is used: a read that was withdrawn there would lose its place in the queue, and
 * more of them would be late than without a second upstream.
 *
 * @param target - ms from the request's arrival within which its caller wants the answer
 * @param waited - ms from its arrival to its send
 * @param times - service times measured lately
 * @returns undefined while too little was measured, or when a second upstream would hardly answer in time
 */
export function overdueTime (target: Ms, waited: Ms, times: ServiceTimes): OverdueTime | undefined {
  if (!times.isKnown) return undefined
  const [least, typical, usual] = times.quantiles([leastShare, typicalShare, usualShare]) as [Ms, Ms, Ms]
  const left = target - waited
  const after = Math.max(usual, left - typical)
  return after + least > left ? undefined : { after, typical }
}

/**
 * Whether an entry's own link is the probable cause when reads are overdue at several upstreams at once. Requests sent
 * again would burden that link further, and none of them would be answered sooner.
 *
 * @param silent - number of upstreams at which reads are overdue
 * @param upstreams - number of upstreams of the service
 */
export function isLinkSuspect (silent: number, upstreams: number): boolean { return silent > 1 && silent * 2 > upstreams }

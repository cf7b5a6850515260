/**
 * Plays the load of several organisations at engines that read one prompt after the other, in virtual time.
 */
import type { Ms } from '@hazelford/core'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { FairShares, type SharedRequest } from '../../lib/fair-shares.js'

/** A simulated request. */
export interface SimRequest extends SharedRequest {
  readonly organisation: string
  readonly at: Ms
  readonly tokens: number
  readonly engine: number
  readonly until: Ms
}

/** Offered load of one organisation. */
export interface OrganisationLoad {
  readonly name: string
  readonly urgency: number
  /** Requests per second, over all engines. */
  readonly rate: number
  /** Engines among which its requests are spread; all by default. */
  readonly engines?: readonly number[]
  /** From when on, and until when, it sends. */
  readonly from?: Ms
  readonly to?: Ms
  /** Whether a request that was not served is repeated. */
  readonly repeats?: boolean
}

/** Chooses the next request of an engine's queue. */
export interface Scheduler {
  readonly pick: (waiting: readonly SimRequest[], now: Ms) => SimRequest
  readonly arrived?: (request: SimRequest, now: Ms) => void
}

/** What one organisation offered and received, in prompt tokens, and its longest wait. */
export interface OrganisationResult { offered: number, served: number, inTime: number, requests: number, answered: number, worstWait: Ms }

/** Prompt tokens that a simulated engine reads per ms. */
export const tokensPerMs = 26
const aim: Ms = 800
const patience: Ms = 3_000
const cost = ({ tokens }: SimRequest): number => tokens
const isLate = (now: Ms) => ({ dueAt, tokens }: SimRequest): boolean => now + tokens / tokensPerMs > dueAt
const byAge = (a: SimRequest, b: SimRequest): number => a.dueAt - b.dueAt

/** The order of one organisation's requests while an engine is short: by priority, in time before late, by due time. */
export function urgencyOrder (waiting: readonly SimRequest[], now: Ms): readonly SimRequest[] {
  const late = isLate(now)
  return [...waiting].sort((a, b) => a.urgency - b.urgency || Number(late(a)) - Number(late(b)) || byAge(a, b))
}

export function byUrgency (): Scheduler { return { pick: (waiting, now) => urgencyOrder(waiting, now)[0]! } }

/** The scheduler of the product. Engines with the same `shares` have one ledger. */
export function byShares (shares = new FairShares<SimRequest>()): Scheduler {
  return {
    arrived: (request, now) => shares.recordArrival(request, request.tokens, now),
    pick: (waiting, now) => {
      const [next] = shares.order(urgencyOrder(waiting, now), { now, cost, isLate: isLate(now) })
      const first = next!
      shares.recordServed(first, waiting, { now, cost })
      return first
    }
  }
}

function firsts (waiting: readonly SimRequest[], now: Ms): Map<string, SimRequest> {
  const first = new Map<string, SimRequest>()
  for (const request of urgencyOrder(waiting, now)) if (!first.has(request.organisation)) first.set(request.organisation, request)
  return first
}

/** Start-time fair queueing. */
export function byStartTags (): Scheduler {
  const finish = new Map<string, number>()
  let virtualTime = 0
  const start = ({ organisation }: SimRequest): number => Math.max(virtualTime, finish.get(organisation) ?? 0)
  return {
    pick: (waiting, now) => {
      const next = [...firsts(waiting, now).values()].sort((a, b) => start(a) - start(b) || byAge(a, b))[0]!
      virtualTime = start(next)
      finish.set(next.organisation, virtualTime + next.tokens)
      return next
    }
  }
}

const quantum = 1_000

/** Deficit round robin. */
export function byDeficits (): Scheduler {
  const deficits = new Map<string, number>()
  let turn: string[] = []
  return {
    pick: (waiting, now) => {
      const first = firsts(waiting, now)
      for (const organisation of deficits.keys()) if (!first.has(organisation)) deficits.delete(organisation)
      turn = [...turn.filter(each => first.has(each)), ...[...first.keys()].filter(each => !turn.includes(each))]
      for (;;) {
        const organisation = turn[0]!
        const left = (deficits.get(organisation) ?? 0) - first.get(organisation)!.tokens
        if (left >= 0) {
          deficits.set(organisation, left)
          return first.get(organisation)!
        }
        deficits.set(organisation, (deficits.get(organisation) ?? 0) + quantum)
        turn.push(turn.shift()!)
      }
    }
  }
}

function arrivals (loads: readonly OrganisationLoad[], engines: number, length: Ms, random: () => number): SimRequest[] {
  const list: SimRequest[] = []
  for (const { name, urgency, rate, engines: own, from = 0, to = length } of loads) {
    const pause = (): number => -Math.log(1 - random()) * 1_000 / rate
    for (let at = from + pause(); at < to; at += pause()) {
      const size = Math.exp((random() + random() + random() - 1.5) * 1.6)
      const engine = own === undefined ? Math.floor(random() * engines) : own[Math.floor(random() * own.length)]!
      list.push({ organisation: name, urgency, at, tokens: Math.round(900 * size), engine, dueAt: at + aim, until: at + patience })
    }
  }
  return list.sort((a, b) => a.at - b.at)
}

/**
 * Plays a load.
 *
 * @param schedulers - one for each engine
 * @returns what each organisation received
 */
export function playShares (loads: readonly OrganisationLoad[], schedulers: readonly Scheduler[], length: Ms, seed = 1): ReadonlyMap<string, OrganisationResult> {
  const rng = xoroshiro128plus(seed)
  const pending = arrivals(loads, schedulers.length, length, () => uniformFloat64(rng))
  const repeating = new Set(loads.filter(({ repeats }) => repeats).map(({ name }) => name))
  const results = new Map(loads.map(({ name }): [string, OrganisationResult] => [name, { offered: 0, served: 0, inTime: 0, requests: 0, answered: 0, worstWait: 0 }]))
  const queues: SimRequest[][] = schedulers.map(() => [])
  const freeAt = schedulers.map(() => 0)
  for (let now = 0, next = 0; now < length; now += 5) {
    for (; next < pending.length && pending[next]!.at <= now; next++) {
      const request = pending[next]!
      queues[request.engine]!.push(request)
      schedulers[request.engine]!.arrived?.(request, now)
      const result = results.get(request.organisation)!
      result.offered += request.tokens
      result.requests++
    }
    schedulers.forEach((scheduler, engine) => {
      for (const gone of queues[engine]!.filter(({ until }) => until <= now)) {
        const result = results.get(gone.organisation)!
        result.worstWait = Math.max(result.worstWait, patience)
        const again = { ...gone, at: now, dueAt: now + aim, until: now + patience }
        if (repeating.has(gone.organisation)) pending.splice(next, 0, again)
      }
      queues[engine] = queues[engine]!.filter(({ until }) => until > now)
      while (freeAt[engine]! <= now && queues[engine]!.length > 0) {
        const request = scheduler.pick(queues[engine]!, now)
        queues[engine] = queues[engine]!.filter(other => other !== request)
        freeAt[engine] = Math.max(now - 5, freeAt[engine]!) + request.tokens / tokensPerMs
        const result = results.get(request.organisation)!
        result.served += request.tokens
        result.answered++
        if (freeAt[engine]! <= request.dueAt) result.inTime++
        result.worstWait = Math.max(result.worstWait, now - request.at)
      }
    })
  }
  return results
}

/** Max-min fair allocation of a capacity over offered loads. */
export function maxMin (offered: ReadonlyMap<string, number>, capacity: number): ReadonlyMap<string, number> {
  const fair = new Map<string, number>()
  let left = capacity
  const sorted = [...offered].sort(([, a], [, b]) => a - b)
  sorted.forEach(([name, load], index) => {
    const granted = Math.min(load, left / (sorted.length - index))
    fair.set(name, granted)
    left -= granted
  })
  return fair
}

/** Least share of its max-min allocation that any organisation received. */
export function leastFairShare (results: ReadonlyMap<string, OrganisationResult>): number {
  const total = [...results.values()].reduce((sum, { served }) => sum + served, 0)
  const fair = maxMin(new Map([...results].map(([name, { offered }]) => [name, offered])), total)
  return Math.min(...[...results].map(([name, { served }]) => served / fair.get(name)!))
}

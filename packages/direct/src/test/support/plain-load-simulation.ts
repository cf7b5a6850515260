/**
 * Simulates bookings and reads of many entries at few plain servers, in virtual time, with the real ranking and the real
 * decision about overdue reads.
 */
import type { Ms } from '@hazelford/core'
import { MovingAverage, type OverdueTime, overdueTime, rankCandidates, ServiceTimes } from '@hazelford/decisions'
import { seededRandom } from './seeded-random.js'

/** What becomes of a read that is overdue. */
export type OverdueRule = 'waits' | 'moves' | 'goes beside'

/** The simulated traffic. */
export interface PlainWorkload {
  readonly seed: number
  /** Requests a second of all entries; a quarter are reads. */
  readonly rate: number
  readonly rule: OverdueRule
  /** Age of an entry's knowledge of the others' requests; undefined for none. */
  readonly viewAge?: Ms
}

/** What callers get. */
export interface PlainResult {
  /** Share of the reads, and of the bookings, that are answered in time. */
  readonly reads: number
  readonly bookings: number
  /** Wait that one read in a hundred exceeds. */
  readonly longRead: Ms
  /** Reads that were sent to a second server, of all requests. */
  readonly sentTwice: number
}

const entries = 30
const servers = 3
const slots = 6
const target: Ms = 388
const length: Ms = 30_000
const meanService: Ms = 86
const sigma = 0.5
const readShare = 0.28
const slow = { share: 0.15, factor: 2.5, lasts: 600 }
const link: Ms = 1

interface Job { readonly work: Ms, readonly server: number, readonly entry: Entry, readonly sentAt: Ms, readonly done: () => void, withdrawn: boolean }
interface Entry { readonly zone: number, readonly own: number[], readonly latency: MovingAverage[], readonly times: ServiceTimes }
interface SimServer { readonly queue: Job[], running: number, readonly isSlow: (at: Ms) => boolean }

class PlainSimulation {
  private readonly _events: { readonly at: Ms, readonly run: () => void }[] = []
  private readonly _entries: readonly Entry[] = Array.from({ length: entries }, (_, n) => ({ zone: n % servers, own: Array<number>(servers).fill(0), latency: Array.from({ length: servers }, () => new MovingAverage(0, 0.1)), times: new ServiceTimes() }))
  private readonly _servers: readonly SimServer[]
  private readonly _views: { readonly at: Ms, readonly open: readonly number[] }[] = []
  private readonly _took = { reads: [] as Ms[], bookings: [] as Ms[] }
  private _now: Ms = 0
  private _sentTwice = 0

  constructor (private readonly _load: PlainWorkload) {
    const random = seededRandom(_load.seed)
    this._servers = Array.from({ length: servers }, () => {
      const moments = Array.from({ length: length / slow.lasts * 2 }, () => random() < slow.share)
      return { queue: [], running: 0, isSlow: (at: Ms) => moments[Math.floor(at / slow.lasts)] === true }
    })
    for (let at = 0; at < length; at -= Math.log(1 - random()) / _load.rate * 1_000) {
      const entry = this._entries[Math.floor(random() * entries)]!
      const isRead = random() < readShare
      const works = [this._work(random), this._work(random)]
      this._at(at, () => this._request(entry, isRead, works))
    }
  }

  private _work (random: () => number): Ms {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    return meanService * Math.exp(sigma * normal - sigma * sigma / 2)
  }

  private _at (at: Ms, run: () => void): void {
    let low = 0
    for (let high = this._events.length; low < high;) {
      const mid = (low + high) >> 1
      if (this._events[mid]!.at > at) low = mid + 1
      else high = mid
    }
    this._events.splice(low, 0, { at, run })
  }

  private _open (server: number): number { return this._entries.reduce((sum, { own }) => sum + own[server]!, 0) }

  /** Requests of all entries at a server, as an entry estimates them. */
  private _estimate (entry: Entry, server: number): number {
    const { viewAge } = this._load
    if (viewAge === undefined) return entry.own[server]! * entries
    const view = this._views.findLast(({ at }) => at <= this._now - viewAge)
    return Math.max(entry.own[server]!, view?.open[server] ?? 0)
  }

  private _pick (entry: Entry, avoid: number | undefined): number {
    const candidates = this._servers.map((_, server) => ({ id: `s${server}`, sameZone: entry.zone === server, running: this._estimate(entry, server), promptBacklog: 0, slots, speed: 1, latency: entry.latency[server]!.measured, failureShare: 0, adapter: 'loaded' as const, rank: 0 }))
    return Number(rankCandidates(candidates.filter((_, server) => server !== avoid), { replicas: 1, serviceTime: meanService, promptTokens: 0 })[0]!.id.slice(1))
  }

  private _request (entry: Entry, isRead: boolean, works: readonly Ms[]): void {
    const since = this._now
    const jobs: Job[] = []
    const send = (server: number): void => {
      const job: Job = {
        work: works[jobs.length]!,
        server,
        entry,
        sentAt: this._now,
        withdrawn: false,
        done: () => {
          (isRead ? this._took.reads : this._took.bookings).push(this._now - since)
          for (const other of jobs) this._withdraw(other)
        }
      }
      jobs.push(job)
      entry.own[server]!++
      this._at(this._now + link, () => this._arrive(job))
    }
    send(this._pick(entry, undefined))
    const due: OverdueTime | undefined = isRead && this._load.rule !== 'waits' ? overdueTime(target, 0, entry.times) : undefined
    if (due === undefined) return
    this._at(this._now + due.after, () => {
      if (jobs[0]!.withdrawn) return
      this._sentTwice++
      if (this._load.rule === 'moves') this._withdraw(jobs[0]!)
      send(this._pick(entry, jobs[0]!.server))
    })
  }

  private _withdraw (job: Job): void {
    if (job.withdrawn) return
    job.withdrawn = true
    job.entry.own[job.server]!--
  }

  private _arrive (job: Job): void {
    const server = this._servers[job.server]!
    if (job.withdrawn) return
    if (server.running < slots) this._start(server, job)
    else server.queue.push(job)
  }

  private _start (server: SimServer, job: Job): void {
    server.running++
    this._at(this._now + job.work * (server.isSlow(this._now) ? slow.factor : 1), () => {
      server.running--
      for (let next = server.queue.shift(); next !== undefined; next = server.queue.shift()) {
        if (next.withdrawn) continue
        this._start(server, next)
        break
      }
      if (!job.withdrawn) this._at(this._now + link, () => this._answer(job))
    })
  }

  private _answer (job: Job): void {
    if (job.withdrawn) return
    const took = this._now - job.sentAt
    job.entry.times.add(took)
    job.entry.latency[job.server]!.add(took)
    job.done()
  }

  run (): PlainResult {
    for (let next = this._events.pop(); next !== undefined; next = this._events.pop()) {
      this._now = next.at
      if (this._load.viewAge !== undefined) this._views.push({ at: this._now, open: this._servers.map((_, server) => this._open(server)) })
      next.run()
    }
    const { reads, bookings } = this._took
    const inTime = (took: readonly Ms[]): number => took.filter(each => each <= target).length / took.length
    return { reads: inTime(reads), bookings: inTime(bookings), longRead: [...reads].sort((a, b) => a - b)[Math.floor(0.99 * reads.length)]!, sentTwice: this._sentTwice / (reads.length + bookings.length) }
  }
}

/** Plays a workload and returns what callers get. */
export function simulatePlainLoad (load: PlainWorkload): PlainResult { return new PlainSimulation(load).run() }

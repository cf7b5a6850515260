/**
 * Simulates engines that terminate while running one request, in virtual time and without a network.
 */
import type { Ms } from '@hazelford/core'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { mayHaveCausedTermination, RequestQuarantine } from '../../lib/request-quarantine.js'

/** Parameters of a simulation. */
export interface TerminationLoad {
  /** Streams open at any time. */
  readonly streams: number
  /** Mean time of a stream in ms. */
  readonly lasts: Ms
  readonly engines: number
  readonly length: Ms
  readonly seed: number
}

/** Result of a simulation. */
export interface TerminationResult {
  /** Number of terminations of engines. */
  readonly ends: number
  /** Number of different requests that were quarantined. */
  readonly held: number
}

/** One stream: its request, its engine, and the times of its start there and of its end. */
interface Stream { readonly request: string, readonly engine: number, readonly since: Ms, readonly until: Ms }

const step: Ms = 50
const repeatInterval: Ms = 400
const restartTime: Ms = 5_000
/** Engines that the request terminates in one attempt of its caller, which an entry retries. */
const attempts = 2
const terminatingRequest = 'ending'

/** The engines, their streams and the quarantine. */
class TerminationSimulation {
  /** Requests that were quarantined. */
  readonly held = new Set<string>()
  ends = 0
  private readonly _rng
  private readonly _quarantine = new RequestQuarantine({ after: 3, holdTime: 600_000 })
  private readonly _backAt: Ms[]
  private readonly _streams: Stream[]
  private _streamCount = 0

  constructor (private readonly _load: TerminationLoad) {
    this._rng = xoroshiro128plus(_load.seed)
    this._backAt = new Array<Ms>(_load.engines).fill(0)
    this._streams = Array.from({ length: _load.streams }, () => this._startStream(0))
  }

  /** Answers the streams that have ended, and starts new ones instead. */
  completeStreams (now: Ms): void {
    for (const [n, { request, until }] of this._streams.entries()) {
      if (until > now) continue
      this._quarantine.recordAnswered(request, now)
      this._streams[n] = this._startStream(now)
    }
  }

  /** The caller sends the request that terminates engines. */
  sendTerminatingRequest (now: Ms): void {
    for (let attempt = 0; attempt < attempts && !this._quarantine.isQuarantined(terminatingRequest, now); attempt++) {
      const up = [...this._backAt.keys()].filter(engine => this._backAt[engine]! <= now)
      if (up.length > 0) this._terminate(up[this._pick(up.length)]!, now)
    }
  }

  /** Terminates an engine; its streams move to others. */
  private _terminate (engine: number, now: Ms): void {
    this.ends++
    this._backAt[engine] = now + restartTime
    this._recordTermination(terminatingRequest, engine, now)
    for (const [n, stream] of this._streams.entries()) {
      if (stream.engine !== engine) continue
      if (mayHaveCausedTermination(now - stream.since)) this._recordTermination(stream.request, engine, now)
      this._streams[n] = { ...stream, engine: this._pick(this._load.engines), since: now }
    }
  }

  private _recordTermination (request: string, engine: number, now: Ms): void {
    if (this._quarantine.recordTermination(request, { upstream: `u${engine}`, at: now }, now) && this._quarantine.quarantine(request, now, this._quarantine.terminatedSince(request))) this.held.add(request)
  }

  private _startStream (now: Ms): Stream {
    const until = now + this._load.lasts * (0.5 + uniformFloat64(this._rng))
    return { request: `stream-${this._streamCount++}`, engine: this._pick(this._load.engines), since: now, until }
  }

  private _pick (below: number): number { return Math.floor(uniformFloat64(this._rng) * below) }
}

/** Runs a simulation. */
export function simulateTerminations (load: TerminationLoad): TerminationResult {
  const simulation = new TerminationSimulation(load)
  for (let now = step; now <= load.length; now += step) {
    simulation.completeStreams(now)
    if (now % repeatInterval === 0) simulation.sendTerminatingRequest(now)
  }
  return { ends: simulation.ends, held: simulation.held.size }
}

/**
 * Speed of one engine relative to the others of its service.
 */
import type { Ms } from '@hazelford/core'
import { type MeasuredPace, PaceWindow, type PaceWindowLimits } from './pace-window.js'

/**
 * Samples of one engine. A slow engine of 30 ends a stream or two in a second, so four samples come within some seconds;
 * one that is too short or two that are too long change nothing.
 */
const engineSamples: PaceWindowLimits = { capacity: 24, ttl: 30_000, least: 4 }
/** Samples of all engines of a service, from one entry. */
const referenceSamples: PaceWindowLimits = { capacity: 48, ttl: 60_000, least: 6 }

/** Streams that an entry may have read late for each one that it has not, if its comparisons are to count. */
const maxLateReads = 1 / 3

/** Factor between two neighbouring speeds. */
const step = 1.25
/** Speeds are limited to 0.21 to 3.81, so that a wrong estimate neither starves an engine nor floods it. */
const slowestStep = -7
const fastestStep = 6
/** An engine whose pace differs from that of the others by at most this factor has speed 1. */
const equalUpTo = 1.15
/** An engine of speed 1 gets another speed when its pace differs by more than this factor. */
const unequalFrom = 1.3
/**
 * Part of a step by which an estimate must differ from a speed other than 1 before it replaces that. Homes of adapters
 * depend on speeds, and each change costs loads.
 */
const changeFrom = 0.9

/** An estimate of the speed, for logs. */
export interface SpeedEstimate {
  readonly speed: number
  readonly before: number
  /** Typical pace of the engine's streams, as a multiple of that of all engines. */
  readonly pace: number
  readonly samples: number
  /** Share by which the pace may be wrong. */
  readonly error: number
}

function windowOf (windows: Map<string, PaceWindow>, service: string): PaceWindow {
  const window = windows.get(service) ?? new PaceWindow(referenceSamples)
  windows.set(service, window)
  return window
}

/**
 * Compares the pace of each stream with that of all streams of its service which the same entry has relayed lately. So
 * what delays an entry's streams, whichever engine sends them, does not count.
 */
export class RelativePaces {
  private readonly _services = new Map<string, PaceWindow>()
  private readonly _lateReads = new Map<string, PaceWindow>()

  /**
   * Records a stream of a service.
   *
   * @param pace - its pace
   * @returns its pace as a multiple of the typical one; undefined while too few are known, or too many were read late
   */
  record (service: string, pace: MeasuredPace, now: Ms): number | undefined {
    const paces = windowOf(this._services, service)
    const lateReads = windowOf(this._lateReads, service)
    if (pace === 'read-late') {
      lateReads.add(0, now)
      return undefined
    }
    paces.add(pace, now)
    const reference = paces.typical(now)
    // Events of slow engines are seldom read together, so the remaining streams are not typical ones.
    const isBusy = lateReads.count(now) > paces.count(now) * maxLateReads
    return reference === undefined || isBusy ? undefined : pace / reference
  }
}

/** Speed at a number of steps. */
function speedAt (steps: number): number { return round(step ** steps, 2) }

function round (value: number, digits: number): number { return Math.round(value * 10 ** digits) / 10 ** digits }

/**
 * Reads a speed that another entry has sent.
 *
 * @param value - as decoded
 * @returns the speed within its limits; undefined when the value is none
 */
export function readSpeed (value: unknown): number | undefined {
  return typeof value === 'number' && value > 0 ? Math.min(speedAt(fastestStep), Math.max(speedAt(slowestStep), value)) : undefined
}

/** Number of steps, not rounded, of a ratio. */
function stepsOf (ratio: number): number { return Math.log(ratio) / Math.log(step) }

const equalSteps = stepsOf(equalUpTo)
const unequalSteps = stepsOf(unequalFrom)

/**
 * Estimates the speed of one engine.
 *
 * Serves engines of which some take a multiple of the time for everything, and which all are slow for moments of half a
 * second. Moments change nothing: a stream lasts longer, and its pace is that of its other events. An engine
 * that gets few requests keeps its last speed.
 */
export class EngineSpeed {
  private readonly _window = new PaceWindow(engineSamples)
  private _steps: number
  private _measuredAt: Ms | undefined

  /** @param _initial - last known speed; undefined when none is known */
  constructor (private readonly _initial?: number) {
    this._steps = _initial === undefined ? 0 : limitSteps(Math.round(stepsOf(_initial)))
  }

  /** The speed, where 1 is that of the others. */
  get speed (): number { return speedAt(this._steps) }

  /** The speed; undefined as long as it is neither measured nor known from before. */
  get known (): number | undefined { return this._measuredAt === undefined && this._initial === undefined ? undefined : this.speed }

  /** Ms since the last estimate; undefined without one. */
  age (now: Ms): Ms | undefined { return this._measuredAt === undefined ? undefined : now - this._measuredAt }

  /**
   * Records streams.
   *
   * @param paces - pace of each, as a multiple of that of all engines
   * @param now - time
   * @returns the estimate, if it changes the speed
   */
  record (paces: readonly number[], now: Ms): SpeedEstimate | undefined {
    if (paces.length === 0) return undefined
    for (const pace of paces) this._window.add(pace, now)
    const pace = this._window.typical(now)
    if (pace === undefined) return undefined
    this._measuredAt = now
    const before = this.speed
    this._steps = this._nextSteps(-stepsOf(pace))
    return this.speed === before ? undefined : { speed: this.speed, before, pace: round(pace, 2), samples: this._window.count(now), error: round(this._window.error, 3) }
  }

  private _nextSteps (measured: number): number {
    if (Math.abs(measured) <= (this._steps === 0 ? unequalSteps : equalSteps)) return 0
    return Math.abs(measured - this._steps) < changeFrom ? this._steps : limitSteps(Math.round(measured))
  }
}

function limitSteps (steps: number): number { return Math.min(fastestStep, Math.max(slowestStep, steps)) }

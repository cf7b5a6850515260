/**
 * Typical time between two events of streams, from samples of which some are wrong.
 */
import type { Ms } from '@hazelford/core'

/**
 * Share of a stream's times between events that are shorter than its pace. Prompts that are read between two events and
 * moments in which a server is slow only lengthen the time. On an engine that reads prompts for half of the time, three
 * events in ten follow the one before without a prompt between them.
 */
const undisturbedShare = 0.15
/** Share of the paces of several streams that are shorter than the typical one, for the same reason. */
const typicalShare = 1 / 3
/**
 * Share of the times that may be shorter than most of the pace. An engine sends no event sooner than its steps take; where
 * events come sooner, their entry has read them late and together.
 */
const lateReadShare = 0.05
const mostOfPace = 0.75
/** Number of times between events that are kept of one stream, the latest ones. */
const gapsPerStream = 64
/** Shortest pace that counts: events that come faster were sent, or read, together. */
const shortestPace: Ms = 1
/** Least number of times between events from which a pace is taken. */
const minGaps = 7

/** The sample below which a share of all samples lies. */
function quantile (samples: readonly number[], share: number): number {
  return [...samples].sort((a, b) => a - b)[Math.floor(samples.length * share)]!
}

/** Pace of a stream in ms; `read-late`: its entry was too busy to read the events as they came. */
export type MeasuredPace = Ms | 'read-late'

/** Measures the pace of one stream: the ms between two of its events while its engine does nothing else. */
export class StreamPace {
  private readonly _gaps: Ms[] = []
  private _count = 0
  private _isDisturbed = false

  /** Records the ms between two events. */
  record (gap: Ms): void { this._gaps[this._count++ % gapsPerStream] = gap }

  /** Records that something other than its engine has delayed the stream, so that it has no pace. */
  disturb (): void { this._isDisturbed = true }

  /** The pace in ms; undefined for a stream with too few events, and for one that was disturbed. */
  get pace (): MeasuredPace | undefined {
    if (this._isDisturbed || this._gaps.length < minGaps) return undefined
    const pace = quantile(this._gaps, undisturbedShare)
    return pace >= shortestPace && quantile(this._gaps, lateReadShare) >= pace * mostOfPace ? pace : 'read-late'
  }
}

/** Limits of a {@link PaceWindow}. */
export interface PaceWindowLimits {
  /** Number of samples that are kept, the latest ones. */
  readonly capacity: number
  /** Age at which a sample is dropped. */
  readonly ttl: Ms
  /** Least number of samples from which a typical pace is taken. */
  readonly least: number
}

/** Typical pace of the streams that ended lately, in the unit of its samples. */
export class PaceWindow {
  private _samples: { readonly pace: number, readonly at: Ms }[] = []

  constructor (private readonly _limits: PaceWindowLimits) {}

  add (pace: number, now: Ms): void {
    if (this._samples.length >= this._limits.capacity) this._samples.shift()
    this._samples.push({ pace, at: now })
  }

  /** Number of samples that count. */
  count (now: Ms): number {
    this._dropOld(now)
    return this._samples.length
  }

  /** The typical pace; undefined with too few samples. */
  typical (now: Ms): number | undefined {
    return this.count(now) < this._limits.least ? undefined : quantile(this._paces, typicalShare)
  }

  /** Half the range of the third of the samples around the typical one, as a share of the typical pace. */
  get error (): number {
    const paces = this._paces
    return (quantile(paces, typicalShare * 1.5) - quantile(paces, typicalShare / 2)) / 2 / quantile(paces, typicalShare)
  }

  private get _paces (): readonly number[] { return this._samples.map(({ pace }) => pace) }

  private _dropOld (now: Ms): void {
    const { ttl } = this._limits
    while (this._samples.length > 0 && now - this._samples[0]!.at > ttl) this._samples.shift()
  }
}

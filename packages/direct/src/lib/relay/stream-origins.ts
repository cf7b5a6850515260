/**
 * Remembers where streams began, for callers that resume them.
 */
import type { Clock, Ms } from '@hazelford/core'

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: string
  /** Version of the software of the upstream that sent its first event. */
  readonly software: string
}

interface OriginRecord extends StreamOrigin { readonly until: Ms }

/** Records kept; the oldest ones are dropped beyond this number. */
const maxOrigins = 20_000

/** Origins of streams by the id of the attempt that brought the first event. */
export class StreamOrigins {
  private readonly _records = new Map<string, OriginRecord>()

  constructor (private readonly _clock: Clock) {}

  get size (): number { return this._records.size }

  /**
   * Records an origin. The first record of a stream stays: a stream does not change its origin.
   *
   * @param lasts - ms in which its caller can come back
   */
  add (request: string, { service, software }: StreamOrigin, lasts: Ms): void {
    const known = this.find(request)
    const until = this._clock.now() + lasts
    this._records.delete(request)
    this._records.set(request, known === undefined ? { service, software, until } : { ...known, until: Math.max(known.until, until) })
    this._dropOldest()
  }

  find (request: string): OriginRecord | undefined {
    const record = this._records.get(request)
    return record !== undefined && record.until > this._clock.now() ? record : undefined
  }

  delete (request: string): void { this._records.delete(request) }

  private _dropOldest (): void {
    const now = this._clock.now()
    for (const [request, { until }] of this._records) {
      if (until > now && this._records.size <= maxOrigins) break
      this._records.delete(request)
    }
  }
}

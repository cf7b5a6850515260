/**
 * Liveness probe of one engine.
 */
import type { CancelTimer, Clock, Log, Ms } from '@hazelford/core'

/** What a probe needs. */
export interface LivenessProbeOptions {
  readonly upstream: string
  readonly clock: Clock
  readonly log: Log
  /** Whether the engine can be asked now. */
  readonly mayProbe: () => boolean
  /** Asks the engine for anything. */
  readonly probe: () => Promise<boolean>
}

/** Silence after which an engine is asked. One that loads adapters is heard several times a second and is hardly ever asked. */
const askAfter: Ms = 400
/** How often the silence is measured; the time until it is noticed is longer by this at most. */
const lookEvery: Ms = 200
/**
 * Questions in a row without an answer that make an engine silent. One alone may be lost on the way; each takes 250 ms, so
 * that a silent engine is known after a second, while its record stays for three to four.
 */
const silentAfter = 2

/**
 * Watches one engine, for its holder.
 *
 * An engine that is cut off or stands still takes requests and gives no answer. Streams can't be sent again, and each entry
 * of many would lose some before it knew by itself. The holder is asked for each request and can tell all.
 */
export class LivenessProbe {
  private _heardAt: Ms
  private _missed = 0
  private _timer: CancelTimer | undefined
  private _stopped = false

  constructor (private readonly _options: LivenessProbeOptions) {
    this._heardAt = _options.clock.now()
    this._wait()
  }

  /** Whether the engine gives no answers now. */
  get silent (): boolean { return this._missed >= silentAfter }

  stop (): void {
    this._stopped = true
    this._timer?.()
  }

  /** Notes an answer of the engine. */
  heard (): void {
    if (this.silent) this._options.log.info('loads', 'engine answers again.', { upstream: this._options.upstream, after: Math.round(this._options.clock.now() - this._heardAt) })
    this._heardAt = this._options.clock.now()
    this._missed = 0
  }

  private _wait (): void {
    this._timer = this._options.clock.after(lookEvery, () => {
      this._check().catch((error: Error) => this._options.log.warn('loads', 'engine not asked.', { upstream: this._options.upstream, error: error.message }))
    })
  }

  private async _check (): Promise<void> {
    if (!this._options.mayProbe()) this._heardAt = this._options.clock.now()
    else if (this._options.clock.now() - this._heardAt >= askAfter) await this._ask()
    if (!this._stopped) this._wait()
  }

  private async _ask (): Promise<void> {
    if (await this._options.probe()) return this.heard()
    this._miss()
    if (!this.silent && !this._stopped) await this._ask()
  }

  private _miss (): void {
    this._missed++
    if (this._missed !== silentAfter || this._stopped) return
    this._options.log.info('loads', 'engine does not answer.', { upstream: this._options.upstream, silentFor: Math.round(this._options.clock.now() - this._heardAt) })
  }
}

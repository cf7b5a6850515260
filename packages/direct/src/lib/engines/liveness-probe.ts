/**
 * Liveness probe of one engine.
 */
import type { CancelTimer, Clock, Log, Ms } from '@hazelford/core'

/** What a probe needs. */
export interface LivenessProbeOptions {
  readonly upstream: string
  readonly clock: Clock
  readonly log: Log
  /** Whether the engine may be probed now. */
  readonly mayProbe: () => boolean
  /** Sends any request to the engine; resolves to whether it answered. */
  readonly probe: () => Promise<boolean>
}

/**
 * Silence after which an engine is probed. An engine that loads adapters answers several orders a second, so it is
 * hardly ever probed.
 */
const probeAfter: Ms = 400
/** How often the silence is measured; this is also the longest additional delay until silence is noticed. */
const checkEvery: Ms = 200
/**
 * Consecutive probes without an answer after which an engine counts as silent. A single one may be lost on the way.
 * Each takes 250 ms, so a silent engine is detected after a second, while its record stays for three to four.
 */
const silentAfter = 2

/**
 * Watches one engine on behalf of its holder.
 *
 * An engine that is cut off or hangs accepts requests and does not answer. Streams can't be retried, and each of many
 * entries would lose some before it detected the fault on its own. The holder receives a load request for each of these
 * requests, so its answers can inform every entry.
 */
export class LivenessProbe {
  private _answeredAt: Ms
  private _missed = 0
  private _cancelCheck: CancelTimer | undefined
  private _stopped = false

  constructor (private readonly _options: LivenessProbeOptions) {
    this._answeredAt = _options.clock.now()
    this._wait()
  }

  /** Whether the engine does not answer now. */
  get silent (): boolean { return this._missed >= silentAfter }

  stop (): void {
    this._stopped = true
    this._cancelCheck?.()
  }

  /** Records an answer of the engine. */
  recordAnswer (): void {
    if (this.silent) this._options.log.info('loads', 'engine answers again.', { upstream: this._options.upstream, after: Math.round(this._options.clock.now() - this._answeredAt) })
    this._answeredAt = this._options.clock.now()
    this._missed = 0
  }

  private _wait (): void {
    this._cancelCheck = this._options.clock.after(checkEvery, () => {
      this._check().catch((error: Error) => this._options.log.warn('loads', 'engine probe failed.', { upstream: this._options.upstream, error: error.message }))
    })
  }

  private async _check (): Promise<void> {
    if (!this._options.mayProbe()) this._answeredAt = this._options.clock.now()
    else if (this._options.clock.now() - this._answeredAt >= probeAfter) await this._probe()
    if (!this._stopped) this._wait()
  }

  private async _probe (): Promise<void> {
    if (await this._options.probe()) return this.recordAnswer()
    this._recordMiss()
    if (!this.silent && !this._stopped) await this._probe()
  }

  private _recordMiss (): void {
    this._missed++
    if (this._missed !== silentAfter || this._stopped) return
    this._options.log.info('loads', 'engine does not answer.', { upstream: this._options.upstream, silentFor: Math.round(this._options.clock.now() - this._answeredAt) })
  }
}

/**
 * Where adapters can be used, and who can get them loaded.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import type { AdapterPresence, AdapterWant } from '@hazelford/decisions'
import type { EngineDesk } from './engine-desk.js'
import type { AskOutcome } from './engine-holder.js'
import type { PeerClient } from './peer-calls.js'
import type { PeerTable } from './peer-table.js'
import type { Upstream } from './upstream.js'

/** A promise that ends sooner than this is renewed while it is used. */
const renewBefore: Ms = 600
/** A holder that did not answer isn't asked again for this long. */
const suspectFor: Ms = 1_000

interface HeldPromise { readonly until: Ms, readonly version: number | undefined }

function wantKey ({ model, adapter }: AdapterWant): string { return `${model}/${adapter ?? ''}` }

/** Promises that holders made to this entry. */
export class AdapterDirectory {
  private readonly _promises = new Map<string, Map<string, HeldPromise>>()
  private readonly _asking = new Map<string, Promise<AskOutcome>>()
  private readonly _suspects = new Map<string, Ms>()

  constructor (
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _peers: PeerTable,
    private readonly _client: PeerClient,
    private readonly _desk: EngineDesk
  ) {}

  /** What is known of an adapter at an upstream. */
  presence (upstream: Upstream, want: AdapterWant): AdapterPresence {
    if (this._promised(upstream.id, want) !== undefined) return 'loaded'
    if (this._askable(upstream.id)) return 'loadable'
    return this._listed(upstream, want) ? 'loaded' : 'unavailable'
  }

  private _promised (upstream: string, want: AdapterWant): HeldPromise | undefined {
    const promise = this._promises.get(upstream)?.get(wantKey(want))
    if (promise === undefined || promise.until <= this._clock.now()) return undefined
    return want.version !== undefined && (promise.version ?? 0) < want.version ? undefined : promise
  }

  private _askable (upstream: string): boolean {
    if (this._desk.holder(upstream) !== undefined) return true
    const holder = this._peers.holder(upstream)
    return holder !== undefined && (this._suspects.get(holder.node) ?? 0) <= this._clock.now()
  }

  /** Whether the upstream's own record lists it. Records lag, but stay through an outage of the store. */
  private _listed ({ record }: Upstream, want: AdapterWant): boolean {
    const model = record.models.find(held => held.model === want.model)
    if (model === undefined) return false
    if (want.adapter === undefined) return true
    return model.adapters.some(held => held.adapter === want.adapter && (want.version === undefined || held.version >= want.version))
  }

  /** Forgets a promise that the upstream did not keep. */
  broken (upstream: string, want: AdapterWant): void { this._promises.get(upstream)?.delete(wantKey(want)) }

  forget (upstream: string): void { this._promises.delete(upstream) }

  /**
   * Makes sure that an adapter can be used at an upstream.
   *
   * @param upstream - where
   * @param want - the adapter
   * @param urgency - 0 is the most urgent
   * @param patience - ms to wait for a load
   * @param missing - the upstream has just refused a request for lack of it
   * @returns the version to expect there
   */
  async ensure (upstream: Upstream, want: AdapterWant, urgency: number, patience: Ms, missing: boolean): Promise<AskOutcome> {
    const promise = missing ? undefined : this._promised(upstream.id, want)
    if (promise !== undefined) {
      if (promise.until - this._clock.now() < renewBefore) this._ask(upstream, want, urgency, patience, false).catch(() => {})
      return { kind: 'ready', ...promise }
    }
    if (!this._askable(upstream.id)) {
      return !missing && this._listed(upstream, want)
        ? { kind: 'ready', until: this._clock.now(), version: want.version }
        : { kind: 'unavailable', cause: 'nobody orders this engine' }
    }
    return this._ask(upstream, want, urgency, patience, missing)
  }

  private _ask (upstream: Upstream, want: AdapterWant, urgency: number, patience: Ms, missing: boolean): Promise<AskOutcome> {
    const key = `${upstream.id}|${wantKey(want)}|${want.version ?? ''}|${missing}`
    const running = this._asking.get(key)
    if (running !== undefined) return running
    const asked = this._askHolder(upstream.id, want, urgency, patience, missing).finally(() => this._asking.delete(key))
    this._asking.set(key, asked)
    return asked
  }

  private async _askHolder (upstream: string, want: AdapterWant, urgency: number, patience: Ms, missing: boolean): Promise<AskOutcome> {
    const local = this._desk.ask(upstream, want, urgency, patience, missing)
    const outcome = await (local ?? this._askPeer(upstream, want, urgency, patience, missing))
    if (outcome.kind === 'ready') {
      const promises = this._promises.get(upstream) ?? new Map<string, HeldPromise>()
      promises.set(wantKey(want), { until: outcome.until, version: outcome.version })
      this._promises.set(upstream, promises)
    }
    return outcome
  }

  private async _askPeer (upstream: string, want: AdapterWant, urgency: number, patience: Ms, missing: boolean): Promise<AskOutcome> {
    const holder = this._peers.holder(upstream)
    if (holder === undefined) return { kind: 'unavailable', cause: 'nobody orders this engine' }
    try {
      return await this._client.ask(holder, { upstream, ...want, urgency, patience, missing }, () => this._clock.now())
    } catch (error) {
      this._suspects.set(holder.node, this._clock.now() + suspectFor)
      this._log.info('loads', 'holder does not answer.', { upstream, holder: holder.node, fence: holder.fence, cause: (error as Error).message })
      return { kind: 'unavailable', cause: 'its holder does not answer' }
    }
  }
}

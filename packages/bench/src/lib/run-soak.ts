/**
 * A soak: real processes under load while faults come and go.
 */
import { adapterName } from './config-text.js'
import { book, type CallerResult, closeCallers, complete } from './callers.js'
import { Fleet, readStatus } from './fleet.js'
import { Random, zipf } from './random.js'
import { type BookingStory, findViolations } from './soak-checks.js'
import { soakFaults, type SoakState } from './soak-faults.js'

/** How a soak ended. */
export interface SoakResult {
  readonly requests: number
  readonly faults: number
  readonly answered: number
  readonly notRun: number
  readonly mayHaveRun: number
  readonly violations: readonly string[]
}

const tokens = 10
const adapterCount = 60
const meanGapMs = 15
const deadlineMs = 4_000
const faultGapMs = 500
const faultLengthMs = 1_500
const maxRepeats = 6
const calmMs = 1_500
const settleLimitMs = 15_000
const pollMs = 250
const shownViolations = 20
const faultSeedOffset = 1_000_003

function pause (ms: number): Promise<void> { return new Promise(resolve => { setTimeout(resolve, ms) }) }

class Soak {
  private readonly _completions: Promise<CallerResult>[] = []
  private readonly _bookings: Promise<BookingStory>[] = []
  private readonly _state: SoakState = { entryKills: [], drained: [], busy: new Set() }
  private readonly _revisions = new Map<string, number>()
  private readonly _revisionDrops: string[] = []
  private _faults = 0
  private _over = false
  private readonly _startedAt = performance.now()

  constructor (private readonly _fleet: Fleet, private readonly _random: Random, private readonly _faultRandom: Random, private readonly _say: (line: string) => void, private readonly _traced: boolean) {}

  async run (seconds: number): Promise<SoakResult> {
    const end = performance.now() + seconds * 1_000
    const watching = this._watchRevisions()
    const faulting = this._injectFaults(end)
    await this._sendLoad(end)
    await faulting
    const problems = await this._settle()
    this._over = true
    await watching
    return this._judge(problems)
  }

  private async _sendLoad (end: number): Promise<void> {
    const rank = zipf(adapterCount, 1)
    for (let i = 0; performance.now() < end; i++) {
      const headers = { 'x-hazelford-deadline-ms': String(deadlineMs) }
      if (i % 3 === 2) this._bookings.push(this._bookStory(`booking-${i}`, i, headers))
      else this._completions.push(this._traceFailure(complete(this._url(i), adapterName(rank(this._random)), `prompt-${i}`, tokens, i % 2 === 0, headers)))
      await pause(this._random.exponential(meanGapMs))
    }
  }

  /** One line of the soak's own time line, when asked for. */
  private _trace (line: string): void {
    if (this._traced) this._say(`${Math.round(performance.now() - this._startedAt)} ms ${line}`)
  }

  private _url (i: number): string { return this._fleet.liveEntryUrl(i) }

  private async _traceFailure (pending: Promise<CallerResult>): Promise<CallerResult> {
    const result = await pending
    if (result.status !== 200) this._trace(`      ${result.status} ${result.code} ${result.model} after ${Math.round(result.totalMs)} ms`)
    return result
  }

  /** A caller that repeats by key until it knows, or books once without a key. */
  private async _bookStory (token: string, i: number, headers: Record<string, string>): Promise<BookingStory> {
    const keyed = i % 2 === 0
    if (!keyed) return { token, attempts: [await book(this._url(i), token, headers)] }
    const attempts: CallerResult[] = []
    for (let repeat = 0; repeat < maxRepeats; repeat++) {
      const result = await book(this._url(i + repeat), token, { ...headers, 'idempotency-key': token })
      attempts.push(result)
      if (result.status === 201) break
      await pause(200 * (repeat + 1))
    }
    return { token, attempts }
  }

  private async _injectFaults (end: number): Promise<void> {
    const ending: Promise<void>[] = []
    while (performance.now() < end - calmMs) {
      const fault = soakFaults[this._faultRandom.below(soakFaults.length)]!
      this._faults++
      const stop = fault.begin(this._fleet, this._faultRandom, this._state)
      this._trace(`begin ${fault.name}`)
      ending.push(stop.then(async finish => {
        await pause(this._faultRandom.unit() * faultLengthMs)
        await finish()
        this._trace(`end   ${fault.name}`)
      }))
      await pause(this._faultRandom.exponential(faultGapMs))
    }
    await Promise.all(ending)
  }

  private async _watchRevisions (): Promise<void> {
    while (!this._over) {
      await Promise.all([...this._fleet.entries, ...this._fleet.sidecars.values()].map(async daemon => {
        const { revision } = await readStatus(daemon).catch(() => ({ revision: undefined }))
        if (revision === undefined) return
        const id = `${daemon.name} pid ${daemon.pid}`
        const before = this._revisions.get(id) ?? 0
        if (revision < before) this._revisionDrops.push(`${id}: revision fell from ${before} to ${revision}`)
        this._revisions.set(id, Math.max(before, revision))
      }))
      await pause(pollMs)
    }
  }

  /** After the faults every process must come to the newest revision and serve. */
  private async _settle (): Promise<readonly string[]> {
    const revision = await this._fleet.applyConfig([])
    const end = performance.now() + settleLimitMs
    for (const daemon of [...this._fleet.entries, ...this._fleet.sidecars.values()]) {
      for (;;) {
        const status = await readStatus(daemon).catch(() => undefined)
        if (status?.revision === revision) break
        if (performance.now() > end) return [`${daemon.name}: revision ${status?.revision ?? 'unknown'} instead of ${revision} after the faults`]
        await pause(pollMs)
      }
    }
    return []
  }

  private _sayCodes (all: readonly CallerResult[]): void {
    const counts = new Map<string, number>()
    for (const { kind, status, code } of all) {
      if (status === 200 || status === 201) continue
      const key = `${kind} ${status} ${code}`
      counts.set(key, (counts.get(key) ?? 0) + 1)
    }
    for (const [key, count] of [...counts].sort((a, b) => b[1] - a[1])) this._say(`  ${count} x ${key}`)
  }

  private async _judge (problems: readonly string[]): Promise<SoakResult> {
    const completions = await Promise.all(this._completions)
    const bookings = await Promise.all(this._bookings)
    const { entryKills } = this._state
    const record = { completions, bookings, entryKills, revisionDrops: this._revisionDrops }
    const all = [...completions, ...bookings.flatMap(story => story.attempts)]
    const violations = [...problems, ...findViolations(this._fleet, record, tokens)]
    for (const violation of violations.slice(0, shownViolations)) this._say(`violation: ${violation}`)
    this._sayCodes(all)
    return {
      requests: all.length,
      faults: this._faults,
      answered: all.filter(result => result.whole && result.status >= 200 && result.status < 300).length,
      notRun: all.filter(result => result.verdict === 'not-run').length,
      mayHaveRun: all.filter(result => result.verdict === 'may-have-run').length,
      violations
    }
  }
}

/**
 * Runs a soak.
 *
 * @param seed - of load and faults
 * @param seconds - of load
 * @param say - hears of violations
 * @param traced - also tell of each fault and each failed completion
 */
export async function runSoak (seed: number, seconds: number, say: (line: string) => void, traced = false): Promise<SoakResult> {
  const fleet = await Fleet.start({
    models: 3, plains: 2, entries: 2, zones: 2, adapters: adapterCount, slots: 6, places: 8, stepMs: 10, loadsPerSecond: 40, loadsAtOnce: 2, loadMs: 25
  })
  try {
    return await new Soak(fleet, new Random(seed), new Random(seed + faultSeedOffset), say, traced).run(seconds)
  } finally {
    await closeCallers()
    await fleet.stop()
  }
}

/** The one line that a soak ends with. */
export function soakLine (seed: number, result: SoakResult): string {
  const { requests, faults, answered, notRun, mayHaveRun, violations } = result
  return `soak seed ${seed}: ${requests} requests (${answered} answered, ${notRun} not-run, ${mayHaveRun} may-have-run), ${faults} faults, ${violations.length} violations`
}

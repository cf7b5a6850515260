/**
 * Runs a soak: real processes under load, with faults that begin and end at random.
 */
import { adapterName } from './config-text.js'
import { book, type CallerResult, closeCallers, complete } from './callers.js'
import { Fleet, readStatus } from './fleet.js'
import { Random, zipf } from './random.js'
import { type BookingAttempts, findViolations } from './soak-checks.js'
import { soakFaults, type SoakState } from './soak-faults.js'

/** Result of a soak. */
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
const faultFreeTailMs = 1_500
const settleLimitMs = 15_000
const pollMs = 250
const shownViolations = 20
const faultSeedOffset = 1_000_003

function pause (ms: number): Promise<void> { return new Promise(resolve => { setTimeout(resolve, ms) }) }

class Soak {
  private readonly _completions: Promise<CallerResult>[] = []
  private readonly _bookings: Promise<BookingAttempts>[] = []
  private readonly _state: SoakState = { entryKills: [], drained: [], busy: new Set() }
  private readonly _revisions = new Map<string, number>()
  private readonly _revisionDrops: string[] = []
  private _faults = 0
  private _isOver = false
  private readonly _startedAt = performance.now()

  constructor (private readonly _fleet: Fleet, private readonly _random: Random, private readonly _faultRandom: Random, private readonly _print: (line: string) => void, private readonly _traced: boolean) {}

  async run (seconds: number): Promise<SoakResult> {
    const end = performance.now() + seconds * 1_000
    const watching = this._watchRevisions()
    const faulting = this._injectFaults(end)
    await this._sendLoad(end)
    await faulting
    const problems = await this._settle()
    this._isOver = true
    await watching
    return this._judge(problems)
  }

  private async _sendLoad (end: number): Promise<void> {
    const rank = zipf(adapterCount, 1)
    for (let i = 0; performance.now() < end; i++) {
      const headers = { 'x-hazelford-deadline-ms': String(deadlineMs) }
      if (i % 3 === 2) this._bookings.push(this._bookUntilKnown(`booking-${i}`, i, headers))
      else this._completions.push(this._traceFailure(complete(this._url(i), adapterName(rank(this._random)), `prompt-${i}`, tokens, i % 2 === 0, headers)))
      await pause(this._random.exponential(meanGapMs))
    }
  }

  /** Prints a line with the time since the start, if tracing is on. */
  private _trace (line: string): void {
    if (this._traced) this._print(`${Math.round(performance.now() - this._startedAt)} ms ${line}`)
  }

  private _url (i: number): string { return this._fleet.liveEntryUrl(i) }

  private async _traceFailure (pending: Promise<CallerResult>): Promise<CallerResult> {
    const result = await pending
    if (result.status !== 200) this._trace(`      ${result.status} ${result.code} ${result.model} after ${Math.round(result.totalMs)} ms`)
    return result
  }

  /** Makes a booking: a caller with a key repeats it until it is confirmed or the repeats are used up, one without a key sends it once. */
  private async _bookUntilKnown (token: string, i: number, headers: Record<string, string>): Promise<BookingAttempts> {
    const hasKey = i % 2 === 0
    if (!hasKey) return { token, attempts: [await book(this._url(i), token, headers)] }
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
    const faultEnds: Promise<void>[] = []
    while (performance.now() < end - faultFreeTailMs) {
      const fault = soakFaults[this._faultRandom.below(soakFaults.length)]!
      this._faults++
      const begun = fault.begin(this._fleet, this._faultRandom, this._state)
      this._trace(`begin ${fault.name}`)
      faultEnds.push(begun.then(async endFault => {
        await pause(this._faultRandom.unit() * faultLengthMs)
        await endFault()
        this._trace(`end   ${fault.name}`)
      }))
      await pause(this._faultRandom.exponential(faultGapMs))
    }
    await Promise.all(faultEnds)
  }

  private async _watchRevisions (): Promise<void> {
    while (!this._isOver) {
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

  /** Checks that every process reaches the newest revision after the faults. */
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

  private _printErrorCodes (all: readonly CallerResult[]): void {
    const counts = new Map<string, number>()
    for (const { kind, status, code } of all) {
      if (status === 200 || status === 201) continue
      const key = `${kind} ${status} ${code}`
      counts.set(key, (counts.get(key) ?? 0) + 1)
    }
    for (const [key, count] of [...counts].sort((a, b) => b[1] - a[1])) this._print(`  ${count} x ${key}`)
  }

  private async _judge (problems: readonly string[]): Promise<SoakResult> {
    const completions = await Promise.all(this._completions)
    const bookings = await Promise.all(this._bookings)
    const { entryKills } = this._state
    const record = { completions, bookings, entryKills, revisionDrops: this._revisionDrops }
    const all = [...completions, ...bookings.flatMap(booking => booking.attempts)]
    const violations = [...problems, ...findViolations(this._fleet, record, tokens)]
    for (const violation of violations.slice(0, shownViolations)) this._print(`violation: ${violation}`)
    this._printErrorCodes(all)
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
 * @param seed - seed of load and faults
 * @param seconds - length of the load
 * @param print - prints violations and counts of errors
 * @param traced - whether to print each fault and each failed completion as well
 */
export async function runSoak (seed: number, seconds: number, print: (line: string) => void, traced = false): Promise<SoakResult> {
  const fleet = await Fleet.start({
    models: 3, plains: 2, entries: 2, zones: 2, adapters: adapterCount, slots: 6, places: 8, stepMs: 10, loadsPerSecond: 40, loadsAtOnce: 2, loadMs: 25
  })
  try {
    return await new Soak(fleet, new Random(seed), new Random(seed + faultSeedOffset), print, traced).run(seconds)
  } finally {
    await closeCallers()
    await fleet.stop()
  }
}

/** The summary line that a soak ends with. */
export function soakSummary (seed: number, result: SoakResult): string {
  const { requests, faults, answered, notRun, mayHaveRun, violations } = result
  return `soak seed ${seed}: ${requests} requests (${answered} answered, ${notRun} not-run, ${mayHaveRun} may-have-run), ${faults} faults, ${violations.length} violations`
}

/**
 * Counts what became of organisations' requests at this entry in the recent past, for operators.
 */
import type { Clock, Ms } from '@hazelford/core'

/** Counts of one organisation. */
export interface OrganisationCounts {
  /** Units admitted, less those returned, and refused. */
  admitted: number
  refused: number
  /** Requests by how they ended. */
  readonly ends: Record<string, number>
}

interface Step { readonly from: Ms, readonly counts: Map<string, OrganisationCounts> }

/** Time that the counts cover: long enough for an organisation of a request a second, short enough to show a burst. */
export const activityWindow: Ms = 10_000
const stepLength: Ms = 1_000
/** Organisations counted in one step; a deployment may have many thousands, and most send little. */
const maxOrganisations = 500

function countsOf (counts: Map<string, OrganisationCounts>, organisation: string): OrganisationCounts {
  const known = counts.get(organisation) ?? { admitted: 0, refused: 0, ends: {} }
  counts.set(organisation, known)
  return known
}

/** Counts by organisation in the last {@link activityWindow} ms, in steps of a second. */
export class OrganisationActivity {
  private readonly _steps: Step[] = []

  constructor (private readonly _clock: Clock) {}

  /** Records units of an organisation's usage that were admitted, returned (negative) or refused. */
  recordUnits (organisation: string, event: 'admitted' | 'refused', units: number): void {
    const counts = this._current(organisation)
    if (counts !== undefined) counts[event] += units
  }

  /** Records how a request ended, also one that was refused. */
  recordEnd (organisation: string, end: string): void {
    const counts = this._current(organisation)
    if (counts !== undefined) counts.ends[end] = (counts.ends[end] ?? 0) + 1
  }

  /** Sums of the window by organisation. */
  get recent (): ReadonlyMap<string, OrganisationCounts> {
    this._expire()
    const sums = new Map<string, OrganisationCounts>()
    for (const { counts } of this._steps) {
      for (const [organisation, { admitted, refused, ends }] of counts) {
        const sum = countsOf(sums, organisation)
        sum.admitted += admitted
        sum.refused += refused
        for (const [end, times] of Object.entries(ends)) sum.ends[end] = (sum.ends[end] ?? 0) + times
      }
    }
    return sums
  }

  private _current (organisation: string): OrganisationCounts | undefined {
    const now = this._clock.now()
    let step = this._steps.at(-1)
    if (step === undefined || now - step.from >= stepLength) {
      this._expire()
      step = { from: now, counts: new Map() }
      this._steps.push(step)
    }
    if (step.counts.size >= maxOrganisations && !step.counts.has(organisation)) return undefined
    return countsOf(step.counts, organisation)
  }

  private _expire (): void {
    const oldest = this._clock.now() - activityWindow
    while (this._steps[0] !== undefined && this._steps[0].from < oldest) this._steps.shift()
  }
}

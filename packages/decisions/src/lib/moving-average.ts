/**
 * Exponentially weighted moving average.
 */
export class MovingAverage {
  private _value: number
  private _hasSample = false

  /**
   * @param initial - value before the first sample
   * @param _weight - weight of each new sample
   */
  constructor (initial: number, private readonly _weight = 0.2) {
    this._value = initial
  }

  get value (): number { return this._value }

  /** The average, or 0 before the first sample. */
  get measured (): number { return this._hasSample ? this._value : 0 }

  /** Adds a sample; the first one replaces the initial value. */
  add (sample: number): void {
    this._value = this._hasSample ? this._value + this._weight * (sample - this._value) : sample
    this._hasSample = true
  }
}

/**
 * Seeded random numbers for loads and experiments.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws from one seed. */
export class Random {
  private readonly _generator: { next: () => number }

  constructor (seed: number) { this._generator = xoroshiro128plus(seed) as unknown as { next: () => number } }

  /** Uniform in [0, 1). */
  unit (): number { return (this._generator.next() >>> 0) / 2 ** 32 }

  /** Whole number in [0, below). */
  below (below: number): number { return Math.floor(this.unit() * below) }

  /** Exponentially distributed with the given mean. */
  exponential (mean: number): number { return -Math.log(1 - this.unit()) * mean }
}

/**
 * Draws ranks by Zipf's law.
 *
 * @param count - ranks
 * @param exponent - 1 is the classic law; larger is more skewed
 * @returns draws a rank, 0 the most popular
 */
export function zipf (count: number, exponent: number): (random: Random) => number {
  const sums: number[] = []
  let total = 0
  for (let rank = 1; rank <= count; rank++) sums.push(total += rank ** -exponent)
  return random => {
    const wanted = random.unit() * total
    let low = 0
    let high = count - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (sums[middle]! < wanted) low = middle + 1
      else high = middle
    }
    return low
  }
}

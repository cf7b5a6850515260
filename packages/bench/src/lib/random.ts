/**
 * Seeded random numbers for load generators and experiments.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A random number generator; the same seed gives the same sequence. */
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
 * Creates a function that draws ranks by Zipf's law.
 *
 * @param count - number of ranks
 * @param exponent - 1 is the classic law; a larger exponent is more skewed
 * @returns a function that draws a rank; 0 is the most popular
 */
export function zipf (count: number, exponent: number): (random: Random) => number {
  const sums: number[] = []
  let total = 0
  for (let rank = 1; rank <= count; rank++) sums.push(total += rank ** -exponent)
  return random => {
    const drawn = random.unit() * total
    let low = 0
    let high = count - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (sums[middle]! < drawn) low = middle + 1
      else high = middle
    }
    return low
  }
}

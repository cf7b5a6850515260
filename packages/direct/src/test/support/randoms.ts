/**
 * Seeded random numbers for plays.
 */

/** Draws numbers below 1, the same ones for each seed. */
export function randoms (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

/**
 * Seeded random numbers for simulations.
 */

/** Draws numbers in [0, 1); the same seed gives the same sequence. */
export function seededRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

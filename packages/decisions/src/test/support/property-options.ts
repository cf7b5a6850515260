/**
 * Settings of all property tests: the seed is fixed, and printed when a run fails.
 */
export const propertyOptions = { seed: 20261202, numRuns: 300 } as const

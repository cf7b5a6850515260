/**
 * Numbers in messages of other entries.
 */

/** Whether a decoded value is a number that can be counted: finite, and not below 0. */
export function isNonNegativeNumber (value: unknown): value is number { return typeof value === 'number' && Number.isFinite(value) && value >= 0 }

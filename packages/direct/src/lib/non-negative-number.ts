/**
 * Checks of numbers in messages of other entries.
 */

/** Whether a decoded value is a finite number of at least 0. */
export function isNonNegativeNumber (value: unknown): value is number { return typeof value === 'number' && Number.isFinite(value) && value >= 0 }

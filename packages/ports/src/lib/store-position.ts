/**
 * Positions in a store over its eras.
 *
 * A store that comes back from a copy gives revisions out again. A position is a number made of era and revision, so that
 * what the store wrote later always has the higher position. In era 0 it equals the revision.
 */

/** Revisions that fit into one era; at 3,000 writes a second they last for 11 years. */
const revisionsPerEra = 2 ** 40

/** Position of a revision; revision 0, for a key that does not exist, is position 0 in each era. */
export function positionOf (era: number, revision: number): number { return revision === 0 ? 0 : era * revisionsPerEra + revision }

export function eraOf (position: number): number { return Math.floor(position / revisionsPerEra) }

export function revisionOf (position: number): number { return position % revisionsPerEra }

/**
 * Priority classes of requests.
 */

/** Classes from the most to the least urgent. */
export const trafficClasses = ['receipt', 'booking', 'interactive', 'draft'] as const

/** Priority class of a request. */
export type TrafficClass = typeof trafficClasses[number]

/**
 * Rank of a class: 0 is the most urgent. Receipts and bookings have the same
 * rank, since neither may wait for the other.
 *
 * @param trafficClass - class to rank
 */
export function classRank (trafficClass: TrafficClass): number {
  switch (trafficClass) {
    case 'receipt':
    case 'booking': return 0
    case 'interactive': return 1
    case 'draft': return 2
  }
}

/**
 * Parses a class.
 *
 * @param text - class name that a caller or a peer sent
 * @returns the class, or undefined for an unknown name
 */
export function parseTrafficClass (text: string): TrafficClass | undefined {
  return trafficClasses.find(known => known === text)
}

/**
 * Priority classes of requests.
 */

/** Classes from the most to the least urgent. */
export const trafficClasses = ['receipt', 'booking', 'interactive', 'draft'] as const

/** How urgent a request is. */
export type TrafficClass = typeof trafficClasses[number]

/**
 * Position of a class: 0 is the most urgent. Receipts and bookings share a
 * position, since neither may wait for the other.
 *
 * @param trafficClass - the class
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
 * Reads a class.
 *
 * @param text - what a caller or a peer sent
 * @returns the class, or undefined for an unknown word
 */
export function parseTrafficClass (text: string): TrafficClass | undefined {
  return trafficClasses.find(known => known === text)
}
